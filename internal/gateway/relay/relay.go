// Package relay carries one request from its caller to the targets that serve
// it: the work of its stages first, then the request itself, passed through
// unchanged. It decides where the request goes, when it may be repeated and what
// the caller is told.
//
// The package speaks no protocol. Callers and targets are ports; an adapter
// translates each.
package relay

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Part is a part of a prompt; parts are shared between requests.
type Part struct {
	ID     string
	Tokens int
}

// Request is one attempt of a client.
type Request struct {
	ID   string
	Host string
	Path string
	// Key is the key that the client gave; empty for none.
	Key string
	// Arrived is when the request came in.
	Arrived time.Time
	// Timeout is how long the client waits; 0 for unknown.
	Timeout time.Duration
	// Parts are the shared parts of the prompt, in order.
	Parts []Part
	// Tokens is how long the prompt is.
	Tokens int
	// Items is how many items each stage has.
	Items []int
	// Source is the key of what the first items are made from.
	Source string
	// LastEvent is the event after which the client goes on; empty for the start.
	LastEvent string
	// Payload is the adapter's own form of what is passed through.
	Payload any
}

// Call is a request on its way to one target.
type Call struct {
	Target directory.Target
	ID     string
	// Payload is the request's.
	Payload any
	// Until is when the target may stop working.
	Until time.Time
	// Organisation is the holder of the caller's key; empty for none.
	Organisation string
	// Priority is the rank at an engine, from 0 (first) to 9; -1 for none.
	Priority int
	// Inputs are the handles of the last stages' results.
	Inputs []string
	// LastEvent is the event after which the target goes on; empty for the start.
	LastEvent string
	// Permit is asked just before the first byte is written.
	Permit func() error
}

// Reply is a target's answer to a call whose head has come.
type Reply struct {
	// Status is the target's own status.
	Status int
	// Succeeded says whether the status is a success.
	Succeeded bool
	// Head is the adapter's own form of what is passed back.
	Head any
	// Body gives the answer; an end without error proves that it is whole.
	Body io.ReadCloser
	// Load is what the target told of itself; nil for nothing.
	Load *placement.Load
}

// Upstream sends calls to targets.
type Upstream interface {
	Send(ctx context.Context, c Call) (*Reply, *verdict.Error)
}

// Responder answers a caller. Begin is called once, before any Write.
type Responder interface {
	// Begin passes on a target's head; length is -1 for a stream.
	Begin(r *Reply, length int) error
	// Write passes on bytes at once.
	Write(p []byte) error
}

// Group is the items of one stage of one request.
type Group struct {
	Request string
	Stage   int
	Count   int
	// Source or Inputs are what the items are made from.
	Source     string
	Inputs     []string
	Bytes      int64
	Due        time.Time
	Deadline   time.Time
	Priority   int
	DataCentre string
}

// Batcher has items made.
type Batcher interface {
	// Run returns the results in the order of the items' numbers. It calls
	// started, if at all, once the items should have read their inputs.
	Run(ctx context.Context, service string, g Group, started func()) ([]batching.Result, *verdict.Error)
	// Release frees results.
	Release(service string, results []batching.Result)
	// Plan tells of the stages that a request will ask for, and returns how long
	// each stage's service takes for what was planned or asked for before; 0 where
	// that is not known.
	Plan(ctx context.Context, request string, stages []PlannedStage) []time.Duration
	// Cancel takes plans back.
	Cancel(request string, stages []PlannedStage)
}

// Placer chooses engines with regard to what all nodes sent.
type Placer interface {
	// Place returns the identity of an engine; false when none could be asked for.
	Place(ctx context.Context, service string, p placement.Prompt) (string, bool)
	// Prefilled says that a prompt that was placed has been read, or that its request
	// has ended without.
	Prefilled(service, request string, whole bool)
}

// PlannedStage is work that a request will ask for.
type PlannedStage struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
}

// Observer is told of what is decided about requests.
type Observer interface {
	// Decided is told of each decision on the way.
	Decided(request string, d Decision)
	// Ended is told of the end.
	Ended(o *Outcome)
}

// Decision is something decided about a request on its way.
type Decision interface{ isDecision() }

// Refused is a request that is not let in because its stages would take too long.
type Refused struct {
	// Stages and Backlogs are what was planned and how long each stage's service
	// takes for what was planned before.
	Stages   []PlannedStage
	Backlogs []time.Duration
	// Estimated is how long the stages would take, and Left the time to the objective.
	Estimated, Left time.Duration
}

// StageDone is a stage whose results are there.
type StageDone struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	// Targets are the makers.
	Targets []string
}

// StageFailed is a stage that gave no results.
type StageFailed struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	Err     *verdict.Error
}

// AttemptFailed is a call to a target that ended without a whole answer.
type AttemptFailed struct {
	Attempt Attempt
	// Events is how many events had been passed on.
	Events int
	// LastEvent is the event after which another target would go on.
	LastEvent string
	// Left is the time until the request must have its answer.
	Left time.Duration
	// WillRetry says whether another target may be asked.
	WillRetry bool
}

func (Refused) isDecision()       {}
func (StageDone) isDecision()     {}
func (StageFailed) isDecision()   {}
func (AttemptFailed) isDecision() {}

// Outcome is the story of one request.
type Outcome struct {
	Request      *Request
	Route        *catalog.Route
	Service      string
	Organisation string
	// Version and Revision are those of the view that governed the request.
	Version  int64
	Revision int64
	Attempts []Attempt
	// Planned is how long the stages were expected to take when the request was
	// let in.
	Planned time.Duration
	// StagesTook is the time until all stages were done.
	StagesTook time.Duration
	// FirstByte is the time to the first byte passed back; 0 for none.
	FirstByte time.Duration
	Took      time.Duration
	Status    int
	Events    int
	// Recomputed counts how often results had to be made again.
	Recomputed int
	Err        *verdict.Error
}

// Attempt is one call to a target.
type Attempt struct {
	Target string
	Took   time.Duration
	Status int
	Err    *verdict.Error
}

// Config holds what a Server is made of.
type Config struct {
	DataCentre string
	View       func() *view.View
	Upstream   Upstream
	Batcher    Batcher
	Placer     Placer
	Observer   Observer
	Now        func() time.Time
	// RetryPolicy bounds repeats over all nodes.
	RetryPolicy retrybudget.Policy
	// Members returns how many nodes share the targets' connections.
	Members func() int
}

// Server relays requests. Create it with New.
type Server struct {
	cfg Config

	// stopped is closed when requests without an answer are to be given up.
	stopped  chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex
	table   *placement.TargetTable
	budgets map[string]*retrybudget.Budget
	// patience is the longest that clients of a route wait.
	patience map[string]time.Duration
	// readers is what was learnt of how fast each service reads prompts.
	readers map[string]*readingPace
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, stopped: make(chan struct{}), table: placement.NewTargetTable(),
		budgets: map[string]*retrybudget.Budget{}, patience: map[string]time.Duration{},
		readers: map[string]*readingPace{},
	}
}

const (
	// answerMargin is kept free before the end of a request's time, so that its
	// answer reaches the caller in time.
	answerMargin = 25 * time.Millisecond
	// defaultPatience is assumed of clients that do not tell theirs.
	defaultPatience = 30 * time.Second
	// engineLead is the least time that is planned from the last stage to an
	// engine's first event.
	engineLead = 150 * time.Millisecond
	// priorityLevels is the number of ranks at engines.
	priorityLevels = 10
	// routePriorities is how many priorities of routes fit into one of an
	// organisation.
	routePriorities = 3
)

// job is one request under way.
type job struct {
	s       *Server
	req     *Request
	out     Responder
	view    *view.View
	route   *catalog.Route
	service *catalog.Service
	org     *catalog.Organisation
	// until is when the request must have its answer.
	until time.Time
	// objective is when its answer should come.
	objective time.Time
	// lead is the time planned from the last stage to the answer's beginning.
	lead    time.Duration
	outcome Outcome
	tried   []string
	// sends counts the calls that a target may have run.
	sends int
	begun atomic.Bool
	// sentAt is when the attempt at work was sent.
	sentAt time.Time
	result *stageResults
}

// Stop gives up the requests whose answer has not begun.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// Serve relays a request. With an error the caller has got nothing, or, if the
// answer had begun, not the whole answer.
func (s *Server) Serve(ctx context.Context, req *Request, out Responder) *verdict.Error {
	j := &job{s: s, req: req, out: out, view: s.cfg.View()}
	err := j.run(ctx)
	j.outcome.Request = req
	j.outcome.Route = j.route
	j.outcome.Took = s.cfg.Now().Sub(req.Arrived)
	j.outcome.Err = err
	s.cfg.Observer.Ended(&j.outcome)
	return err
}

// Begun says whether the outcome's answer had begun.
func (o *Outcome) Begun() bool { return o.FirstByte > 0 }

func (j *job) run(ctx context.Context) *verdict.Error {
	if err := j.resolve(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, j.until.Sub(j.s.cfg.Now()))
	defer cancel()
	if err := j.admit(ctx); err != nil {
		return err
	}
	release := j.giveUpOnStop(cancel)
	defer release()
	j.result = newStageResults(j)
	defer func() { j.result.releaseAll() }()
	if err := j.result.make(ctx); err != nil {
		return j.explain(ctx, err)
	}
	j.outcome.StagesTook = j.s.cfg.Now().Sub(j.req.Arrived)
	if err := j.deliver(ctx); err != nil {
		return j.explain(ctx, err)
	}
	return nil
}

// giveUpOnStop ends the request when the node stops before its answer has begun.
func (j *job) giveUpOnStop(cancel context.CancelFunc) (release func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-j.s.stopped:
			if !j.begun.Load() {
				cancel()
			}
		case <-done:
		}
	}()
	return func() { close(done) }
}

// explain completes an error with when to come back.
func (j *job) explain(ctx context.Context, err *verdict.Error) *verdict.Error {
	if j.sends > 0 && !j.route.MayRepeat() {
		err = err.WithVerdict(verdict.MayHaveRun)
	}
	if err.Verdict() == verdict.NotRun && err.RetryAfter() == 0 {
		err = err.WithRetryAfter(j.comeBack())
	}
	return err
}

// decided tells the observer of a decision.
func (j *job) decided(d Decision) { j.s.cfg.Observer.Decided(j.req.ID, d) }

// resolve finds the route, the organisation and the service.
func (j *job) resolve() *verdict.Error {
	c := j.view.Catalog
	if c == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	j.outcome.Version, j.outcome.Revision = c.Version, j.view.Revision
	j.route = c.Route(j.req.Host, j.req.Path)
	if j.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no route leads there")
	}
	if !j.route.Public && c.NeedsKeys() {
		if j.org = c.Organisation(j.req.Key); j.org == nil {
			return verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "the key is not known")
		}
		j.outcome.Organisation = j.org.Name
	}
	name := j.route.Service(xxhash.Sum64String(j.req.ID))
	j.service = c.Service(name)
	if j.service == nil {
		j.service = &catalog.Service{Name: name}
	}
	j.outcome.Service = name
	j.bound()
	return nil
}

// bound sets how long the request may take.
func (j *job) bound() {
	patience := j.req.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	j.until = j.req.Arrived.Add(patience - min(answerMargin, patience/10))
	j.objective = j.req.Arrived.Add(j.route.Objective)
	j.lead = max(engineLead, j.s.readingTime(j.service.Name, j.req.Tokens))
}

// priority is the rank at an engine: the organisation's comes before the route's.
func (j *job) priority() int {
	p := min(j.route.Priority, routePriorities-1)
	if j.org != nil {
		p += j.org.Priority * routePriorities
	}
	return min(max(p, 0), priorityLevels-1)
}

// organisation returns the name passed to targets.
func (j *job) organisation() string {
	if j.org == nil {
		return ""
	}
	return j.org.Name
}

// spend asks for a repeat, or counts a first call.
func (s *Server) spend(service string, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retrybudget.New(s.cfg.RetryPolicy)
		s.budgets[service] = b
	}
	now := s.cfg.Now()
	if first {
		b.First(now)
		return true
	}
	return b.Spend(now)
}

// Prune forgets what was learnt of targets that are gone.
func (s *Server) Prune(d *directory.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Prune(d)
}
