package relay_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// crash is what fails while a group runs.
type crash struct {
	// stages are the stages whose targets crash, with all results that they hold.
	stages []int
	// before is whether that happens before the group reads its inputs, instead of after.
	before bool
	// repeats is whether the group's own target crashes too, after it has read its inputs, so
	// that another one reads them again.
	repeats bool
}

// reading is when a group's inputs are reported as read.
type reading int

const (
	readAtOnce reading = iota
	readAtEnd
	// readLate is lateness after the group has ended, as a coordinator that is late does.
	readLate
)

const lateness = 2 * time.Millisecond

// stageTargets runs groups like the targets of a coordinator: their results exist until they
// are released or their target crashes, and a group ends if one of its inputs does not exist.
type stageTargets struct {
	*fakePorts
	route *catalog.Route
	items []int
	// crashes are what fails in the groups that run, in their order; readings is when their
	// inputs are reported as read, without an entry when they are.
	crashes  []crash
	readings []reading

	mu sync.Mutex
	// runs counts the groups, runsOf those of each stage, gone those that did not find an input.
	runs, gone int
	runsOf     []int
	// made counts the results, lost has those whose target crashed.
	made int
	lost map[string]bool
	// faults are what groups and calls were sent that they must not be.
	faults []string
}

// serveStages serves one request whose stages have the given items.
func serveStages(route *catalog.Route, items []int, crashes []crash, readings []reading) (*stageTargets, *verdict.Error) {
	return serveStagesWith(route, items, crashes, readings, func(relay.Group) {})
}

// serveStagesWith is serveStages with something to do before a group runs.
func serveStagesWith(route *catalog.Route, items []int, crashes []crash, readings []reading, before func(relay.Group)) (*stageTargets, *verdict.Error) {
	f, s := setup(route, true)
	w := &stageTargets{fakePorts: f, route: route, items: items, crashes: crashes, readings: readings, lost: map[string]bool{}, runsOf: make([]int, len(items))}
	f.runGroup = func(ctx context.Context, g relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
		before(g)
		return w.run(ctx, g, inputsRead)
	}
	err := s.Serve(context.Background(), request(items...), &fakeClient{})
	for _, c := range f.callsSeen() {
		w.checkInputs("the request", route.LastStages(), c.Inputs)
	}
	return w, err
}

func (w *stageTargets) run(ctx context.Context, g relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	c, reading := w.begin(g)
	time.Sleep(time.Millisecond)
	if c.before {
		w.lose(c.stages)
	}
	if !w.exist(g.Inputs) {
		return nil, inputGone()
	}
	if reading == readAtOnce {
		inputsRead()
	}
	if !c.before {
		w.lose(c.stages)
	}
	time.Sleep(time.Duration(1+g.Stage) * time.Millisecond)
	if reading == readLate {
		time.AfterFunc(lateness, inputsRead)
	}
	if c.repeats && !w.exist(g.Inputs) {
		return nil, inputGone()
	}
	if ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "withdrawn")
	}
	if reading == readAtEnd {
		inputsRead()
	}
	return w.results(g), nil
}

// begin counts a group and checks what it was sent.
func (w *stageTargets) begin(g relay.Group) (c crash, r reading) {
	w.checkInputs(fmt.Sprintf("stage %d", g.Stage), w.route.Stages[g.Stage].After, g.Inputs)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs < len(w.crashes) {
		c = w.crashes[w.runs]
	}
	if w.runs < len(w.readings) {
		r = w.readings[w.runs]
	}
	w.runs++
	w.runsOf[g.Stage]++
	return c, r
}

// checkInputs records a fault unless the inputs are one result of each item of some stages.
func (w *stageTargets) checkInputs(reader string, after []int, inputs []string) {
	var want, got []string
	for _, a := range after {
		for k := range w.items[a] {
			want = append(want, fmt.Sprintf("%d/%d", a, k))
		}
	}
	for _, h := range inputs {
		var a, k, n int
		if _, err := fmt.Sscanf(h, "%d/%d/%d", &a, &k, &n); err != nil {
			panic(err)
		}
		got = append(got, fmt.Sprintf("%d/%d", a, k))
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults = append(w.faults, fmt.Sprintf("%s got %v instead of %v", reader, got, want))
	}
}

// lose loses the results of stages, as far as they were made.
func (w *stageTargets) lose(stages []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fakePorts.mu.Lock()
	defer w.fakePorts.mu.Unlock()
	for h := range w.held {
		var a int
		if _, err := fmt.Sscanf(h, "%d/", &a); err != nil {
			panic(err)
		}
		if slices.Contains(stages, a) {
			w.lost[h] = true
		}
	}
}

// exist reports whether all results exist, and counts the group if not.
func (w *stageTargets) exist(handles []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fakePorts.mu.Lock()
	defer w.fakePorts.mu.Unlock()
	if slices.ContainsFunc(handles, func(h string) bool { return w.lost[h] || !w.held[h] }) {
		w.gone++
		return false
	}
	return true
}

func (w *stageTargets) results(g relay.Group) []batching.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fakePorts.mu.Lock()
	defer w.fakePorts.mu.Unlock()
	list := make([]batching.Result, g.Count)
	for k := range list {
		w.made++
		list[k] = batching.Result{Handle: fmt.Sprintf("%d/%d/%d", g.Stage, k, w.made), Target: fmt.Sprintf("stage-%d", g.Stage), DataCentre: "d"}
		w.held[list[k].Handle] = true
	}
	return list
}

// fault returns what was wrong with a request; empty for nothing.
func (w *stageTargets) fault(err *verdict.Error) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case len(w.faults) > 0:
		return w.faults[0]
	case w.gone == 0 && err != nil:
		return "not served: " + err.Error()
	case w.gone <= 1 && err != nil:
		return "not served after one loss: " + err.Error()
	case err != nil && (err.Verdict() != verdict.NotRun || err.RetryAfter() <= 0):
		return "refused without proof or time to retry: " + err.Error()
	case len(w.held) > 0:
		return fmt.Sprintf("%v never released", w.held)
	case w.gone == 0 && slices.ContainsFunc(w.runsOf, func(n int) bool { return n > 1 }):
		return fmt.Sprintf("stages ran %v times though nothing was lost", w.runsOf)
	}
	return ""
}

// graphRoute returns a route whose stages come after others. The stages share three services.
func graphRoute(after ...[]int) *catalog.Route {
	r := &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}
	for i, a := range after {
		r.Stages = append(r.Stages, catalog.Stage{Service: []string{"one", "two", "three"}[i%3], After: a, ResultBytes: 8000})
	}
	return r
}

// TestStagesGetAllInputsAfterCrashes guards against a stage that is given a part of its inputs
// after targets crashed: a result that was made again was released by another stage's repeat
// before its own reader came.
func TestStagesGetAllInputsAfterCrashes(t *testing.T) {
	for name, after := range map[string][][]int{
		"a stage and one that reads both":       {{}, {0}, {0, 1}},
		"both named in the other order":         {{}, {0}, {1, 0}},
		"two after one, and a last that joins":  {{}, {0}, {0}, {1, 2}},
		"a chain whose last reads the first":    {{}, {0}, {1}, {0, 2}},
		"two last stages":                       {{}, {0}, {0, 1}, {0}},
		"a first stage that is also a last one": {{}, {}, {1}, {1, 2}},
		"a chain":                               {{}, {0}, {1}},
		"a chain with its numbers turned round": {{1}, {2}, {}},
		"a first one that reads two later ones": {{1, 2}, {2}, {}},
	} {
		items := []int{1, 4, 6, 2}[:len(after)]
		for _, lost := range subsetsOfTwo(len(after)) {
			for step := range len(after) {
				for form, c := range map[string]crash{
					"before it reads":                          {stages: lost, before: true},
					"after it has read":                        {stages: lost},
					"after it has read, and its own target":    {stages: lost, repeats: true},
					"its own alone, inputs were released then": {repeats: true},
				} {
					var w *stageTargets
					var err *verdict.Error
					for _, read := range [][]reading{nil, slices.Repeat([]reading{readLate}, 2*len(after))} {
						synctest.Test(t, func(*testing.T) {
							w, err = serveStages(graphRoute(after...), items, append(make([]crash, step), c), read)
							time.Sleep(time.Second)
						})
						if fault := w.fault(err); fault != "" {
							t.Errorf("%s, targets of %v crash in run %d %s, read %v: %s", name, lost, step, form, read, fault)
						}
					}
				}
			}
		}
	}
}

// subsetsOfTwo returns all sets of one or two of the numbers below n.
func subsetsOfTwo(n int) [][]int {
	var sets [][]int
	for i := range n {
		sets = append(sets, []int{i})
		for k := range i {
			sets = append(sets, []int{k, i})
		}
	}
	return sets
}

// TestReadersThatLoseTheSameInputs guards against readers that take recomputed results away from
// each other: the second one found the lost results missing as well, and released those that had
// been made again for the first.
func TestReadersThatLoseTheSameInputs(t *testing.T) {
	siblings := graphRoute(nil, []int{0}, []int{0}, []int{0})
	for _, apart := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			// All three read what the target of stage 0 lost.
			w, err := serveStagesWith(siblings, []int{2, 1, 1, 1}, []crash{{}, {stages: []int{0}, before: true}}, nil, func(g relay.Group) {
				time.Sleep(apart * time.Duration(g.Stage))
			})
			if fault := w.fault(err); fault != "" || err != nil {
				t.Errorf("%v apart: %s, %v", apart, fault, err)
			}
			if w.runsOf[0] != 2 {
				t.Errorf("%v apart: stage 0 ran %d times", apart, w.runsOf[0])
			}
		})
	}
}

// TestInputsReleasedAsAttemptEnds guards against a request that is sent with a part of its inputs,
// since they are released early while its next attempt begins.
func TestInputsReleasedAsAttemptEnds(t *testing.T) {
	for range 1500 {
		synctest.Test(t, func(t *testing.T) {
			// The inputs are released when the attempt at the silent engine times out, after 1.2 s.
			f, s := setupWithBandwidth(graphRoute(nil, nil), true, 3*8000/1.16)
			f.replies = []fakeReply{{hangs: true}}
			if err := s.Serve(t.Context(), request(1, 1), &fakeClient{}); err != nil {
				t.Error(err)
			}
			for _, c := range f.calls {
				if len(c.Inputs) != 2 {
					t.Errorf("sent with inputs %v", c.Inputs)
				}
			}
		})
	}
}

func numbersBelow(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestInputsOfRandomStages checks what each group and the request is given against the stages
// that it reads, over graphs of up to six stages with crashes at random steps.
func TestInputsOfRandomStages(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(r, "stages")
		after, items := make([][]int, n), make([]int, n)
		// The numbers of the stages say nothing of their order.
		numbers := rapid.Permutation(numbersBelow(n)).Draw(r, "numbers")
		for i := range n {
			items[i] = rapid.IntRange(0, 3).Draw(r, "items")
			for a := range i {
				if rapid.Bool().Draw(r, "reads") {
					after[numbers[i]] = append(after[numbers[i]], numbers[a])
				}
			}
		}
		var crashes []crash
		var readings []reading
		for range rapid.IntRange(0, 12).Draw(r, "steps") {
			var c crash
			if rapid.IntRange(0, 3).Draw(r, "quiet") == 0 {
				c.stages = rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 2).Draw(r, "crashes")
				c.before, c.repeats = rapid.Bool().Draw(r, "before"), rapid.Bool().Draw(r, "repeats")
			}
			crashes = append(crashes, c)
			readings = append(readings, reading(rapid.IntRange(int(readAtOnce), int(readLate)).Draw(r, "reading")))
		}
		var w *stageTargets
		var err *verdict.Error
		synctest.Test(t, func(*testing.T) {
			w, err = serveStages(graphRoute(after...), items, crashes, readings)
			time.Sleep(time.Second)
		})
		if fault := w.fault(err); fault != "" {
			r.Fatal(fault)
		}
	})
}

// TestResultsThatAreNotAll guards against a call with a part of its inputs, whatever the reason: a
// service that returns fewer results than it was asked for ends the request instead.
func TestResultsThatAreNotAll(t *testing.T) {
	for _, short := range []int{0, 1, 2} {
		convey.Convey(fmt.Sprintf("If stage %d returns a result too few, nothing that reads it is sent", short), t, func() {
			f, s := setup(chainRoute(), true)
			readers := 0
			f.runGroup = func(_ context.Context, g relay.Group, _ func()) ([]batching.Result, *verdict.Error) {
				if g.Stage > short {
					readers++
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				list := make([]batching.Result, g.Count)
				for k := range list {
					f.handles++
					list[k] = batching.Result{Handle: fmt.Sprint(f.handles), Target: "t", DataCentre: "d"}
				}
				if g.Stage == short {
					list = list[1:]
				}
				for _, r := range list {
					f.held[r.Handle] = true
				}
				return list, nil
			}
			err := s.Serve(t.Context(), request(2, 4, 2), &fakeClient{})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(readers, convey.ShouldEqual, 0)
			convey.So(f.calls, convey.ShouldBeEmpty)
			convey.So(f.held, convey.ShouldBeEmpty)
		})
	}
}
