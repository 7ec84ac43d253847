// Package relay forwards requests from clients to the targets that serve them. It runs
// the stages of a request first and then sends the request itself, unchanged, with
// retries where its route allows them. It owns the statistics of targets, clients and
// prompts and the retry budgets of this node. All of them are kept in memory only.
//
// The decisions are in package rules. Serve shows the order of the steps: resolve, admit,
// run the stages, deliver.
//
// The package depends on a view of the configuration and the targets, a Batcher for
// stages, a Placer for prompts, an Upstream for calls, and a clock. Without a
// configuration requests are refused as not ready. If the Placer does not respond, this
// node chooses an engine by itself. If the Batcher or all targets fail, the request ends
// with a verdict error that says whether it may have run.
//
// An engine is a target that generates from prompts. A plain service has no engines and
// runs no items of stages. A cold target is still warming up and gets a limited rate of
// requests. Package quarantine explains suspected and quarantined requests.
//
// The package is independent of protocols: clients and targets are ports, and an adapter
// translates each.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/intake"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	DataCentre string
	// Node is the unique name of this node.
	Node string
	// View returns the newest view.
	View func() *view.View
	// AwaitCatalog waits for the first configuration if it may arrive soon. It is called
	// only while there is none.
	AwaitCatalog func(ctx context.Context)

	Upstream Upstream
	Batcher  Batcher
	Placer   Placer
	Observer Observer
	Now      func() time.Time
	// RetryPolicy limits the retries of all nodes together.
	RetryPolicy retrybudget.Policy
	// NodeCount returns how many nodes share the targets' connections.
	NodeCount func() int
	// TargetSample is how many of the targets that report their speed are compared for a
	// request; 0 for all.
	TargetSample int
	// WarmUp widens the request rate limits of cold targets.
	WarmUp warmup.Margin
	// SendsToCold reports whether this node sends requests to a cold target of a plain
	// service. Only the Placer assigns requests to cold engines.
	SendsToCold func(target string) bool
	// Quarantine tracks the requests that crash the targets that run them.
	Quarantine Quarantine
	// Parts tracks the parts of prompts that crash the targets that begin to answer them.
	Parts PartQuarantine
	// Streams remembers at which targets streams began.
	Streams StreamOrigins
	// Gate controls which targets may get a request.
	Gate Gate
	// Lender lends what other members may send to limited targets.
	Lender Lender
	// Isolated returns a context that is done while this node reaches no target in any way.
	Isolated func() context.Context
	// Overload returns the load of this node for which a request is refused, if it is; nil if
	// none ever is.
	Overload func() (intake.Load, bool)
	// Answers bounds the responses that are being read; nil for a pool of its own.
	Answers *answers.Pool
	// MaxItems bounds the items that one request has over all its stages; 0 for no bound.
	MaxItems int
}

// Server relays requests. Create it with New.
type Server struct {
	cfg Config

	// stopping is cancelled when requests without a response are to be abandoned.
	stopping context.Context
	stop     context.CancelFunc

	targets  *targetStats
	budgets  *retryBudgets
	timeouts *clientTimeouts
	prefills *prefillRates
	// missingInputs records when inputs were released too early.
	missingInputs *missingInputs
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Answers == nil {
		cfg.Answers = answers.NewPool(answers.PoolBytes(0))
	}
	stopping, stop := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg, stopping: stopping, stop: stop,
		targets: newTargetStats(cfg.Now, cfg.WarmUp), budgets: newRetryBudgets(cfg.RetryPolicy, cfg.Now),
		timeouts: newClientTimeouts(), prefills: newPrefillRates(), missingInputs: newMissingInputs(),
	}
}

// Stop abandons the requests whose response has not started.
func (s *Server) Stop() { s.stop() }

// Prune drops the statistics of targets that are not in the directory.
func (s *Server) Prune(d *directory.Directory) { s.targets.prune(d) }

// Speeds describes the targets of plain services that report their speed.
func (s *Server) Speeds() []targetspeed.View { return s.targets.speeds() }

// RetriesSpent returns what this node spent in the last window of the retry budget, at the service
// with the most retries.
func (s *Server) RetriesSpent() retrybudget.Spent { return s.budgets.spent() }

// Serve relays a request. If it returns an error, the client has received no response or,
// if the response had started, only a part of it.
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
	if err := s.refuseOverloaded(r); err != nil {
		return err
	}
	if err := s.refuseQuarantined(r); err != nil {
		return err
	}
	s.countParts(r)
	ctx, cancel := context.WithTimeout(ctx, r.times.ResponseDeadline.Sub(s.cfg.Now()))
	defer cancel()
	if err := s.refuseEvacuated(r); err != nil {
		return err
	}
	if s.cfg.Isolated().Err() != nil {
		return s.refuseIsolated(r)
	}
	if err := s.resumeStream(ctx, r, outcome); err != nil {
		return err
	}
	if err := s.refuseUnheard(ctx, r); err != nil {
		return err
	}
	defer func() { outcome.OverShare = r.overShare }()
	admitted, err := s.admit(ctx, r)
	if err != nil {
		return err
	}
	outcome.Planned = admitted.estimated
	d := s.newDelivery(r, out, outcome)
	defer context.AfterFunc(s.stopping, func() {
		if !d.response.started.Load() {
			cancel()
		}
	})()
	defer func() { outcome.Recomputed = d.runner.recomputes }()
	defer func() { d.runner.results.releaseAll() }()
	if err := s.runStages(ctx, d, admitted); err != nil {
		return d.finalError(err)
	}
	outcome.StagesTook = s.cfg.Now().Sub(req.Arrived)
	if err := d.deliver(ctx); err != nil {
		return d.finalError(err)
	}
	return nil
}

// decisionReporter returns a function that reports decisions about a request to the
// observer.
func (s *Server) decisionReporter(r *resolvedRequest) func(Decision) {
	return func(d Decision) { s.cfg.Observer.Decided(r.req.ID, d) }
}

// notReadyRetryAfter returns when a client should retry after a node without a
// configuration refused it. When the source will respond is unknown, so the delay follows
// from the client's timeout, as after every refusal.
func notReadyRetryAfter(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return defaultRetryAfter
	}
	return retryAfter(timeout)
}

// defaultRetryAfter applies to clients that send no timeout: long enough to spare a node
// that has just started, and short compared to any timeout.
const defaultRetryAfter = time.Second

// retryAfter returns when a client with the given time left should retry.
func retryAfter(left time.Duration) time.Duration {
	return rules.RetryAfter(left, rand.Float64())
}
