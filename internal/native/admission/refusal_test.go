package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// situation brings a core to where the event is refused.
type situation struct {
	question string
	reason   verdict.Reason
	// least and most bound the time after which to retry.
	least, most time.Duration
	bring       func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect
}

func open(c *admission.Core, id uint64, e admission.Open) []admission.Effect {
	e.ID = id
	return c.Step(start, e)
}

func markAll(c *admission.Core) {
	for i := range targets {
		c.Step(start, admission.Mark{Target: fmt.Sprint("t", i), Incarnation: "i"})
	}
}

var refusals = []situation{
	{"its organisation is not in the bundle", verdict.ReasonUnauthorised, 0, 0, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		return open(c, 1, admission.Open{Organisation: "none", Pipeline: p, Deadline: start.Add(deadline)})
	}},
	{"its stages take longer than its deadline leaves", verdict.ReasonOverload, 50 * time.Millisecond, 75 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		return open(c, 1, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(80 * time.Millisecond)})
	}},
	{"its class has used its share of a congested pool", verdict.ReasonOverload, 100 * time.Millisecond, 150 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		fill(c, p)
		submit(c, start, 100, "small", p, time.Minute)
		e := admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(time.Minute)}
		for id := range uint64(200) {
			open(c, 200+id, e)
			c.Step(start, admission.Close{ID: 200 + id})
		}
		e.ID = 1000
		return c.Step(start.Add(200*time.Millisecond), e)
	}},
	{"its organisation is at its concurrency", verdict.ReasonLimit, 200 * time.Millisecond, 300 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		for id := range uint64(4) {
			open(c, id+1, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline)})
		}
		return open(c, 5, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline)})
	}},
	{"its organisation has used its tokens", verdict.ReasonLimit, 500 * time.Millisecond, 750 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		open(c, 1, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline), Tokens: 1000})
		return open(c, 2, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline), Tokens: 500})
	}},
	{"its organisation has used its requests", verdict.ReasonLimit, time.Millisecond, 1500 * time.Microsecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		for id := range uint64(1000) {
			open(c, id+1, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline)})
			c.Step(start, admission.Close{ID: id + 1})
		}
		return open(c, 2000, admission.Open{Organisation: "large", Pipeline: p, Deadline: start.Add(deadline)})
	}},
	{"its pool is not in the bundle", verdict.ReasonNoTarget, 0, 0, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		c.Step(start, admission.Install{Plan: plan(2, "q")})
		return submit(c, start, 1, "large", p, deadline)
	}},
	{"its pool's retries are spent", verdict.ReasonRetryExhausted, 0, 0, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		var last []admission.Effect
		for id := range uint64(11) {
			last = c.Step(start, admission.Submit{ID: id + 1, Organisation: "large", Pipeline: p, Deadline: start.Add(deadline), Retry: admission.AfterLoss})
		}
		return last
	}},
	{"its pool holds all that it may", verdict.ReasonOverload, time.Minute, 2 * time.Minute, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		fill(c, p)
		for id := range uint64(4096) {
			submit(c, start, 100+id, "small", p, time.Hour)
		}
		return submit(c, start, 10_000, "small", p, time.Hour)
	}},
	{"all targets are leaving", verdict.ReasonNoTarget, time.Second, 1500 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		markAll(c)
		return submit(c, start, 1, "large", p, deadline)
	}},
	{"it cannot start in time behind what is held", verdict.ReasonOverload, 50 * time.Millisecond, time.Second, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		fill(c, p)
		for id := range uint64(30) {
			submit(c, start, 100+id, "small", p, 500*time.Millisecond)
		}
		return submit(c, start, 200, "small", p, 500*time.Millisecond)
	}},
	{"its latest start has come while it was held", verdict.ReasonOverload, 50 * time.Millisecond, 75 * time.Millisecond, func(c *admission.Core, p *bundle.PipelinePlan) []admission.Effect {
		fill(c, p)
		submit(c, start, 100, "small", p, deadline)
		return c.Step(start.Add(900*time.Millisecond), admission.Tick{})
	}},
}

func TestWhyWorkIsRefused(t *testing.T) {
	convey.Convey("Work is refused as not run, with a reason and a time after which to retry, when", t, func() {
		for _, s := range refusals {
			convey.Convey(s.question, func() {
				c, p := newCore()
				err := refusalOf(s.bring(c, p))
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
				convey.So(err.Reason(), convey.ShouldEqual, s.reason)
				convey.So(err.RetryAfter(), convey.ShouldBeGreaterThanOrEqualTo, s.least)
				convey.So(err.RetryAfter(), convey.ShouldBeLessThanOrEqualTo, s.most)
			})
		}
	})
}
