package request_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/native/request"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const header = `{"name":"t","number":1,"previous":"","objective":{"attainmentWeight":1,"costWeight":0},
"organisations":[{"name":"o","weight":1,"keyDigests":["sha256:0000000000000000000000000000000000000000000000000000000000000000"],
"limits":{"concurrency":1,"requestsPerSecond":1,"tokensPerSecond":1}}],
"pools":[{"name":"p","kind":"service","checksFences":false,"checksKeys":false,"targets":[{"name":"t","address":"127.0.0.1:1","dataCentre":"d","slots":1}]}],
"pipelines":[{"name":"x","deadlineMs":10000,"stages":[`

const cost = `"minimumMs":1,"cost":{"perCall":1,"perToken":0}`

// diamond is a pipeline whose middle stages run side by side; the once stage
// may not be repeated.
var diamond = mustPlan(
	`{"name":"first","pool":"p","repeatable":true,` + cost + `},
	 {"name":"left","pool":"p","needs":["first"],"repeatable":true,` + cost + `},
	 {"name":"once","pool":"p","needs":["first"],"repeatable":false,` + cost + `},
	 {"name":"last","pool":"p","needs":["left","once"],"repeatable":true,"attempts":3,` + cost + `}`)

func mustPlan(stages string) *bundle.PipelinePlan {
	plan, err := bundle.Parse("test", []byte(header+stages+`]}]}`))
	if err != nil {
		panic(err)
	}
	return plan.Pipeline("x")
}

var start = time.Unix(1000, 0)

func TestStages(t *testing.T) {
	convey.Convey("Given a request that has begun", t, func() {
		s, effects := request.Step(request.New(diamond, start.Add(time.Second)), start, request.Begin{})
		convey.So(effects, convey.ShouldResemble, []request.Effect{request.Run{Stage: 0, Attempt: 1}})
		convey.Convey("its stages run when what they need is done, side by side", func() {
			_, effects = request.Step(s, start, request.Answered{Stage: 0, Attempt: 1, Output: "f"})
			convey.So(len(effects), convey.ShouldEqual, 2)
		})
		convey.Convey("an answer of an attempt that is no longer current changes nothing", func() {
			s, _ = request.Step(s, start, request.Broke{Stage: 0, Attempt: 1, Target: "t", Err: verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "")})
			after, effects := request.Step(s, start, request.Answered{Stage: 0, Attempt: 1, Output: "late"})
			convey.So(effects, convey.ShouldBeEmpty)
			convey.So(after.Stage(0).Status, convey.ShouldEqual, request.Running)
		})
		convey.Convey("a whole answer after the deadline does not count", func() {
			s, effects = request.Step(s, start.Add(2*time.Second), request.Answered{Stage: 0, Attempt: 1, Output: "f"})
			convey.So(s.Finished(), convey.ShouldBeTrue)
			convey.So(s.Verdict(), convey.ShouldEqual, verdict.Ran)
			convey.So(len(effects), convey.ShouldEqual, 2)
		})
	})
}

func TestRetries(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "")
	refused := verdict.New(verdict.NotRun, verdict.ReasonRefused, "")
	cases := []struct {
		name  string
		stage int
		errs  []*verdict.Error
		again bool
	}{
		{"a repeatable stage after a lost answer", 0, []*verdict.Error{lost}, true},
		{"a repeatable stage after two lost answers", 0, []*verdict.Error{lost, lost}, false},
		{"one with three attempts after two lost answers", 3, []*verdict.Error{lost, lost}, true},
		{"a stage that may not be repeated after a lost answer", 2, []*verdict.Error{lost}, false},
		{"one that provably did not run", 2, []*verdict.Error{refused, refused}, true},
		{"one that did not run, then was lost", 2, []*verdict.Error{refused, lost}, false},
		{"any stage after six refusals", 0, []*verdict.Error{refused, refused, refused, refused, refused, refused}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("It gets another attempt, or the request ends", t, func() {
				s, _ := request.Step(request.New(diamond, start.Add(time.Minute)), start, request.Begin{})
				for i := range c.stage {
					s, _ = request.Step(s, start, request.Answered{Stage: i, Attempt: 1})
					if c.stage == 3 && i == 1 {
						s, _ = request.Step(s, start, request.Answered{Stage: 2, Attempt: 1})
					}
				}
				for i, err := range c.errs {
					s, _ = request.Step(s, start, request.Broke{Stage: c.stage, Attempt: i + 1, Target: "t", Err: err})
				}
				convey.So(s.Finished(), convey.ShouldEqual, !c.again)
			})
		})
	}
}

func TestLostStreams(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "")
	for _, onLoss := range []bundle.StageOnLoss{bundle.StageOnLossFail, bundle.StageOnLossContinue} {
		p := *diamond
		p.Stages = []bundle.Stage{{Name: "generate", Repeatable: true, OnLoss: onLoss}}
		p.Order, p.Last = []int{0}, 0
		convey.Convey("Given a stream with onLoss "+string(onLoss), t, func() {
			s, _ := request.Step(request.New(&p, start.Add(time.Minute)), start, request.Begin{})
			broke := request.Broke{Stage: 0, Attempt: 1, Target: "t", Err: lost, Tokens: 2}
			convey.Convey("that is lost before the caller has any text, it runs again, unseen", func() {
				_, effects := request.Step(s, start, broke)
				convey.So(effects, convey.ShouldResemble, []request.Effect{request.Run{Stage: 0, Attempt: 2, Exclude: []string{"t"}}})
			})
			convey.Convey("that is lost later, it ends in an error or goes on from the text sent", func() {
				s, _ = request.Step(s, start, request.Text{Stage: 0, Attempt: 1, Text: "two "})
				s, _ = request.Step(s, start, request.Text{Stage: 0, Attempt: 1, Text: "words "})
				s, effects := request.Step(s, start, broke)
				if onLoss == bundle.StageOnLossFail {
					convey.So(s.Finished(), convey.ShouldBeTrue)
					return
				}
				convey.So(effects, convey.ShouldResemble, []request.Effect{
					request.Run{Stage: 0, Attempt: 2, Exclude: []string{"t"}, Prefix: "two words ", PrefixTokens: 2},
				})
				_, effects = request.Step(s, start, request.Text{Stage: 0, Attempt: 2, Text: "more"})
				convey.So(effects, convey.ShouldResemble, []request.Effect{request.Emit{Text: "more"}})
			})
		})
	}
}

// attempt is a running attempt as the world sees it.
type attempt struct {
	stage, number int
	// end is how it ended; nil while it runs.
	end request.Event
}

// world is the oracle: it knows what really ran and what the caller got.
type world struct {
	state    request.State
	now      time.Time
	open     []attempt
	runs     map[int]int
	emitted  string
	finished bool
	refusal  *verdict.Error
}

func (w *world) step(t *rapid.T, ev request.Event) {
	var effects []request.Effect
	w.state, effects = request.Step(w.state, w.now, ev)
	for _, effect := range effects {
		if w.finished || w.refusal != nil {
			t.Fatalf("effect %T after the final answer", effect)
		}
		switch e := effect.(type) {
		case request.Run:
			w.open = append(w.open, attempt{stage: e.Stage, number: e.Attempt})
		case request.Emit:
			w.emitted += e.Text
		case request.Finish:
			w.finished = true
		case request.Fail:
			w.refusal = e.Err
		}
	}
}

func (w *world) check(t *rapid.T) {
	total := 0
	for stage, n := range w.runs {
		total += n
		if !diamond.Stages[stage].Repeatable && n > 1 {
			t.Fatalf("stage %s ran %d times", diamond.Stages[stage].Name, n)
		}
	}
	if w.refusal != nil && w.refusal.Verdict() == verdict.NotRun && total > 0 {
		t.Fatalf("told not run; %d stages ran", total)
	}
	if w.refusal != nil && w.state.SafeToRetry() && w.runs[2] > 0 {
		t.Fatal("told safe to retry; the stage that may not be repeated ran")
	}
	if w.finished && w.emitted != "out last" {
		t.Fatalf("a whole answer of %q", w.emitted)
	}
}

// end ends an attempt in some way and returns what a shell could know of it.
func (w *world) end(t *rapid.T, a attempt) request.Event {
	name := diamond.Stages[a.stage].Name
	broke := request.Broke{Stage: a.stage, Attempt: a.number, Target: fmt.Sprint("t", a.number)}
	switch rapid.SampledFrom([]string{"whole", "refused", "dial", "lost before", "lost after", "held in vain"}).Draw(t, "end") {
	case "whole":
		w.runs[a.stage]++
		return request.Answered{Stage: a.stage, Attempt: a.number, Target: broke.Target, Output: "out " + name}
	case "refused":
		broke.Err = verdict.New(verdict.NotRun, verdict.ReasonRefused, "")
	case "dial":
		broke.Err = verdict.New(verdict.NotRun, verdict.ReasonDial, "")
	case "lost before":
		broke.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "")
	case "lost after":
		w.runs[a.stage]++
		broke.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "")
	default:
		broke.Target = ""
		broke.Err = verdict.New(verdict.NotRun, verdict.ReasonOverload, "")
	}
	return broke
}

func TestRequestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, runs: map[int]int{}, state: request.New(diamond, start.Add(5*time.Second))}
		w.step(t, request.Begin{})
		t.Repeat(map[string]func(*rapid.T){
			"attempt ends": func(t *rapid.T) {
				if len(w.open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.open)-1).Draw(t, "attempt")
				if w.open[i].end == nil {
					w.open[i].end = w.end(t, w.open[i])
				}
				end := w.open[i].end
				// An ended attempt sometimes stays, and its end arrives twice.
				if !rapid.Bool().Draw(t, "twice") {
					w.open = append(w.open[:i], w.open[i+1:]...)
				}
				w.step(t, end)
			},
			"time passes": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"deadline": func(t *rapid.T) {
				if !w.now.Before(w.state.Deadline()) {
					w.step(t, request.Expired{})
				}
			},
			"caller goes": func(t *rapid.T) {
				if rapid.IntRange(0, 29).Draw(t, "chance") == 29 {
					w.step(t, request.Abandoned{})
				}
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}
