package node

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ticketServer answers callers about tickets, at any node. What only a ticket's
// home can answer goes there: to ticketHome when that is this incarnation,
// otherwise to another node. Every refusal on the way says "may have run",
// because only the home knows (docs/decisions/0004-at-most-once.md).
type ticketServer struct {
	incarnation *incarnation
	intake      *intake
	tickets     *tickets
	home        *ticketHome
	peers       *peerClient
	log         zerolog.Logger
}

// serveMint mints a ticket whose home is this incarnation.
func (s *ticketServer) serveMint(w http.ResponseWriter, r *http.Request, out *reply) error {
	plan, org, err := s.intake.authenticate(r)
	if err != nil {
		return err
	}
	var req message.TicketRequest
	if err := readJSON(w, r, &req); err != nil || plan.Pipeline(req.Pipeline) == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body must name a pipeline of the bundle")
	}
	token, err := s.tickets.mint(org.Name, req.Pipeline, req.BodyDigest)
	if err != nil {
		s.log.Error().Str("request", out.id).Err(err).Msg("request: no ticket was minted")
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "no ticket could be made").WithCause(err)
	}
	writeJSON(w, http.StatusOK, message.TicketAnswer{
		Ticket: token, State: message.TicketAnswerStateUnspent, ExpiresInMs: int(ticketLife.Milliseconds()),
	})
	return nil
}

// serveUse takes a call with a ticket to the ticket's home.
func (s *ticketServer) serveUse(w http.ResponseWriter, r *http.Request, out *reply, token string) error {
	out.undecided = true
	org, err := s.authenticate(r)
	if err != nil {
		return err
	}
	tk, err := s.tickets.open(token, org.Name)
	if err == nil && tk.Pipeline != r.PathValue("pipeline") {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTicketInvalid, "the ticket is for pipeline %q", tk.Pipeline)
	}
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	if s.tickets.isHome(tk) {
		s.home.run(r, out, org, tk, body)
		return nil
	}
	return s.forward(r, out, tk, http.MethodPost, wire.PathForward+tk.Pipeline, body)
}

// serveLook answers what became of a ticket.
func (s *ticketServer) serveLook(_ http.ResponseWriter, r *http.Request, out *reply) error {
	out.undecided = true
	org, err := s.authenticate(r)
	if err != nil {
		return err
	}
	token := r.PathValue("ticket")
	tk, err := s.tickets.open(token, org.Name)
	if err != nil {
		return err
	}
	if !s.tickets.isHome(tk) {
		return s.forward(r, out, tk, http.MethodGet, wire.PathForward+"tickets/"+token, nil)
	}
	s.home.look(out, token, tk)
	return nil
}

// authenticate returns the organisation of a call about a ticket, which is
// answered in every phase of the node.
func (s *ticketServer) authenticate(r *http.Request) (*bundle.Organisation, error) {
	plan := s.incarnation.plan.Load()
	if plan == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonNotReady, "the node has no bundle in force yet").WithRetryAfter(notReadyRetryAfter)
	}
	org := plan.Authenticate(bearerOf(r))
	if org == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUnauthorised, "the bearer key belongs to no organisation")
	}
	return org, nil
}
