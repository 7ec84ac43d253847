// Package relay carries one request from its caller to the targets that serve
// it: its stages first, then the request itself, passed through unchanged, with
// retries where its route allows them. It owns what it has measured of targets,
// clients and prompts, and the retry budgets of this node; nothing outlives the
// process.
//
// What it decides stands in package rules. Serve shows the order: resolve, admit,
// run the stages, deliver.
//
// It relies on a view of the configuration and the targets, on a Batcher for the
// stages, a Placer for prompts and an Upstream for calls, and on the clock. Without
// a configuration requests are refused as not ready. Without a Placer's answer this
// node chooses an engine by itself. When the Batcher or all targets fail, the
// request ends with a verdict error that says whether it may have run.
//
// The package speaks no protocol. Callers and targets are ports; an adapter
// translates each.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Config holds what a Server is made of.
type Config struct {
	DataCentre string
	// Node is this node's own name; no other node has it.
	Node string
	// View returns the newest view.
	View func() *view.View
	// AwaitCatalog waits until the first configuration is there, when that may come
	// soon. It is asked only while there is none.
	AwaitCatalog func(ctx context.Context)

	Upstream Upstream
	Batcher  Batcher
	Placer   Placer
	Observer Observer
	Now      func() time.Time
	// RetryPolicy bounds the retries of all nodes.
	RetryPolicy retrybudget.Policy
	// NodeCount returns how many nodes share the targets' connections.
	NodeCount func() int
	// WarmUp widens what cold targets get.
	WarmUp warmup.Margin
	// SendsToCold says whether this node gives out the requests of a cold target of a plain
	// service. Those of cold engines only the Placer does.
	SendsToCold func(target string) bool
	// Quarantine knows the requests that end the targets that run them.
	Quarantine Quarantine
	// Gate says which targets may get a request.
	Gate Gate
}

// Server relays requests. Create it with New.
type Server struct {
	cfg Config

	// stopping ends when requests without an answer are to be given up.
	stopping context.Context
	stop     context.CancelFunc

	targets  *targets
	budgets  *retryBudgets
	timeouts *clientTimeouts
	prefills *prefillRates
	// inputsGone is when inputs were released too early.
	inputsGone *inputsGone
}

// New returns a server.
func New(cfg Config) *Server {
	stopping, stop := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg, stopping: stopping, stop: stop,
		targets: newTargets(cfg.Now, cfg.WarmUp), budgets: newRetryBudgets(cfg.RetryPolicy, cfg.Now),
		timeouts: newClientTimeouts(), prefills: newPrefillRates(), inputsGone: newInputsGone(),
	}
}

// Stop gives up the requests whose answer has not begun.
func (s *Server) Stop() { s.stop() }

// Prune forgets what was measured of targets that are gone.
func (s *Server) Prune(d *directory.Directory) { s.targets.prune(d) }

// Serve relays a request. With an error the caller has got nothing, or, if the
// answer had begun, not the whole answer.
func (s *Server) Serve(ctx context.Context, req *Request, out Responder) *verdict.Error {
	outcome := &Outcome{Request: req}
	err := s.serve(ctx, req, out, outcome)
	outcome.Took = s.cfg.Now().Sub(req.Arrived)
	outcome.Err = err
	s.cfg.Observer.Ended(outcome)
	return err
}

func (s *Server) serve(ctx context.Context, req *Request, out Responder, outcome *Outcome) *verdict.Error {
	if s.cfg.View().Catalog == nil {
		s.cfg.AwaitCatalog(ctx)
	}
	r, err := s.resolve(req, outcome)
	if err != nil {
		return err
	}
	if err := s.refuseHeld(r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.times.Answer.Sub(s.cfg.Now()))
	defer cancel()
	if err := s.refuseEvacuated(r); err != nil {
		return err
	}
	if outcome.Planned, err = s.admit(ctx, r); err != nil {
		return err
	}
	d := s.delivery(r, out, outcome)
	defer context.AfterFunc(s.stopping, func() {
		if !d.answer.begun.Load() {
			cancel()
		}
	})()
	defer func() { outcome.Recomputed = d.work.recomputes }()
	defer func() { d.work.results.releaseAll() }()
	if err := d.work.results.run(ctx); err != nil {
		return d.final(err)
	}
	outcome.StagesTook = s.cfg.Now().Sub(req.Arrived)
	if err := d.deliver(ctx); err != nil {
		return d.final(err)
	}
	return nil
}

// decided reports a decision to the observer.
func (s *Server) decided(r *resolved) func(Decision) {
	return func(d Decision) { s.cfg.Observer.Decided(r.req.ID, d) }
}

// unreadyRetryAfter returns when a client should retry that met a node without a
// configuration. Nobody knows when the source will answer, so the client's own time
// decides, as after every refusal.
func unreadyRetryAfter(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return unknownRetryAfter
	}
	return retryAfter(timeout)
}

// unknownRetryAfter is for clients that send no timeout: long enough to spare a node
// that has just started, short beside any timeout.
const unknownRetryAfter = time.Second

// retryAfter returns when a client should retry that has so much time left.
func retryAfter(left time.Duration) time.Duration {
	return rules.RetryAfter(left, rand.Float64())
}
