package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathPipelines+"{pipeline}", n.counted(n.servePipeline))
	mux.HandleFunc("POST "+wire.PathChat, n.counted(n.serveChat))
	mux.HandleFunc("GET "+wire.PathModels, n.serveModels)
	mux.HandleFunc("POST "+wire.PathTickets, n.counted(n.serveTicket))
	mux.HandleFunc("GET "+wire.PathTickets+"/{ticket}", n.counted(n.serveLook))
	return mux
}

// counted counts calls in flight and gives each its identity.
func (n *Node) counted(next func(http.ResponseWriter, *http.Request, *reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.metrics.calls.Add(1)
		defer n.metrics.calls.Add(-1)
		out := &reply{w: w, id: n.identityOf(r)}
		w.Header().Set(wire.HeaderIdentity, out.id)
		next(w, r, out)
	}
}

// identityOf returns the identity that the caller gave, or a new one.
func (n *Node) identityOf(r *http.Request) string {
	id := r.Header.Get(wire.HeaderIdentity)
	if id == "" || len(id) > maxIdentity || strings.ContainsFunc(id, unprintable) {
		return n.newID()
	}
	return id
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// newID returns an identity that no other request of the fleet has.
func (n *Node) newID() string {
	return n.incarnation.id + "-" + strconv.FormatUint(n.lastID.Add(1), 10)
}

// intake checks a call as far as all endpoints do and returns its organisation.
func (n *Node) intake(r *http.Request) (*bundle.Plan, *bundle.Organisation, error) {
	plan, err := n.incarnation.governing()
	if err != nil {
		return nil, nil, err
	}
	org := plan.Authenticate(bearerOf(r))
	if org == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the bearer key belongs to no organisation")
	}
	return plan, org, nil
}

// newJob builds the job of a pipeline for a call.
func (n *Node) newJob(r *http.Request, plan *bundle.Plan, org *bundle.Organisation, pipeline string) (*job, error) {
	p := plan.Pipeline(pipeline)
	if p == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotFound, "there is no pipeline %q", pipeline)
	}
	left, err := deadlineOf(r, p)
	if err != nil {
		return nil, err
	}
	return &job{id: n.newID(), organisation: org, plan: plan, pipeline: p, deadline: n.incarnation.now().Add(left)}, nil
}

// deadlineOf returns the time that the caller allows, at most the pipeline's.
func deadlineOf(r *http.Request, p *bundle.PipelinePlan) (time.Duration, error) {
	given := r.Header.Get(wire.HeaderDeadline)
	if given == "" {
		return p.Deadline(), nil
	}
	ms, err := strconv.Atoi(given)
	if err != nil || ms <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s must be a number of milliseconds above 0", wire.HeaderDeadline)
	}
	return min(p.Deadline(), time.Duration(ms)*time.Millisecond), nil
}

// servePipeline is the native endpoint.
func (n *Node) servePipeline(w http.ResponseWriter, r *http.Request, out *reply) {
	if token := r.Header.Get(wire.HeaderTicket); token != "" {
		n.serveTicketed(w, r, out, token)
		return
	}
	_, org, err := n.intake(r)
	if err != nil {
		out.refuse(err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		out.refuse(err)
		return
	}
	j, err := n.pipelineJob(r, org, body, out)
	if err != nil {
		out.refuse(err)
		return
	}
	if err := checkKey(r, j); err != nil {
		out.refuse(err)
		return
	}
	n.answer(r.Context(), j, out)
}

// pipelineJob builds the job of a native call and sets the form of its answer.
func (n *Node) pipelineJob(r *http.Request, org *bundle.Organisation, body []byte, out *reply) (*job, error) {
	plan, err := n.incarnation.governing()
	if err != nil {
		return nil, err
	}
	j, err := n.newJob(r, plan, org, r.PathValue("pipeline"))
	if err != nil {
		return nil, err
	}
	var req message.PipelineRequest
	if err := json.Unmarshal(body, &req); err != nil || req.MaxTokens < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a request of a pipeline").WithCause(err)
	}
	j.input = req.Input
	j.maxTokens = req.MaxTokens
	out.form = nativeForm{stream: req.Stream, bundle: plan.Number()}
	return j, nil
}

// checkKey decides what a caller that brings only a key of its own is promised.
// Where every target that may not repeat checks keys, the key goes to them;
// elsewhere nothing could keep the promise that the caller expects.
func checkKey(r *http.Request, j *job) error {
	key := r.Header.Get(wire.HeaderIdempotency)
	if key == "" || j.pipeline.Repeatable() {
		return nil
	}
	unchecked := slices.ContainsFunc(j.pipeline.Stages, func(s bundle.Stage) bool {
		return !s.Repeatable && !j.plan.Pool(s.Pool).ChecksKeys
	})
	if unchecked {
		return verdict.New(verdict.NotRun, verdict.ReasonTicketNeeded,
			"a stage of %s may not be repeated and its targets check no keys; take a ticket at %s first", j.pipeline.Name, wire.PathTickets)
	}
	j.key = j.organisation.Name + "/" + j.pipeline.Name + "/" + key
	return nil
}

// answer runs the job and writes its answer.
func (n *Node) answer(ctx context.Context, j *job, out *reply) {
	start := n.incarnation.now()
	res, err := n.run(ctx, j, out.text)
	failed := verdict.From(err)
	n.metrics.answered(j.pipeline.Name, failed, n.incarnation.now().Sub(start))
	if failed != nil {
		n.log.Info().Str("request", out.id).Str("job", j.id).Str("pipeline", j.pipeline.Name).Err(failed).Msg("request: refused")
		out.refuse(failed)
		return
	}
	for _, s := range res.stages {
		n.metrics.stage(j.pipeline.Name, s.Stage, s.Cost, s.Attempts)
	}
	n.log.Debug().Str("request", out.id).Str("job", j.id).Str("pipeline", j.pipeline.Name).Msg("request: answered")
	out.finish(res)
}

// serveChat is the OpenAI-compatible endpoint; the model names the pipeline.
func (n *Node) serveChat(w http.ResponseWriter, r *http.Request, out *reply) {
	out.form = chatForm{id: out.id}
	plan, org, err := n.intake(r)
	if err != nil {
		out.refuse(err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		out.refuse(err)
		return
	}
	j, err := n.chatJob(r, plan, org, body, out)
	if err == nil {
		err = checkKey(r, j)
	}
	if err != nil {
		out.refuse(err)
		return
	}
	n.answer(r.Context(), j, out)
}

func (n *Node) chatJob(r *http.Request, plan *bundle.Plan, org *bundle.Organisation, body []byte, out *reply) (*job, error) {
	var req openai.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a chat request: %s", err)
	}
	if why := req.Unsupported(); why != "" {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", why)
	}
	j, err := n.newJob(r, plan, org, req.Model)
	if err != nil {
		return nil, err
	}
	j.messages = req.Messages
	j.input = joinMessages(req.Messages)
	j.maxTokens = req.CeilingOfTokens()
	usage := req.StreamOptions != nil && req.StreamOptions.IncludeUsage
	out.form = chatForm{id: out.id, model: req.Model, stream: req.Stream, usage: usage, created: time.Now().Unix()}
	return j, nil
}

// joinMessages is the conversation as one text, for the stages before an engine.
func joinMessages(messages []openai.Message) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Role+": "+string(m.Content))
	}
	return strings.Join(parts, "\n")
}

// serveModels lists the pipelines as models.
func (n *Node) serveModels(w http.ResponseWriter, r *http.Request) {
	plan, _, err := n.intake(r)
	if err != nil {
		(&reply{w: w, form: chatForm{}}).refuse(err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	for _, p := range plan.Bundle().Pipelines {
		list.Data = append(list.Data, model{ID: p.Name, Object: "model", OwnedBy: plan.Name()})
	}
	writeJSON(w, http.StatusOK, list)
}

// serveTicket mints a ticket whose home is this incarnation.
func (n *Node) serveTicket(w http.ResponseWriter, r *http.Request, out *reply) {
	plan, org, err := n.intake(r)
	if err != nil {
		out.refuse(err)
		return
	}
	var req message.TicketRequest
	if err := readJSON(w, r, &req); err != nil || plan.Pipeline(req.Pipeline) == nil {
		out.refuse(verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body must name a pipeline of the bundle"))
		return
	}
	token, err := n.tickets.mint(org.Name, req.Pipeline, req.BodyDigest)
	if err != nil {
		out.refuse(verdict.New(verdict.NotRun, verdict.ReasonInternal, "no ticket could be made").WithCause(err))
		return
	}
	writeJSON(w, http.StatusOK, message.TicketAnswer{
		Ticket: token, State: message.TicketAnswerStateUnspent, ExpiresInMs: int(ticketLife.Milliseconds()),
	})
}

// serveTicketed takes a call with a ticket to the ticket's home. Every refusal
// on the way says "may have run", because only the home knows.
func (n *Node) serveTicketed(w http.ResponseWriter, r *http.Request, out *reply, token string) {
	out.undecided = true
	org, err := n.organisationOf(r)
	if err != nil {
		out.refuse(err)
		return
	}
	tk, err := n.tickets.open(token, org.Name)
	if err == nil && tk.Pipeline != r.PathValue("pipeline") {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTicketInvalid, "the ticket is for pipeline %q", tk.Pipeline)
	}
	if err != nil {
		out.refuse(err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		out.refuse(err)
		return
	}
	if n.tickets.isHome(tk) {
		n.spend(r, out, org, tk, body)
		return
	}
	n.forward(r, out, tk, http.MethodPost, wire.PathForward+tk.Pipeline, body)
}

// organisationOf authenticates a call about a ticket, which is answered in
// every phase of the node.
func (n *Node) organisationOf(r *http.Request) (*bundle.Organisation, error) {
	plan := n.incarnation.plan.Load()
	if plan == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonNotReady, "the node has no bundle in force yet").WithRetryAfter(time.Second)
	}
	org := plan.Authenticate(bearerOf(r))
	if org == nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonUnauthorised, "the bearer key belongs to no organisation")
	}
	return org, nil
}

// spend runs the one request of a ticket at its home. The ticket is spent
// before anything else, and stays spent also when the request is refused: a
// caller that hears "not run" takes a new ticket, and an earlier use that
// arrives late must not run then. The run goes on when the caller goes away, so
// that it can ask again for the answer.
func (n *Node) spend(r *http.Request, out *reply, org *bundle.Organisation, tk ticket.Ticket, body []byte) {
	if err := n.tickets.spend(tk, ticket.BodyDigest(body)); err != nil {
		n.repeatOutcome(out, tk, err)
		return
	}
	out.undecided = false
	out.record = true
	defer func() { n.tickets.settle(tk, out.outcome()) }()
	j, err := n.pipelineJob(r, org, body, out)
	if err != nil {
		out.refuse(err)
		return
	}
	n.answer(context.WithoutCancel(r.Context()), j, out)
}

// repeatOutcome answers the second use of a ticket: the answer of its one run
// where that has ended, else what is known.
func (n *Node) repeatOutcome(out *reply, tk ticket.Ticket, refusal *verdict.Error) {
	state, outcome := n.tickets.look(tk)
	if refusal.Reason() == verdict.ReasonTicketSpent && state == ticket.Spent && outcome.Answer != nil {
		out.replay(outcome)
		return
	}
	out.undecided = false // the book has spoken
	if refusal.Verdict() != verdict.NotRun {
		refusal = refusal.WithUnsafeRetry()
	}
	out.refuse(refusal.WithRetryAfter(minimumRetry))
}

// serveLook says what became of a ticket.
func (n *Node) serveLook(_ http.ResponseWriter, r *http.Request, out *reply) {
	out.undecided = true
	org, err := n.organisationOf(r)
	if err != nil {
		out.refuse(err)
		return
	}
	token := r.PathValue("ticket")
	tk, err := n.tickets.open(token, org.Name)
	if err != nil {
		out.refuse(err)
		return
	}
	if !n.tickets.isHome(tk) {
		n.forward(r, out, tk, http.MethodGet, wire.PathForward+"tickets/"+token, nil)
		return
	}
	n.lookAt(out, token, tk)
}

func (n *Node) lookAt(out *reply, token string, tk ticket.Ticket) {
	state, outcome := n.tickets.look(tk)
	answer := message.TicketAnswer{Ticket: token}
	switch state {
	case ticket.Unspent:
		answer.State = message.TicketAnswerStateUnspent
		answer.ExpiresInMs = int((tk.Expires() - n.Age()).Milliseconds())
	case ticket.Running:
		answer.State = message.TicketAnswerStateRunning
	case ticket.Expired:
		answer.State = message.TicketAnswerStateExpired
	case ticket.Spent:
		answer.State = message.TicketAnswerState(outcome.Verdict.String())
	}
	writeJSON(out.w, http.StatusOK, answer)
}
