// Package equivalence_test holds the admission core against the one that stood
// before it was parted along its rules: the same events give the same effects.
package equivalence_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

var start = time.Unix(1000, 0)

func poolText(name, kind, model string, targets int) string {
	text := fmt.Sprintf(`{"name":%q,"kind":%q,%s"checksFences":false,"checksKeys":false,"targets":[`, name, kind, model)
	for i := range targets {
		text += fmt.Sprintf(`{"name":"%s%d","address":"127.0.%d.%d:1","dataCentre":"d%d","slots":%d},`, name, i, name[0], i+1, i%3%2, 1+i%3)
	}
	return text + "]},"
}

func planOf(number int, withLarge bool) *bundle.Plan {
	before := ""
	if number > 1 {
		before = fmt.Sprintf("sha256:%064d", number)
	}
	text := fmt.Sprintf(`{"name":"t","number":%d,"previous":%q,"objective":{"attainmentWeight":1,"costWeight":0.5},"models":[{"name":"m","version":"1","adapters":[]}],"organisations":[`, number, before)
	for i, org := range []string{"a", "b", "c"} {
		text += fmt.Sprintf(`{"name":%q,"weight":%d,"keyDigests":["sha256:%064d"],"limits":{"concurrency":%d,"requestsPerSecond":%d,"tokensPerSecond":2000}},`, org, 1+2*i, i, 8+number, 20*(i+1))
	}
	text += `],"pools":[` + poolText("p", "service", "", 3) + poolText("q", "engine", `"model":"m",`, 5)
	if withLarge {
		text += poolText("r", "service", "", 70)
	}
	text += `],"pipelines":[{"name":"x","deadlineMs":10000,"stages":[
		{"name":"s","pool":"p","repeatable":true,"minimumMs":100,"cost":{"perCall":1,"perToken":0}},
		{"name":"u","pool":"q","needs":["s"],"maxTokens":100,"repeatable":true,"minimumMs":50,"cost":{"perCall":1,"perToken":0.1}}]},`
	if withLarge {
		text += `{"name":"y","deadlineMs":10000,"stages":[
		{"name":"s","pool":"r","repeatable":true,"minimumMs":10,"cost":{"perCall":1,"perToken":0}}]},`
	}
	p, err := bundle.Parse("test", []byte(text+`]}`))
	if err != nil {
		panic(err)
	}
	return p
}

var plans = []*bundle.Plan{planOf(1, true), planOf(2, false), planOf(3, true)}

// both steps the two cores and compares all that can be seen of them.
type both struct {
	now     time.Time
	old     *Core
	core    *admission.Core
	plan    int
	last    uint64
	granted []uint64
	waiting []uint64
	open    []uint64
	kinds   map[string]int
}

func describeError(e *verdict.Error) string {
	return fmt.Sprint(e.Verdict(), e.Reason(), e.Text(), e.RetryAfter(), e.SafeToRetry())
}

func (b *both) step(t *rapid.T, old Event, ev admission.Event) {
	was, is := []string{}, []string{}
	for _, effect := range b.old.Step(b.now, old) {
		switch e := effect.(type) {
		case Admit:
			was = append(was, fmt.Sprint("admit ", e.ID))
		case Grant:
			was = append(was, fmt.Sprint("grant ", e.ID, e.Target, e.Pool, e.Patience))
		case Refuse:
			was = append(was, fmt.Sprint("refuse ", e.ID, describeError(e.Err)))
		}
	}
	for _, effect := range b.core.Step(b.now, ev) {
		switch e := effect.(type) {
		case admission.Admit:
			is = append(is, fmt.Sprint("admit ", e.ID))
			b.open = append(b.open, e.ID)
		case admission.Grant:
			is = append(is, fmt.Sprint("grant ", e.ID, e.Target, e.Pool, e.Patience))
			b.waiting = without(b.waiting, e.ID)
			b.granted = append(b.granted, e.ID)
		case admission.Refuse:
			is = append(is, fmt.Sprint("refuse ", e.ID, describeError(e.Err)))
			b.waiting = without(b.waiting, e.ID)
			b.kinds[string(e.Err.Reason())]++
		}
	}
	same(t, was, is)
	same(t, b.old.Held(), b.core.Held())
	same(t, b.old.InFlight(), b.core.InFlight())
	same(t, b.old.NextTick(b.now), b.core.NextTick(b.now))
	same(t, b.old.Targets(b.now), b.core.Targets(b.now))
	same(t, b.old.Organisations(), b.core.Organisations())
}

func same(t *rapid.T, was, is any) {
	if a, b := fmt.Sprint(was), fmt.Sprint(is); a != b {
		t.Fatalf("before: %s\nnow:    %s", a, b)
	}
}

func without(list []uint64, id uint64) []uint64 {
	var kept []uint64
	for _, k := range list {
		if k != id {
			kept = append(kept, k)
		}
	}
	return kept
}

func draw(t *rapid.T, list []uint64) uint64 {
	if len(list) == 0 {
		return 0
	}
	return rapid.SampledFrom(list).Draw(t, "id")
}

func drawTarget(t *rapid.T) string {
	name := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool")
	return fmt.Sprint(name, rapid.IntRange(0, map[string]int{"p": 3, "q": 5, "r": 70}[name]-1).Draw(t, "target"))
}

func (b *both) submit(t *rapid.T, e admission.Submit) {
	b.last++
	e.ID = b.last
	b.waiting = append(b.waiting, e.ID)
	b.step(t, Submit{ID: e.ID, Organisation: e.Organisation, Pipeline: e.Pipeline, Stage: e.Stage, Deadline: e.Deadline, Size: e.Size, Prefix: e.Prefix, Exclude: e.Exclude, Retry: Retry(e.Retry)}, e)
}

func (b *both) drawSubmit(t *rapid.T) admission.Submit {
	p := plans[rapid.IntRange(0, b.plan).Draw(t, "of plan")].Pipeline(rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "pipeline"))
	if p == nil {
		p = plans[0].Pipeline("y")
	}
	return admission.Submit{
		Organisation: rapid.SampledFrom([]string{"a", "b", "c", "none"}).Draw(t, "organisation"), Pipeline: p,
		Stage:    rapid.IntRange(0, len(p.Stages)-1).Draw(t, "stage"),
		Deadline: b.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond),
		Size:     rapid.IntRange(0, 5000).Draw(t, "size"), Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Exclude: []string{drawTarget(t)}, Retry: admission.Retry(max(0, rapid.IntRange(-4, 2).Draw(t, "retry"))),
	}
}

func TestSameAsBefore(t *testing.T) {
	kinds := map[string]int{}
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		never := rapid.IntRange(0, 9).Draw(t, "never") == 0
		seed := uint64(rapid.IntRange(0, 1000).Draw(t, "seed"))
		b := &both{
			now: start, kinds: kinds,
			old:  New(Config{DataCentre: "d0", Seed: seed, NeverRefuse: never}),
			core: admission.New(admission.Config{DataCentre: "d0", Seed: seed, NeverRefuse: never}),
		}
		b.step(t, Install{Plan: plans[0]}, admission.Install{Plan: plans[0]})
		errs := []*verdict.Error{
			nil, nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, ""), verdict.New(verdict.NotRun, verdict.ReasonRefused, ""),
			verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, ""), verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, ""),
		}
		actions := map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { b.submit(t, b.drawSubmit(t)) },
			"burst": func(t *rapid.T) {
				e := b.drawSubmit(t)
				for range rapid.IntRange(2, 20).Draw(t, "n") {
					b.submit(t, e)
				}
			},
			"open": func(t *rapid.T) {
				e := b.drawSubmit(t)
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					b.last++
					o := admission.Open{ID: b.last, Organisation: e.Organisation, Bundle: 1 + b.plan, Pipeline: e.Pipeline, Deadline: e.Deadline, Size: e.Size, Tokens: e.Size / 10}
					b.step(t, Open{ID: o.ID, Organisation: o.Organisation, Bundle: o.Bundle, Pipeline: o.Pipeline, Deadline: o.Deadline, Size: o.Size, Tokens: o.Tokens}, o)
				}
			},
			"close": func(t *rapid.T) {
				id := draw(t, b.open)
				b.open = without(b.open, id)
				b.step(t, Close{ID: id}, admission.Close{ID: id})
			},
			"end": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "n") {
					id := draw(t, b.granted)
					b.granted = without(b.granted, id)
					err := rapid.SampledFrom(errs).Draw(t, "err")
					took := time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Millisecond
					b.step(t, Ended{ID: id, Err: err, Took: took}, admission.Ended{ID: id, Err: err, Took: took})
				}
			},
			"withdraw": func(t *rapid.T) {
				id := draw(t, append(append([]uint64{}, b.waiting...), b.granted...))
				b.waiting, b.granted = without(b.waiting, id), without(b.granted, id)
				b.step(t, Withdraw{ID: id}, admission.Withdraw{ID: id})
			},
			"report": func(t *rapid.T) {
				r := admission.Report{
					Target: drawTarget(t), Incarnation: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "incarnation"),
					Running: rapid.IntRange(0, 9).Draw(t, "running"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond,
				}
				b.step(t, Report{Target: r.Target, Incarnation: r.Incarnation, Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving, Age: r.Age}, r)
			},
			"mark": func(t *rapid.T) {
				name := drawTarget(t)
				b.step(t, Mark{Target: name, Incarnation: "i"}, admission.Mark{Target: name, Incarnation: "i"})
			},
			"nodes": func(t *rapid.T) {
				n := rapid.IntRange(0, 3).Draw(t, "n")
				b.step(t, Nodes{Count: n}, admission.Nodes{Count: n})
			},
			"install": func(t *rapid.T) {
				b.plan = min(b.plan+1, len(plans)-1)
				b.step(t, Install{Plan: plans[b.plan]}, admission.Install{Plan: plans[b.plan]})
			},
			"read a report": func(t *rapid.T) {
				was, known := b.old.NextReport(b.now)
				is, found := b.core.NextReport(b.now)
				same(t, fmt.Sprint(was, known), fmt.Sprint(is, found))
			},
			"time passes": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 150, 700, 2500}).Draw(t, "ms")) * time.Millisecond)
				b.step(t, Tick{}, admission.Tick{})
			},
		}
		for name, action := range actions {
			actions[name] = func(t *rapid.T) { steps++; action(t) }
		}
		t.Repeat(actions)
	})
	var seen []string
	for reason, n := range kinds {
		seen = append(seen, fmt.Sprint(reason, "=", n))
	}
	t.Log(steps, "actions; refusals", strings.Join(seen, " "))
}
