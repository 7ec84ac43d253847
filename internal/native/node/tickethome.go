package node

import (
	"context"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ticketHome runs and answers for the tickets that this incarnation minted,
// whether callers bring them here or other nodes forward them.
type ticketHome struct {
	incarnation *incarnation
	intake      *intake
	answerer    *answerer
	tickets     *tickets
}

// run runs the one request of a ticket. The ticket is spent before anything
// else, and stays spent also when the request is refused: a caller that gets
// "not run" takes a new ticket, and an earlier use that arrives late must not run
// then. The run goes on when the caller goes away, so that it can ask again for
// the answer.
func (h *ticketHome) run(r *http.Request, out *reply, org *bundle.Organisation, tk ticket.Ticket, body []byte) {
	if err := h.tickets.spend(tk, ticket.BodyDigest(body)); err != nil {
		h.answerAgain(out, tk, err)
		return
	}
	out.undecided = false
	out.record = true
	defer func() { h.tickets.settle(tk, out.outcome) }()
	j, err := h.intake.pipelineJob(r, org, body, out)
	if err != nil {
		out.refuse(err)
		return
	}
	h.answerer.answer(context.WithoutCancel(r.Context()), j, out)
}

// answerAgain answers a use of a ticket that the book refuses: with the answer of
// the ticket's one run where that has ended, else with what is known.
func (h *ticketHome) answerAgain(out *reply, tk ticket.Ticket, refusal *verdict.Error) {
	state, outcome := h.tickets.look(tk)
	if refusal.Reason() == verdict.ReasonTicketSpent && state == ticket.Spent && outcome.Answer != nil {
		out.replay(outcome)
		return
	}
	out.undecided = false // the book has answered
	if refusal.Verdict() != verdict.NotRun {
		refusal = refusal.WithUnsafeRetry()
	}
	out.refuse(refusal.WithRetryAfter(minimumRetry))
}

// look answers what became of a ticket.
func (h *ticketHome) look(out *reply, token string, tk ticket.Ticket) {
	state, outcome := h.tickets.look(tk)
	answer := message.TicketAnswer{Ticket: token}
	switch state {
	case ticket.Unspent:
		answer.State = message.TicketAnswerStateUnspent
		answer.ExpiresInMs = int((tk.Expires() - h.incarnation.age()).Milliseconds())
	case ticket.Running:
		answer.State = message.TicketAnswerStateRunning
	case ticket.Expired:
		answer.State = message.TicketAnswerStateExpired
	case ticket.Spent:
		answer.State = message.TicketAnswerState(outcome.Verdict.String())
	}
	writeJSON(out.w, http.StatusOK, answer)
}

// serveForwarded runs a call that another node forwarded.
func (h *ticketHome) serveForwarded(w http.ResponseWriter, r *http.Request, out *reply) error {
	out.undecided = true
	org, tk, err := h.open(r, r.Header.Get(wire.HeaderTicket))
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	h.run(r, out, org, tk, body)
	return nil
}

// serveForwardedLook answers a look that another node forwarded.
func (h *ticketHome) serveForwardedLook(_ http.ResponseWriter, r *http.Request, out *reply) error {
	out.undecided = true
	token := r.PathValue("ticket")
	_, tk, err := h.open(r, token)
	if err != nil {
		return err
	}
	h.look(out, token, tk)
	return nil
}

// open opens a forwarded ticket and checks that this incarnation is its home. A
// leaving home still answers for its tickets, and refuses new runs as not run.
func (h *ticketHome) open(r *http.Request, token string) (*bundle.Organisation, ticket.Ticket, error) {
	tk, err := h.tickets.open(token, r.Header.Get(wire.HeaderOrganisation))
	if err != nil {
		return nil, tk, err
	}
	if !h.tickets.isHome(tk) {
		return nil, tk, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "the incarnation that minted the ticket is gone").
			WithUnsafeRetry()
	}
	plan := h.incarnation.plan.Load()
	if plan == nil || plan.Organisation(tk.Organisation) == nil {
		return nil, tk, verdict.New(verdict.MayHaveRun, verdict.ReasonUnauthorised, "the organisation is not in the bundle in force")
	}
	return plan.Organisation(tk.Organisation), tk, nil
}
