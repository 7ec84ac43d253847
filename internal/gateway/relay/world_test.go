package relay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// answer is what a fake target does with one call.
type answer struct {
	status int
	body   string
	// cut breaks the body off after its text.
	cut bool
	err *verdict.Error
	// hangs answers nothing until the call is ended.
	hangs bool
}

// world is a set of fake targets and batch services that record what they saw.
type world struct {
	mu      sync.Mutex
	answers []answer
	calls   []relay.Call
	// ran counts the calls that a target may have run.
	ran int
	// groups are the groups that were run; groupErrs their errors, in order.
	groups    []relay.Group
	groupErrs []*verdict.Error
	held      map[string]bool
	last      int
	wait      time.Duration
	// planned counts stages that were planned and not cancelled.
	planned int
	// ended are the targets that have ended.
	ended map[string]bool
	// heldBack are the targets that are held back once they have been chosen.
	heldBack map[string]bool
	// ends are the targets that were reported as ended.
	ends []relay.TargetEnded
	// ctx is that of requests that helpers send, and slow how long a target takes to
	// break off.
	ctx  context.Context
	slow time.Duration
	// body is what targets answer unless answers says otherwise.
	body    string
	outcome *relay.Outcome
}

func (w *world) Send(ctx context.Context, c relay.Call) (*relay.Reply, *verdict.Error) {
	if err := c.Permit(); err != nil {
		return nil, verdict.From(err)
	}
	w.mu.Lock()
	a := answer{status: 200, body: w.body}
	if len(w.answers) > 0 {
		a, w.answers = w.answers[0], w.answers[1:]
	}
	w.calls = append(w.calls, c)
	if a.err == nil || a.err.Verdict() != verdict.NotRun {
		w.ran++
	}
	for _, h := range c.Inputs {
		if !w.held[h] {
			w.mu.Unlock()
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "gone")
		}
	}
	w.mu.Unlock()
	if a.hangs {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "hung").WithCause(ctx.Err())
	}
	if a.err != nil {
		time.Sleep(w.slow)
		return nil, a.err
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.cut {
		body = io.MultiReader(body, broken{})
	}
	return &relay.Reply{Status: a.status, Succeeded: a.status < 300, Body: io.NopCloser(body)}, nil
}

// HasEnded says that a target has ended when the test says so.
func (w *world) HasEnded(_ context.Context, target directory.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended[target.ID]
}

// callsSeen returns the calls so far.
func (w *world) callsSeen() []relay.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]relay.Call(nil), w.calls...)
}

// awaitCalls waits until there were so many calls.
func (w *world) awaitCalls(n int) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && len(w.callsSeen()) < n; time.Sleep(time.Millisecond) {
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

func (w *world) Run(_ context.Context, service string, g relay.Group, _ func()) ([]batching.Result, *verdict.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.groups = append(w.groups, g)
	if len(w.groupErrs) > 0 {
		err := w.groupErrs[0]
		w.groupErrs = w.groupErrs[1:]
		if err != nil {
			return nil, err
		}
	}
	var results []batching.Result
	for range g.Count {
		w.last++
		h := fmt.Sprintf("%s-%d", service, w.last)
		w.held[h] = true
		results = append(results, batching.Result{Handle: h, Target: service, DataCentre: "d"})
	}
	return results, nil
}

func (w *world) Release(_ string, results []batching.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range results {
		if !w.held[r.Handle] {
			panic("released twice: " + r.Handle)
		}
		delete(w.held, r.Handle)
	}
}

func (w *world) Plan(_ context.Context, _ string, stages []relay.PlannedStage) []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planned += len(stages)
	backlogs := make([]time.Duration, len(stages))
	for i := range backlogs {
		backlogs[i] = w.wait
	}
	return backlogs
}

func (w *world) Cancel(_ string, stages []relay.PlannedStage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planned -= len(stages)
}

// Place has no answer, so that the node chooses by itself.
func (w *world) Place(context.Context, string, placement.Prompt) (relay.Placed, bool) {
	return relay.Placed{}, false
}

func (w *world) Prefilled(string, string, bool) {}

func (w *world) Decided(_ string, d relay.Decision) {
	if ended, ok := d.(relay.TargetEnded); ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ends = append(w.ends, ended)
	}
}

func (w *world) Ended(o *relay.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcome = o
}

// client is a fake caller.
type client struct {
	begun  bool
	status int
	body   strings.Builder
}

func (c *client) Begin(r *relay.Reply, _ int) error {
	if c.begun {
		panic("begun twice")
	}
	c.begun, c.status = true, r.Status
	return nil
}

func (c *client) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

// setup returns a server for one route, whose stages' links are unknown.
func setup(r *catalog.Route, engine bool) (*world, *relay.Server) {
	return setupLinked(r, engine, 0)
}

// setupLinked returns a server for one route whose stages' results are fetched at so
// many bytes a second.
func setupLinked(r *catalog.Route, engine bool, bytesPerSecond float64) (*world, *relay.Server) {
	return setupView(r, engine, bytesPerSecond, keepView)
}

// Blocked, Take, HeldBack and PauseLeft let every target get every request but those that
// were held back after they had been chosen.
func (w *world) Blocked(*directory.Directory) []string  { return nil }
func (w *world) Take(directory.Incarnation) bool               { return true }
func (w *world) HeldBack(target directory.Incarnation) bool    { return w.heldBack[target.ID] }
func (w *world) PauseLeft(directory.Incarnation) time.Duration { return 0 }

// keepView changes nothing of a view.
func keepView(v *view.View) *view.View { return v }

// setupView returns such a server with a changed view.
func setupView(r *catalog.Route, engine bool, bytesPerSecond float64, change func(*view.View) *view.View) (*world, *relay.Server) {
	return setupWith(r, engine, bytesPerSecond, change, newKeeper())
}

// setupWith returns such a server with a quarantine.
func setupWith(
	r *catalog.Route, engine bool, bytesPerSecond float64, change func(*view.View) *view.View, q relay.Quarantine,
) (*world, *relay.Server) {
	w := &world{held: map[string]bool{}, body: "whole"}
	if r.Kind == catalog.Stream {
		w.body = events(1, 9)
	}
	r.Host, r.Prefix, r.Split = "h", "/", []catalog.Share{{Service: "s", Weight: 1}}
	r.Timeout, r.Objective, r.PauseLimit = 10*time.Second, 2*time.Second, 400*time.Millisecond
	services := []*catalog.Service{{Name: "s", WarmUp: catalog.WarmUp{Duration: 3 * time.Second, RequestsPerSecond: 10}}}
	if engine {
		services[0].Engine = true
	}
	for _, name := range []string{"one", "two", "three"} {
		services = append(services, &catalog.Service{Name: name, Batch: &catalog.Batch{MaxItems: 4, CallLatency: 240 * time.Millisecond, PerItem: 20 * time.Millisecond, LinkBytesPerSecond: bytesPerSecond}})
	}
	c, err := catalog.New(1, []*catalog.Route{r}, services, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	var targets []directory.Target
	for i := range 4 {
		targets = append(targets, directory.Target{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: "d", Slots: 4})
	}
	v := change(&view.View{Revision: 1, Catalog: c, Directory: directory.New(targets...)})
	return w, relay.New(relay.Config{
		DataCentre: "d", View: func() *view.View { return v }, Upstream: w, Batcher: w, Placer: w, Observer: w, Now: time.Now,
		RetryPolicy: retrybudget.Policy{Ratio: 1, Window: 10 * time.Second, Extra: 100, MaxNodes: 1}, NodeCount: func() int { return 1 },
		WarmUp: warmup.Margin{Overshoot: 1.5, Tolerance: 5}, SendsToCold: func(string) bool { return true },
		Quarantine: q, Gate: w,
	})
}

func request(items ...int) *relay.Request {
	return &relay.Request{ID: "id", Host: "h", Path: "/x", Arrived: time.Now(), Timeout: 10 * time.Second, Items: items, Source: "k"}
}

func lost() answer {
	return answer{err: verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")}
}

func refused() answer {
	return answer{err: verdict.New(verdict.NotRun, verdict.ReasonRefused, "full")}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}
