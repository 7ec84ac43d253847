package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	slots    = 2
	targets  = 3
	deadline = time.Second
)

// planText is a deployment of two organisations, one pool and one pipeline.
func planText(number int, pool string) []byte {
	text := fmt.Sprintf(`{"name":"t","number":%d,"previous":"%s","objective":{"attainmentWeight":1,"costWeight":0},"organisations":[`, number, previous(number))
	for i, org := range []string{"large", "small"} {
		text += fmt.Sprintf(`{"name":%q,"weight":1,"keyDigests":["sha256:%064d"],"limits":{"concurrency":4,"requestsPerSecond":1000,"tokensPerSecond":1000}},`, org, i)
	}
	text += fmt.Sprintf(`],"pools":[{"name":%q,"kind":"service","checksFences":false,"checksKeys":false,"targets":[`, pool)
	for i := range targets {
		text += fmt.Sprintf(`{"name":"t%d","address":"127.0.0.1:%d","dataCentre":"d","slots":%d},`, i, i+1, slots)
	}
	return []byte(text + fmt.Sprintf(`]}],"pipelines":[{"name":"x","deadlineMs":10000,"stages":[
		{"name":"s","pool":%q,"repeatable":true,"minimumMs":100,"cost":{"perCall":1,"perToken":0}}]}]}`, pool))
}

func previous(number int) string {
	if number == 1 {
		return ""
	}
	return fmt.Sprintf("sha256:%064d", number)
}

func plan(number int, pool string) *bundle.Plan {
	p, err := bundle.Parse("test", planText(number, pool))
	if err != nil {
		panic(err)
	}
	return p
}

var start = time.Unix(1000, 0)

// newCore returns a core with the plan in force.
func newCore() (*admission.Core, *bundle.PipelinePlan) {
	c := admission.New(admission.Config{DataCentre: "d", Seed: 1})
	p := plan(1, "p")
	c.Step(start, admission.Install{Plan: p})
	return c, p.Pipeline("x")
}

func submit(c *admission.Core, now time.Time, id uint64, org string, p *bundle.PipelinePlan, until time.Duration) []admission.Effect {
	return c.Step(now, admission.Submit{ID: id, Organisation: org, Pipeline: p, Deadline: start.Add(until)})
}

func refusalOf(effects []admission.Effect) *verdict.Error {
	if len(effects) == 0 {
		return nil
	}
	r, _ := effects[0].(admission.Refuse)
	return r.Err
}

// fill takes every slot.
func fill(c *admission.Core, p *bundle.PipelinePlan) {
	for i := range targets * slots {
		submit(c, start, uint64(i+1), "large", p, time.Minute)
	}
}

func TestRetryBudgets(t *testing.T) {
	convey.Convey("When losses have used up their budget of retries", t, func() {
		c, p := newCore()
		again := func(id uint64, kind admission.Retry) *verdict.Error {
			effects := c.Step(start, admission.Submit{ID: id, Organisation: "small", Pipeline: p, Deadline: start.Add(deadline), Retry: kind})
			c.Step(start, admission.Withdraw{ID: id})
			return refusalOf(effects)
		}
		id := uint64(1)
		for again(id, admission.AfterLoss) == nil {
			id++
			convey.So(id, convey.ShouldBeLessThan, 100)
		}
		convey.So(again(id+1, admission.AfterLoss).Reason(), convey.ShouldEqual, verdict.ReasonRetryExhausted)
		convey.Convey("a request whose target proved that it did not run still goes to others", func() {
			for k := range uint64(4) {
				convey.So(again(id+2+k, admission.AfterProof), convey.ShouldBeNil)
			}
		})
		convey.Convey("but not without end", func() {
			for again(id, admission.AfterProof) == nil {
				id++
				convey.So(id, convey.ShouldBeLessThan, 200)
			}
		})
	})
}

func TestHoldingAndRefusing(t *testing.T) {
	convey.Convey("Given a pool whose slots are all taken", t, func() {
		c, p := newCore()
		fill(c, p)
		convey.Convey("work that can wait is held, and gets the next slot", func() {
			convey.So(submit(c, start, 100, "small", p, deadline), convey.ShouldBeEmpty)
			convey.So(c.Held(), convey.ShouldEqual, 1)
			effects := c.Step(start.Add(100*time.Millisecond), admission.Ended{ID: 1, Took: 100 * time.Millisecond})
			convey.So(effects[0].(admission.Grant).ID, convey.ShouldEqual, 100)
		})
		convey.Convey("work whose latest start passes is refused then, not at its deadline", func() {
			submit(c, start, 100, "small", p, deadline)
			convey.So(c.NextTick(start), convey.ShouldEqual, start.Add(900*time.Millisecond))
			err := refusalOf(c.Step(start.Add(900*time.Millisecond), admission.Tick{}))
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonOverload)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("work that cannot start in time behind what is held is refused at once", func() {
			for i := range 30 {
				submit(c, start, uint64(100+i), "small", p, 500*time.Millisecond)
			}
			err := refusalOf(submit(c, start, 200, "small", p, 500*time.Millisecond))
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonOverload)
		})
		convey.Convey("one organisation's burst does not push another's work back", func() {
			for i := range 20 {
				submit(c, start, uint64(100+i), "large", p, 10*time.Second)
			}
			submit(c, start, 200, "small", p, 10*time.Second)
			// The burst may be ahead by four items, which is five grants, no more.
			got := []uint64{}
			for id := uint64(1); id <= 6; id++ {
				for _, e := range c.Step(start.Add(100*time.Millisecond), admission.Ended{ID: id, Took: 100 * time.Millisecond}) {
					got = append(got, e.(admission.Grant).ID)
				}
			}
			convey.So(got, convey.ShouldContain, uint64(200))
		})
		convey.Convey("less slack goes first within an organisation", func() {
			submit(c, start, 100, "small", p, 5*time.Second)
			submit(c, start, 101, "small", p, time.Second)
			effects := c.Step(start.Add(100*time.Millisecond), admission.Ended{ID: 1, Took: 100 * time.Millisecond})
			convey.So(effects[0].(admission.Grant).ID, convey.ShouldEqual, 101)
		})
	})
}

func TestTargetsThatFailOrLeave(t *testing.T) {
	broken := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "")
	convey.Convey("Given an idle pool", t, func() {
		c, p := newCore()
		convey.Convey("a target that leaves gets nothing, and an older report does not take that back", func() {
			c.Step(start, admission.Report{Target: "t0", Incarnation: "i", Leaving: true})
			c.Step(start, admission.Report{Target: "t0", Incarnation: "i", Leaving: false})
			for i := range 4 {
				g := submit(c, start, uint64(i+1), "large", p, deadline)[0].(admission.Grant)
				convey.So(g.Target.Name, convey.ShouldNotEqual, "t0")
			}
			convey.Convey("until another incarnation speaks", func() {
				c.Step(start, admission.Report{Target: "t0", Incarnation: "j"})
				convey.So(c.Targets(start)[0].Leaving, convey.ShouldBeFalse)
			})
		})
		convey.Convey("with all targets leaving, work is refused at once", func() {
			for i := range targets {
				c.Step(start, admission.Mark{Target: fmt.Sprint("t", i), Incarnation: "i"})
			}
			err := refusalOf(submit(c, start, 1, "large", p, deadline))
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		})
		convey.Convey("targets that fail are ejected, never more than half, and get work again", func() {
			id := uint64(0)
			for range 200 {
				id++
				if g, ok := submit(c, start, id, "large", p, deadline)[0].(admission.Grant); ok {
					c.Step(start, admission.Ended{ID: g.ID, Err: broken})
				}
			}
			ejected := 0
			for _, s := range c.Targets(start) {
				if s.Ejected {
					ejected++
				}
			}
			convey.So(ejected, convey.ShouldEqual, 1)
			convey.Convey("a restarted one at once", func() {
				for i := range targets {
					c.Step(start, admission.Report{Target: fmt.Sprint("t", i), Incarnation: "old"})
					c.Step(start, admission.Report{Target: fmt.Sprint("t", i), Incarnation: "new"})
				}
				for _, s := range c.Targets(start) {
					convey.So(s.Ejected, convey.ShouldBeFalse)
				}
			})
			for _, s := range c.Targets(start.Add(time.Minute)) {
				convey.So(s.Ejected, convey.ShouldBeFalse)
			}
		})
	})
}

func TestLimitsOfOrganisations(t *testing.T) {
	convey.Convey("Given an organisation with room for four requests", t, func() {
		c, p := newCore()
		open := func(id uint64, org string, tokens int) *verdict.Error {
			return refusalOf(c.Step(start, admission.Open{ID: id, Organisation: org, Pipeline: p, Deadline: start.Add(deadline), Tokens: tokens}))
		}
		for i := range 4 {
			convey.So(open(uint64(i+1), "large", 0), convey.ShouldBeNil)
		}
		convey.Convey("a fifth is refused and the other organisation is not", func() {
			convey.So(open(5, "large", 0).Reason(), convey.ShouldEqual, verdict.ReasonLimit)
			convey.So(open(6, "small", 0), convey.ShouldBeNil)
		})
		convey.Convey("closing one makes room, also after a new bundle", func() {
			c.Step(start, admission.Install{Plan: plan(2, "p")})
			c.Step(start, admission.Close{ID: 1})
			convey.So(open(5, "large", 0), convey.ShouldBeNil)
		})
		convey.Convey("tokens run out and the refusal says when they are back", func() {
			convey.So(open(5, "small", 1000), convey.ShouldBeNil)
			err := open(6, "small", 500)
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonLimit)
			convey.So(err.RetryAfter(), convey.ShouldBeGreaterThanOrEqualTo, 500*time.Millisecond)
		})
	})
}

func TestRequestsKeepTheirPools(t *testing.T) {
	convey.Convey("A request that began before its pool left the bundle still gets a target", t, func() {
		c, p := newCore()
		c.Step(start, admission.Open{ID: 1, Organisation: "large", Bundle: 1, Pipeline: p, Deadline: start.Add(deadline)})
		c.Step(start, admission.Install{Plan: plan(2, "q")})
		// One of the earlier bundle that is let in just after the change counts too.
		c.Step(start, admission.Open{ID: 9, Organisation: "large", Bundle: 1, Pipeline: p, Deadline: start.Add(deadline)})
		c.Step(start, admission.Close{ID: 1})
		_, granted := submit(c, start, 2, "large", p, deadline)[0].(admission.Grant)
		convey.So(granted, convey.ShouldBeTrue)
		convey.Convey("and the pool is forgotten when no such request is left", func() {
			c.Step(start, admission.Ended{ID: 2})
			c.Step(start, admission.Close{ID: 9})
			convey.So(refusalOf(submit(c, start, 3, "large", p, deadline)).Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		})
	})
}

func TestLargePoolsAreUsedInPart(t *testing.T) {
	convey.Convey("Given a pool of 1,000 targets and 50 nodes", t, func() {
		text := strings.Replace(string(planText(1, "p")), "]}],\"pipelines\"", manyTargets(1000)+"]}],\"pipelines\"", 1)
		p, err := bundle.Parse("large", []byte(text))
		convey.So(err, convey.ShouldBeNil)
		used := map[string]int{}
		for node := range 50 {
			c := admission.New(admission.Config{DataCentre: "far", Seed: uint64(node) * 7919})
			c.Step(start, admission.Install{Plan: p})
			mine := map[string]bool{}
			for i := range 100 {
				g := c.Step(start, admission.Submit{ID: uint64(i + 1), Organisation: "large", Pipeline: p.Pipeline("x"), Deadline: start.Add(time.Hour)})
				if granted, ok := g[0].(admission.Grant); ok {
					mine[granted.Target.Name] = true
					c.Step(start, admission.Ended{ID: granted.ID, Took: time.Millisecond})
				}
			}
			convey.So(len(mine), convey.ShouldBeLessThanOrEqualTo, 32)
			for name := range mine {
				used[name]++
			}
		}
		convey.Convey("nodes spread over most of the targets", func() {
			convey.So(len(used), convey.ShouldBeGreaterThan, 600)
		})
	})
	convey.Convey("A node whose targets all leave uses others", t, func() {
		text := strings.Replace(string(planText(1, "p")), "]}],\"pipelines\"", manyTargets(100)+"]}],\"pipelines\"", 1)
		p, err := bundle.Parse("large", []byte(text))
		convey.So(err, convey.ShouldBeNil)
		c := admission.New(admission.Config{DataCentre: "d", Seed: 1})
		c.Step(start, admission.Install{Plan: p})
		for i := range 102 {
			c.Step(start, admission.Mark{Target: fmt.Sprint("t", i), Incarnation: "i"})
		}
		_, granted := submit(c, start, 1, "large", p.Pipeline("x"), deadline)[0].(admission.Grant)
		convey.So(granted, convey.ShouldBeTrue)
	})
}

// manyTargets adds n targets after those of planText.
func manyTargets(n int) string {
	text := ""
	for i := range n {
		text += fmt.Sprintf(`{"name":"t%d","address":"127.1.%d.%d:1","dataCentre":"d%d","slots":2},`, i+targets, i/250, i%250, i%4)
	}
	return text
}

func TestHeldWorkOutlivesItsPool(t *testing.T) {
	convey.Convey("Work held for a pool that is forgotten can still be withdrawn", t, func() {
		c, p := newCore()
		fill(c, p)
		submit(c, start, 100, "small", p, deadline)
		c.Step(start, admission.Install{Plan: plan(2, "q")})
		convey.So(c.Step(start, admission.Withdraw{ID: 100}), convey.ShouldBeEmpty)
	})
}

// oracle holds the core against the rules that must always hold.
type oracle struct {
	core     *admission.Core
	pipeline *bundle.PipelinePlan
	now      time.Time
	waiting  map[uint64]bool
	granted  map[uint64]string
	leaving  map[string]bool
	last     uint64
}

func (o *oracle) take(t *rapid.T, effects []admission.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case admission.Grant:
			o.answered(t, e.ID)
			o.granted[e.ID] = e.Target.Name
			if o.leaving[e.Target.Name] {
				t.Fatalf("%s is leaving and got work", e.Target.Name)
			}
		case admission.Refuse:
			o.answered(t, e.ID)
			if e.Err.Verdict() != verdict.NotRun {
				t.Fatalf("a refusal of admission says %s", e.Err.Verdict())
			}
		}
	}
	o.check(t)
}

func (o *oracle) answered(t *rapid.T, id uint64) {
	if !o.waiting[id] {
		t.Fatalf("call %d got a second answer", id)
	}
	delete(o.waiting, id)
}

func (o *oracle) check(t *rapid.T) {
	busy := map[string]int{}
	for _, name := range o.granted {
		busy[name]++
	}
	for _, s := range o.core.Targets(o.now) {
		if s.InFlight != busy[s.Target] || s.InFlight > s.Slots {
			t.Fatalf("%s: %d in flight, %d granted, %d slots", s.Target, s.InFlight, busy[s.Target], s.Slots)
		}
	}
	if o.core.Held() != len(o.waiting) {
		t.Fatalf("%d held, %d wait", o.core.Held(), len(o.waiting))
	}
	if o.core.Held() > 0 && o.core.NextTick(o.now).IsZero() {
		t.Fatal("work is held and nothing will look at it")
	}
}

func TestAdmissionAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core, p := newCore()
		o := &oracle{core: core, pipeline: p, now: start, waiting: map[uint64]bool{}, granted: map[uint64]string{}, leaving: map[string]bool{}}
		name := func(t *rapid.T) string { return fmt.Sprint("t", rapid.IntRange(0, targets-1).Draw(t, "target")) }
		pickGranted := func(t *rapid.T) uint64 {
			for id := uint64(1); id <= o.last; id++ {
				if _, ok := o.granted[id]; ok && rapid.Bool().Draw(t, "this") {
					return id
				}
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				o.last++
				o.waiting[o.last] = true
				o.take(t, core.Step(o.now, admission.Submit{
					ID: o.last, Organisation: rapid.SampledFrom([]string{"large", "small"}).Draw(t, "organisation"), Pipeline: p,
					Deadline: o.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond),
					Exclude:  []string{name(t)}, Retry: admission.Retry(rapid.IntRange(0, 2).Draw(t, "retry")),
				}))
			},
			"end": func(t *rapid.T) {
				id := pickGranted(t)
				if id == 0 {
					return
				}
				delete(o.granted, id)
				var err *verdict.Error
				if rapid.Bool().Draw(t, "fails") {
					err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "")
				}
				o.take(t, core.Step(o.now, admission.Ended{ID: id, Err: err, Took: 100 * time.Millisecond}))
			},
			"withdraw": func(t *rapid.T) {
				for id := uint64(1); id <= o.last; id++ {
					if o.waiting[id] {
						delete(o.waiting, id)
						o.take(t, core.Step(o.now, admission.Withdraw{ID: id}))
						return
					}
				}
			},
			"report": func(t *rapid.T) {
				n := name(t)
				r := admission.Report{Target: n, Incarnation: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "incarnation"), Running: rapid.IntRange(0, 9).Draw(t, "running")}
				o.leaving[n] = false // the core may use it again only if this incarnation never said otherwise
				effects := core.Step(o.now, r)
				for _, s := range core.Targets(o.now) {
					o.leaving[s.Target] = s.Leaving
				}
				o.take(t, effects)
			},
			"leave": func(t *rapid.T) {
				n := name(t)
				o.leaving[n] = true
				o.take(t, core.Step(o.now, admission.Report{Target: n, Incarnation: "i", Leaving: true}))
			},
			"time passes": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				o.take(t, core.Step(o.now, admission.Tick{}))
			},
		})
	})
}
