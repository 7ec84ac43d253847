package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

var t0 = time.Unix(1000, 0)

func TestWhatFits(t *testing.T) {
	later := t0.Add(time.Second)
	cases := []struct {
		question string
		in       fitInput
		reason   verdict.Reason
		after    time.Duration
	}{
		{"slots are there and nothing waits", fitInput{slots: 2}, "", 0},
		{"the wait ends at the latest start", fitInput{slots: 2, wait: time.Second}, "", 0},
		{"the wait ends after the latest start", fitInput{slots: 2, wait: 1500 * time.Millisecond}, verdict.ReasonOverload, 500 * time.Millisecond},
		{"the latest start has passed", fitInput{now: later.Add(time.Millisecond), slots: 2}, verdict.ReasonOverload, time.Millisecond},
		{"the pool holds all that it may", fitInput{slots: 2, held: maxHeld, heldPerSlot: time.Minute}, verdict.ReasonOverload, time.Minute},
		{"all targets are leaving", fitInput{}, verdict.ReasonNoTarget, unknownRetryAfter},
		{"an ejected target is probed in time", fitInput{probeAt: later}, "", 0},
		{"an ejected target is probed too late", fitInput{probeAt: later.Add(1)}, verdict.ReasonNoTarget, time.Second + 1},
		{"work is held anyway", fitInput{slots: 2, wait: time.Hour, holdAnyway: true}, "", 0},
		{"work is held anyway and nobody can serve it", fitInput{holdAnyway: true}, verdict.ReasonNoTarget, unknownRetryAfter},
	}
	convey.Convey("An attempt that must start within a second", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				c.in.latestStart = later
				if c.in.now.IsZero() {
					c.in.now = t0
				}
				reason, after := judgeFit(c.in)
				convey.So(reason, convey.ShouldEqual, c.reason)
				convey.So(after, convey.ShouldEqual, c.after)
			})
		}
	})
}

func TestRetryBudgetRule(t *testing.T) {
	cases := []struct {
		question string
		budget   retryBudget
		kind     Retry
		load     float64
		want     bool
		after    retryBudget
	}{
		{"a first attempt in an idle pool pays in", retryBudget{}, First, 0, true, retryBudget{earnedPerAttempt, earnedPerAttempt}},
		{"a first attempt in a full pool pays nothing", retryBudget{1, 1}, First, 1, true, retryBudget{1, 1}},
		{"savings are bounded", newRetryBudget(), First, 0, true, newRetryBudget()},
		{"a retry after a loss", retryBudget{1, 1}, AfterLoss, 0, true, retryBudget{0, 1}},
		{"a retry after a loss that cannot pay", retryBudget{0.9, 1}, AfterLoss, 0, false, retryBudget{0.9, 1}},
		{"a retry after a proof", retryBudget{0, priceAfterProof}, AfterProof, 0, true, retryBudget{0, 0}},
		{"a retry after a proof that cannot pay", retryBudget{1, 0.1}, AfterProof, 0, false, retryBudget{1, 0.1}},
	}
	convey.Convey("A pool's budget of retries", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				convey.So(c.budget.admit(c.kind, c.load), convey.ShouldEqual, c.want)
				convey.So(c.budget, convey.ShouldResemble, c.after)
			})
		}
	})
}

func TestAttemptTimeout(t *testing.T) {
	convey.Convey("An attempt may take a multiple of its expected time, and a minimum", t, func() {
		convey.So(attemptTimeout(time.Second), convey.ShouldEqual, 8*time.Second)
		convey.So(attemptTimeout(0), convey.ShouldEqual, minimumTimeout)
	})
}

func TestEjectionRule(t *testing.T) {
	probed := health{probing: true}
	cases := []struct {
		question string
		before   health
		mayEject bool
		want     health
		ejected  bool
	}{
		{"a first failure", health{}, true, health{failures: 1}, false},
		{"the third in a row", health{failures: 2}, true, health{ejections: 1, ejectedUntil: t0.Add(ejectionBackoff.First), probing: true}, true},
		{"the third when half of the pool is ejected", health{failures: 2}, false, health{failures: 3}, false},
		{"a failed probe", health{ejections: 1, probing: true}, true, health{ejections: 2, ejectedUntil: t0.Add(2 * ejectionBackoff.First), probing: true}, true},
		{"a failed probe of a new incarnation", probed, true, health{ejections: 1, ejectedUntil: t0.Add(ejectionBackoff.First), probing: true}, true},
		{"the hundredth ejection", health{ejections: 99, probing: true}, true, health{ejections: 100, ejectedUntil: t0.Add(ejectionBackoff.Max), probing: true}, true},
	}
	convey.Convey("A target that fails", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				next, ejected := c.before.withFailure(t0, c.mayEject)
				convey.So(next, convey.ShouldResemble, c.want)
				convey.So(ejected, convey.ShouldEqual, c.ejected)
			})
		}
	})
	convey.Convey("A success ends the probing, and the count of ejections", t, func() {
		convey.So(health{ejections: 3, failures: 1, probing: true}.withSuccess(), convey.ShouldResemble, health{})
	})
	convey.Convey("A new incarnation is in service at once and probed", t, func() {
		restarted := target{health: health{ejections: 3, ejectedUntil: t0.Add(time.Hour), probing: true}.withIncarnation()}
		convey.So(restarted.ejected(t0), convey.ShouldBeFalse)
		convey.So(restarted.health, convey.ShouldResemble, probed)
	})
}

func TestWhatSpeaksAgainstATarget(t *testing.T) {
	cases := map[verdict.Reason]bool{
		verdict.ReasonDial: true, verdict.ReasonConnection: true, verdict.ReasonTargetError: true,
		verdict.ReasonIdentity: true, verdict.ReasonCut: true, verdict.ReasonStalled: true,
		verdict.ReasonRefused: false, verdict.ReasonCancelled: false, verdict.ReasonDeadline: false,
	}
	convey.Convey("Of the ways in which an attempt can fail", t, func() {
		for reason, want := range cases {
			convey.Convey(fmt.Sprintf("%s counts: %t", reason, want), func() {
				convey.So(speaksAgainstTarget(verdict.New(verdict.MayHaveRun, reason, "")), convey.ShouldEqual, want)
			})
		}
	})
}

func TestWhenATargetIsUsable(t *testing.T) {
	ejected := health{ejectedUntil: t0.Add(time.Second), probing: true}
	cases := []struct {
		question  string
		target    target
		inService bool
		usable    bool
	}{
		{"nothing is known against it", target{}, true, true},
		{"it is leaving", target{leaving: true}, false, false},
		{"it is ejected", target{health: ejected}, false, false},
		{"it is probed and idle", target{health: health{probing: true}}, true, true},
		{"a probe is under way", target{health: health{probing: true}, inFlight: 1}, true, false},
	}
	convey.Convey("A target", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				convey.So(c.target.inService(t0), convey.ShouldEqual, c.inService)
				convey.So(c.target.usable(t0), convey.ShouldEqual, c.usable)
			})
		}
	})
}

func TestLeavingRule(t *testing.T) {
	cases := []struct {
		question string
		marks    []string
		reports  []Report
		want     bool
	}{
		{"a mark before any report", []string{"i"}, nil, true},
		{"a mark, then a report of that incarnation", []string{"i"}, []Report{{Incarnation: "i"}}, true},
		{"a mark, then a report of another incarnation", []string{"i"}, []Report{{Incarnation: "j"}}, false},
		{"its own report, then an older one", nil, []Report{{Incarnation: "i", Leaving: true}, {Incarnation: "i"}}, true},
		{"a new incarnation, then the marked one again", []string{"i"}, []Report{{Incarnation: "j"}, {Incarnation: "i"}}, true},
	}
	convey.Convey("A target is leaving", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				var target target
				for _, m := range c.marks {
					target.mark(m)
				}
				for _, r := range c.reports {
					target.report(t0, r)
				}
				convey.So(target.leaving, convey.ShouldEqual, c.want)
			})
		}
	})
}

func TestEstimateRule(t *testing.T) {
	p := &bundle.PipelinePlan{Pipeline: bundle.Pipeline{Name: "x", Stages: []bundle.Stage{{Name: "s", MinimumMs: 100}}}}
	convey.Convey("The expected time of a stage", t, func() {
		e := make(estimator)
		convey.Convey("is the bundle's minimum before any attempt", func() {
			convey.So(e.estimate(p, 0, 1000), convey.ShouldEqual, 100*time.Millisecond)
		})
		convey.Convey("is the mean of its size class", func() {
			e.learn(p, 0, 1000, time.Second)
			e.learn(p, 0, 1000, 2*time.Second)
			convey.So(e.estimate(p, 0, 1000), convey.ShouldAlmostEqual, 1100*time.Millisecond, time.Microsecond)
		})
		convey.Convey("is the mean of the nearest class, the smaller one first", func() {
			e.learn(p, 0, 1<<4, time.Second)
			e.learn(p, 0, 1<<8, 2*time.Second)
			convey.So(e.estimate(p, 0, 1<<6), convey.ShouldEqual, time.Second)
			convey.So(e.estimate(p, 0, 1<<7), convey.ShouldEqual, 2*time.Second)
		})
		convey.Convey("is never below the minimum", func() {
			e.learn(p, 0, 1000, time.Millisecond)
			convey.So(e.estimate(p, 0, 1000), convey.ShouldEqual, 100*time.Millisecond)
		})
	})
}

func TestOrderOfHeldWork(t *testing.T) {
	cases := []struct {
		question   string
		served     map[string]float64
		latest     map[string]time.Duration
		wantedNext string
	}{
		{"the earliest latest start", nil, map[string]time.Duration{"a": 2, "b": 1}, "b"},
		{"the name for a tie", nil, map[string]time.Duration{"b": 1, "a": 1}, "a"},
		{"slack within the allowance", map[string]float64{"b": fairAllowance}, map[string]time.Duration{"a": 2, "b": 1}, "b"},
		{"the least served beyond the allowance", map[string]float64{"b": fairAllowance + 0.1}, map[string]time.Duration{"a": 2, "b": 1}, "a"},
	}
	convey.Convey("A free slot goes by", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				p := newPool(&bundle.Pool{})
				for name, latest := range c.latest {
					it := &item{Submit: Submit{Organisation: name}, expected: time.Second, latestStart: t0.Add(latest * time.Second)}
					p.hold(t0, it, 1)
					p.queues[name].served = c.served[name]
				}
				convey.So(p.next().organisation, convey.ShouldEqual, c.wantedNext)
			})
		}
	})
}

func TestWaitRule(t *testing.T) {
	convey.Convey("Given a pool of two slots that holds four attempts of a second of one organisation", t, func() {
		target := &target{spec: bundle.Target{Slots: 2}}
		p := newPool(&bundle.Pool{})
		p.all, p.targets, p.allSlots = append(p.all, target), append(p.targets, target), 2
		for i := range 4 {
			p.hold(t0, &item{Submit: Submit{Organisation: "a"}, expected: time.Second, latestStart: t0.Add(time.Duration(i) * time.Second)}, 1)
		}
		wait := func(nodes int, organisation string, latest time.Duration) time.Duration {
			return p.wait(t0, nodes, organisation, 1, t0.Add(latest))
		}
		convey.Convey("its next attempt waits for all of them", func() {
			convey.So(wait(1, "a", time.Hour), convey.ShouldEqual, 2*time.Second)
		})
		convey.Convey("one with less slack waits for those before it", func() {
			convey.So(wait(1, "a", time.Second), convey.ShouldEqual, time.Second)
		})
		convey.Convey("another organisation's does not wait", func() {
			convey.So(wait(1, "b", time.Hour), convey.ShouldEqual, 0)
		})
		convey.Convey("with another node it waits twice as long", func() {
			convey.So(wait(2, "a", time.Hour), convey.ShouldEqual, 4*time.Second)
		})
		convey.Convey("with no target in service the wait is not predicted", func() {
			target.leaving = true
			convey.So(wait(1, "a", time.Hour), convey.ShouldEqual, 0)
		})
	})
}

func TestShares(t *testing.T) {
	type ask struct {
		organisation string
		work, rate   float64
	}
	cases := []struct {
		question string
		capacity float64
		asks     []ask
		want     []float64
	}{
		{"all fits", 10, []ask{{"a", 1, 2}, {"b", 1, 3}}, []float64{2, 3}},
		{"weights count first", 4, []ask{{"a", 1, 9}, {"b", 1, 9}}, []float64{1, 3}},
		{"what one leaves goes to the other", 4, []ask{{"a", 1, 9}, {"b", 1, 1}}, []float64{3, 1}},
		{"the cheapest class goes first", 4, []ask{{"a", 1, 3}, {"a", 2, 9}}, []float64{3, 0.5}},
		{"nothing is there to give", 0, []ask{{"a", 1, 3}}, []float64{0}},
	}
	convey.Convey("Of the slots of a congested pool", t, func() {
		c := New(Config{})
		for name, weight := range map[string]int{"a": 1, "b": 3} {
			c.organisations[name] = newOrganisation(&bundle.Organisation{Name: name, Weight: weight})
		}
		for _, tc := range cases {
			convey.Convey(tc.question, func() {
				var demands []*demand
				for _, a := range tc.asks {
					demands = append(demands, &demand{class: &class{key: classKey{organisation: a.organisation}}, work: a.work, rate: a.rate})
				}
				c.grantShares(demands, tc.capacity)
				for i, d := range demands {
					convey.So(d.granted, convey.ShouldAlmostEqual, tc.want[i])
				}
			})
		}
	})
}

func TestSubsetRule(t *testing.T) {
	cases := []struct {
		question     string
		all, leaving int
		want         int
	}{
		{"a small pool is used whole", 8, 8, 8},
		{"half of the subset in service is enough", 100, 16, 32},
		{"fewer than half bring in more", 100, 17, 64},
		{"a pool that is leaving is used whole", 100, 100, 100},
	}
	convey.Convey("Of the targets of a pool a node uses", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				p := newPool(&bundle.Pool{})
				for i := range c.all {
					p.all = append(p.all, &target{leaving: i < c.leaving})
				}
				p.targets = p.all[:min(subset, c.all)]
				p.widen(t0)
				convey.So(len(p.targets), convey.ShouldEqual, c.want)
			})
		}
	})
}

func TestWhichReportIsRead(t *testing.T) {
	long := t0.Add(-time.Minute)
	cases := []struct {
		question string
		change   func(idle, busy *target)
		want     string
	}{
		{"the target of the busier pool", func(_, _ *target) {}, "busy"},
		{"one that was not asked for long", func(idle, _ *target) { idle.reportAskedAt = long.Add(-2 * time.Hour) }, "idle"},
		{"one that refused an attempt", func(idle, _ *target) { idle.reportAskedAt = time.Time{} }, "idle"},
		{"an ejected one", func(idle, _ *target) { idle.ejectedUntil = t0.Add(time.Second) }, "idle"},
	}
	convey.Convey("The next load report is that of", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				core := New(Config{})
				pick := func(name string, inFlight int) *target {
					target := &target{spec: bundle.Target{Name: name, Slots: 2}, inFlight: inFlight, reportAskedAt: long}
					p := newPool(&bundle.Pool{})
					p.targets = append(p.targets, target)
					core.pools[name] = p
					return target
				}
				c.change(pick("idle", 0), pick("busy", 1))
				got, found := core.NextReport(t0)
				convey.So(found, convey.ShouldBeTrue)
				convey.So(got.Name, convey.ShouldEqual, c.want)
			})
		}
	})
	convey.Convey("There is none without a bundle", t, func() {
		_, found := New(Config{}).NextReport(t0)
		convey.So(found, convey.ShouldBeFalse)
	})
}
