package node

import (
	"net/http"
	"slices"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// callers answers callers: the native endpoint, the OpenAI-compatible one and
// tickets.
type callers struct {
	intake   *intake
	answerer *answerer
	tickets  *ticketServer
}

func (c *callers) handler() http.Handler {
	counted := c.answerer.counted
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathPipelines+"{pipeline}", counted(c.servePipeline))
	mux.HandleFunc("POST "+wire.PathChat, counted(c.serveChat))
	mux.HandleFunc("GET "+wire.PathModels, c.serveModels)
	mux.HandleFunc("POST "+wire.PathTickets, counted(c.tickets.serveMint))
	mux.HandleFunc("GET "+wire.PathTickets+"/{ticket}", counted(c.tickets.serveLook))
	return mux
}

// servePipeline is the native endpoint.
func (c *callers) servePipeline(w http.ResponseWriter, r *http.Request, out *reply) error {
	if token := r.Header.Get(wire.HeaderTicket); token != "" {
		return c.tickets.serveUse(w, r, out, token)
	}
	return c.serve(w, r, out, func(_ *bundle.Plan, org *bundle.Organisation, body []byte) (*job, error) {
		return c.intake.pipelineJob(r, org, body, out)
	})
}

// serveChat is the OpenAI-compatible endpoint; the model names the pipeline.
func (c *callers) serveChat(w http.ResponseWriter, r *http.Request, out *reply) error {
	out.form = chatForm{id: out.id}
	return c.serve(w, r, out, func(plan *bundle.Plan, org *bundle.Organisation, body []byte) (*job, error) {
		return c.intake.chatJob(r, plan, org, body, out)
	})
}

// jobOf builds the job of an authenticated call from its body.
type jobOf func(*bundle.Plan, *bundle.Organisation, []byte) (*job, error)

// serve authenticates a call, reads its body and answers with the run of its job.
func (c *callers) serve(w http.ResponseWriter, r *http.Request, out *reply, build jobOf) error {
	plan, org, err := c.intake.authenticate(r)
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	j, err := build(plan, org, body)
	if err != nil {
		return err
	}
	if err := useKey(r, j); err != nil {
		return err
	}
	c.answerer.answer(r.Context(), j, out)
	return nil
}

// useKey decides what a caller that brings only a key of its own is promised
// (docs/decisions/0004-at-most-once.md). Where every target that may not repeat
// checks keys, the job's calls carry the key; elsewhere nothing could keep the
// promise that the caller expects, and the call is refused.
func useKey(r *http.Request, j *job) error {
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

// modelList is the pipelines as OpenAI's clients see them.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the pipelines as models.
func (c *callers) serveModels(w http.ResponseWriter, r *http.Request) {
	plan, _, err := c.intake.authenticate(r)
	if err != nil {
		(&reply{w: w, form: chatForm{}}).refuse(err)
		return
	}
	list := modelList{Object: "list"}
	for _, p := range plan.Bundle().Pipelines {
		list.Data = append(list.Data, model{ID: p.Name, Object: "model", OwnedBy: plan.Name()})
	}
	writeJSON(w, http.StatusOK, list)
}
