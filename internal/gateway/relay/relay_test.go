package relay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
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

// world is a set of fake targets and batch services that remember what they saw.
type world struct {
	mu      sync.Mutex
	answers []answer
	calls   []relay.Call
	// ran counts the calls that a target may have run.
	ran int
	// makes are the groups asked for; makeErrs their errors, in order.
	makes    []relay.Group
	makeErrs []*verdict.Error
	held     map[string]bool
	last     int
	wait     time.Duration
	// planned counts stages that were planned and not cancelled.
	planned int
	// body is what targets answer when nothing else is said.
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
		return nil, a.err
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.cut {
		body = io.MultiReader(body, broken{})
	}
	return &relay.Reply{Status: a.status, Succeeded: a.status < 300, Body: io.NopCloser(body)}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

func (w *world) Run(_ context.Context, service string, g relay.Group, _ func()) ([]batching.Result, *verdict.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.makes = append(w.makes, g)
	if len(w.makeErrs) > 0 {
		err := w.makeErrs[0]
		w.makeErrs = w.makeErrs[1:]
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

// Place knows of no engine, so that the node chooses by itself.
func (w *world) Place(context.Context, string, placement.Prompt) (string, bool) { return "", false }

func (w *world) Prefilled(string, string, bool) {}

func (w *world) Decided(string, relay.Decision) {}

func (w *world) Ended(o *relay.Outcome) { w.outcome = o }

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

// setup returns a server for one route.
func setup(r *catalog.Route, engine bool) (*world, *relay.Server) {
	w := &world{held: map[string]bool{}, body: "whole"}
	if r.Kind == catalog.Stream {
		w.body = events(1, 9)
	}
	r.Host, r.Prefix, r.Split = "h", "/", []catalog.Share{{Service: "s", Weight: 1}}
	r.Timeout, r.Objective, r.PauseLimit = 10*time.Second, 2*time.Second, 400*time.Millisecond
	services := []*catalog.Service{{Name: "s"}}
	if engine {
		services[0].Engine = &catalog.Engine{Slots: 8}
	}
	for _, name := range []string{"one", "two", "three"} {
		services = append(services, &catalog.Service{Name: name, Batch: &catalog.Batch{MaxItems: 4, CallLatency: 240 * time.Millisecond, PerItem: 20 * time.Millisecond}})
	}
	c, err := catalog.New(1, []*catalog.Route{r}, services, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	var targets []directory.Target
	for i := range 4 {
		targets = append(targets, directory.Target{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: "d", Slots: 4})
	}
	v := &view.View{Revision: 1, Catalog: c, Directory: directory.New(targets...)}
	return w, relay.New(relay.Config{
		DataCentre: "d", View: func() *view.View { return v }, Upstream: w, Batcher: w, Placer: w, Observer: w, Now: time.Now,
		RetryPolicy: retrybudget.Policy{Ratio: 1, Window: 10 * time.Second, Extra: 100, MaxNodes: 1}, Members: func() int { return 1 },
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

func TestOnce(t *testing.T) {
	convey.Convey("A request that may not be repeated", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Once, MaxAttempts: 1}, false)
		out := &client{}
		convey.Convey("is not sent again when it may have run, and the caller is not told otherwise", func() {
			w.answers = []answer{lost()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(w.calls, convey.ShouldHaveLength, 1)
		})
		convey.Convey("is sent to another target after a proof that it has not run", func() {
			w.answers = []answer{refused()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(w.calls, convey.ShouldHaveLength, 2)
			convey.So(w.calls[0].Target.ID, convey.ShouldNotEqual, w.calls[1].Target.ID)
		})
		convey.Convey("is refused with a time to come back when nobody takes it", func() {
			w.answers = []answer{refused(), refused(), refused()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("gets its target's own failure unchanged", func() {
			w.answers = []answer{{status: 500, body: "sorry"}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.status, convey.ShouldEqual, 500)
			convey.So(out.body.String(), convey.ShouldEqual, "sorry")
		})
		convey.Convey("is not a success when its answer is cut", func() {
			w.answers = []answer{{status: 200, body: "who", cut: true}}
			convey.So(s.Serve(t.Context(), request(), out).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(out.begun, convey.ShouldBeFalse)
		})
	})
}

func TestLate(t *testing.T) {
	convey.Convey("A request that a target may not be sent any more, as its time is over, is refused with a time to retry", t, func() {
		_, s := setup(&catalog.Route{Kind: catalog.Once, MaxAttempts: 1}, false)
		late := request()
		late.Arrived = late.Arrived.Add(-late.Timeout)
		err := s.Serve(t.Context(), late, &client{})
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
	})
}

func TestRepeatable(t *testing.T) {
	convey.Convey("A request that may be repeated goes to another target, as often as its route allows", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Repeatable, MaxAttempts: 2}, false)
		out := &client{}
		for name, first := range map[string]answer{"lost": lost(), "failed": {status: 500}, "cut": {status: 200, body: "w", cut: true}} {
			convey.Convey("after one that is "+name, func() {
				w.answers = []answer{first}
				convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
				convey.So(out.body.String(), convey.ShouldEqual, "whole")
				convey.So(w.calls, convey.ShouldHaveLength, 2)
			})
		}
		convey.Convey("and no oftener", func() {
			w.answers = []answer{lost(), lost()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(w.calls, convey.ShouldHaveLength, 2)
		})
	})
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestStream(t *testing.T) {
	convey.Convey("A stream that may be resumed", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
		out := &client{}
		convey.Convey("goes on at another target after its last whole event", func() {
			w.answers = []answer{{status: 200, body: events(1, 3) + "id: 4\nda", cut: true}, {status: 200, body: events(4, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
			convey.So(w.calls[1].LastEvent, convey.ShouldEqual, "3")
		})
		convey.Convey("repeats no event that a target sends again", func() {
			w.answers = []answer{{status: 200, body: events(1, 3), cut: true}, {status: 200, body: events(2, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
		})
		convey.Convey("is not whole when it ends within an event", func() {
			w.answers = []answer{{status: 200, body: events(1, 2) + "id: 3\n"}, lost()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 2))
		})
	})
	convey.Convey("A stream that may not be resumed is not sent again", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, true)
		w.answers = []answer{{status: 200, body: events(1, 2), cut: true}}
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldNotBeNil)
		convey.So(w.calls, convey.ShouldHaveLength, 1)
	})
	convey.Convey("A silent target is left for another", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
			w.answers = []answer{{hangs: true}, {status: 200, body: events(1, 2)}}
			out := &client{}
			if err := s.Serve(t.Context(), request(), out); err != nil || out.body.String() != events(1, 2) {
				t.Fatalf("got %q and %v", out.body.String(), err)
			}
		})
	})
}

// chain is a route with stages one, two after one, and three after two.
func chain() *catalog.Route {
	return &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2, Stages: []catalog.Stage{
		{Service: "one", ResultBytes: 8000}, {Service: "two", After: []int{0}, ResultBytes: 60000}, {Service: "three", After: []int{1}, ResultBytes: 6000},
	}}
}

func gone() *verdict.Error { return verdict.New(verdict.NotRun, verdict.ReasonInputGone, "gone") }

func TestStages(t *testing.T) {
	convey.Convey("Stages run in order, each on all results of those before it", t, func() {
		w, s := setup(chain(), true)
		convey.So(s.Serve(t.Context(), request(1, 4, 2), &client{}), convey.ShouldBeNil)
		convey.So(w.makes, convey.ShouldHaveLength, 3)
		convey.So(w.makes[0].Source, convey.ShouldEqual, "k")
		convey.So(w.makes[1].Source, convey.ShouldBeEmpty)
		convey.So(w.makes[1].Inputs, convey.ShouldHaveLength, 1)
		convey.So(w.makes[2].Inputs, convey.ShouldHaveLength, 4)
		convey.So(w.calls[0].Inputs, convey.ShouldHaveLength, 2)
		convey.So(w.held, convey.ShouldBeEmpty)
	})
	convey.Convey("The stages of a long prompt are due sooner", t, func() {
		due := func(tokens int) time.Duration {
			w, s := setup(chain(), true)
			r := request(1, 4, 2)
			r.Tokens = tokens
			convey.So(s.Serve(t.Context(), r, &client{}), convey.ShouldBeNil)
			return w.makes[0].Due.Sub(r.Arrived)
		}
		convey.So(due(100)-due(2000), convey.ShouldEqual, 0)
		convey.So(due(100)-due(30_000), convey.ShouldBeGreaterThan, 400*time.Millisecond)
	})
	convey.Convey("A stage without items is left out", t, func() {
		w, s := setup(chain(), true)
		convey.So(s.Serve(t.Context(), request(1, 1, 0), &client{}), convey.ShouldBeNil)
		convey.So(w.makes, convey.ShouldHaveLength, 2)
	})
	convey.Convey("When an input is gone, the work begins again at the first stage that is not held", t, func() {
		w, s := setup(chain(), true)
		w.makeErrs = []*verdict.Error{nil, nil, gone()}
		convey.So(s.Serve(t.Context(), request(1, 4, 2), &client{}), convey.ShouldBeNil)
		for i, m := range w.makes {
			convey.So(m.Stage == 0 || len(m.Inputs) > 0, convey.ShouldBeTrue)
			convey.So(m.Stage, convey.ShouldEqual, []int{0, 1, 2, 0, 1, 2}[i])
		}
		convey.So(w.held, convey.ShouldBeEmpty)
	})
	convey.Convey("A stream that goes on elsewhere has its freed inputs made again", t, func() {
		w, s := setup(chain(), true)
		w.answers = []answer{{status: 200, body: events(1, 2), cut: true}, {status: 200, body: events(3, 4)}}
		out := &client{}
		convey.So(s.Serve(t.Context(), request(1, 4, 2), out), convey.ShouldBeNil)
		convey.So(out.body.String(), convey.ShouldEqual, events(1, 4))
		convey.So(w.held, convey.ShouldBeEmpty)
	})
	convey.Convey("A stage that fails ends the request as not run", t, func() {
		w, s := setup(chain(), true)
		w.makeErrs = []*verdict.Error{nil, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "late")}
		err := s.Serve(t.Context(), request(1, 4, 2), &client{})
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(w.calls, convey.ShouldBeEmpty)
		convey.So(w.held, convey.ShouldBeEmpty)
	})
	convey.Convey("When the stages cannot be done in time", t, func() {
		w, s := setup(chain(), true)
		w.wait = 3 * time.Second
		convey.Convey("the request is refused before any work is done", func() {
			err := s.Serve(t.Context(), request(1, 4, 2), &client{})
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonOverload)
			convey.So(err.RetryAfter(), convey.ShouldBeBetween, time.Second, 10*time.Second/3)
			convey.So(w.makes, convey.ShouldBeEmpty)
			convey.So(w.planned, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("An idle system refuses nobody, however short the objective", t, func() {
		r := chain()
		w, s := setup(r, true)
		r.Objective = 500 * time.Millisecond
		convey.So(s.Serve(t.Context(), request(1, 4, 2), &client{}), convey.ShouldBeNil)
		convey.So(w.makes, convey.ShouldHaveLength, 3)
	})
	convey.Convey("One that has come back waits, and is refused while it has half of its time left", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(chain(), true)
			w.wait = 3 * time.Second
			_ = s.Serve(t.Context(), request(1, 4, 2), &client{})
			again := request(1, 4, 2)
			again.Timeout = 7 * time.Second
			err := s.Serve(t.Context(), again, &client{})
			took := time.Since(again.Arrived)
			if err == nil || err.Verdict() != verdict.NotRun || err.RetryAfter() <= 0 || len(w.makes) > 0 {
				t.Errorf("got %v after %d groups", err, len(w.makes))
			}
			if took < 2*time.Second || took > 3500*time.Millisecond {
				t.Errorf("held for %v", took)
			}
		})
	})
	convey.Convey("One that has come back is let in as soon as it can be in time", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(chain(), true)
			w.wait = 3 * time.Second
			_ = s.Serve(t.Context(), request(1, 4, 2), &client{})
			time.AfterFunc(time.Second, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.wait = 0
			})
			again := request(1, 4, 2)
			again.Timeout = 7 * time.Second
			if err := s.Serve(t.Context(), again, &client{}); err != nil {
				t.Error(err)
			}
		})
	})
}

func TestStop(t *testing.T) {
	convey.Convey("A stopping node gives up what has no answer, as not run", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(&catalog.Route{Kind: catalog.Once, MaxAttempts: 1}, false)
			w.answers = []answer{{hangs: true}}
			time.AfterFunc(time.Second, s.Stop)
			began := time.Now()
			err := s.Serve(t.Context(), request(), &client{})
			if err == nil || err.Verdict() != verdict.MayHaveRun || time.Since(began) != time.Second {
				t.Fatalf("got %v after %v", err, time.Since(began))
			}
		})
	})
}

// TestServeAgainstOracle lets targets and stages do anything and holds what a
// caller and the targets see against the promises.
func TestServeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := chain()
		r.Kind = catalog.Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
		r.Resumable = rapid.Bool().Draw(t, "resumable")
		r.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		w, s := setup(r, true)
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			w.answers = append(w.answers, drawAnswer(t))
		}
		for range rapid.IntRange(0, 8).Draw(t, "makes") {
			w.makeErrs = append(w.makeErrs, rapid.SampledFrom([]*verdict.Error{nil, nil, gone(), verdict.New(verdict.NotRun, verdict.ReasonOverload, "full")}).Draw(t, "make"))
		}
		out := &client{}
		err := s.Serve(context.Background(), request(1, 2, 3), out)
		may := r.MayRepeat()
		switch {
		case !may && w.ran > 1:
			t.Fatalf("a request that may not be repeated ran %d times", w.ran)
		case may && w.ran > r.MaxAttempts:
			t.Fatalf("%d targets may have run it, %d are allowed", w.ran, r.MaxAttempts)
		case err != nil && err.Verdict() == verdict.NotRun && w.ran > 0 && !may:
			t.Fatalf("refused as not run, and it ran")
		case len(w.held) > 0:
			t.Fatalf("results %v were never freed", w.held)
		case err != nil && err.Verdict() == verdict.NotRun && err.RetryAfter() <= 0:
			t.Fatalf("refused without a time to come back: %v", err)
		case err == nil && !out.begun:
			t.Fatal("no error and no answer")
		}
		for _, m := range w.makes {
			if len(r.Stages[m.Stage].After) > 0 && len(m.Inputs) == 0 {
				t.Fatalf("stage %d was asked for without inputs", m.Stage)
			}
		}
		if r.Kind == catalog.Stream && out.status == 200 && !strings.HasPrefix(events(1, 9), out.body.String()) {
			t.Fatalf("the stream has a gap or a repeat: %q", out.body.String())
		}
	})
}

// drawAnswer draws what a target does. A stream's events depend on nothing but
// their numbers, so a target that goes on from the start sends them again.
func drawAnswer(t *rapid.T) answer {
	switch rapid.IntRange(0, 5).Draw(t, "answer") {
	case 0:
		return lost()
	case 1:
		return refused()
	case 2:
		return answer{status: 500, body: "sorry"}
	case 3:
		return answer{status: 200, body: events(1, rapid.IntRange(0, 9).Draw(t, "events")) + rapid.SampledFrom([]string{"", "id: "}).Draw(t, "torn"), cut: true}
	case 4:
		return answer{err: gone()}
	}
	return answer{status: 200, body: events(1, 9)}
}
