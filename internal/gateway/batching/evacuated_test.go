package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// evacuated configures a core's targets anew, some of them in evacuated data centres.
func evacuated(n int, dataCentres ...string) batching.Configure {
	edit := directory.New(targets(n)...).Edit()
	set := map[string]bool{}
	for _, dc := range dataCentres {
		set[dc] = true
	}
	edit.Evacuate(set)
	d := edit.Directory()
	return batching.Configure{Service: service(), Targets: d.Service("s"), AllEvacuated: d.AllEvacuated("s")}
}

func resolved(effects []batching.Effect) []batching.Resolve {
	var list []batching.Resolve
	for _, e := range effects {
		if r, is := e.(batching.Resolve); is {
			list = append(list, r)
		}
	}
	return list
}

func TestEvacuatedDataCentre(t *testing.T) {
	convey.Convey("Given two targets, of which one works on a batch", t, func() {
		c := newCore(2)
		near := items(1, 1, 2*time.Second)
		near[0].DataCentre = "d0"
		running := sends(c.Handle(start, batching.Submit{Items: near}))
		convey.So(running[0].Target.ID, convey.ShouldEqual, "t0")
		convey.So(c.State(start).Targets, convey.ShouldEqual, 2)
		convey.Convey("the evacuation of its data centre leaves the batch alone, and its result is used", func() {
			convey.So(resolved(c.Handle(start, evacuated(2, "d0"))), convey.ShouldBeEmpty)
			done := resolved(c.Handle(start.Add(260*time.Millisecond), answered(running[0])))
			convey.So(done, convey.ShouldHaveLength, 1)
			convey.So(done[0].Err, convey.ShouldBeNil)
		})
		convey.Convey("the estimate counts the other one alone in the same moment", func() {
			c.Handle(start, evacuated(2, "d0"))
			convey.So(c.State(start).Targets, convey.ShouldEqual, 1)
		})
		convey.Convey("what waits goes to the other one at once, also what would wait for a near target", func() {
			c.Handle(start, evacuated(2, "d0"))
			next := items(2, 1, 2*time.Second)
			next[0].DataCentre = "d0"
			s := sends(c.Handle(start, batching.Submit{Items: next}))
			convey.So(s, convey.ShouldHaveLength, 1)
			convey.So(s[0].Target.ID, convey.ShouldEqual, "t1")
		})
		convey.Convey("what waits is refused as not run when all are evacuated", func() {
			c.Handle(start, batching.Submit{Items: items(2, 4, 2*time.Second)})
			c.Handle(start, batching.Submit{Items: items(6, 1, 2*time.Second)})
			ended := resolved(c.Handle(start, evacuated(2, "d0", "d1")))
			convey.So(ended, convey.ShouldHaveLength, 1)
			convey.So(ended[0].Err.Reason(), convey.ShouldEqual, verdict.ReasonEvacuated)
			convey.So(ended[0].Err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		})
	})
}

// TestColdBatchTarget holds that a coordinator gives a cold target no more calls than its
// part of the bound.
func TestColdBatchTarget(t *testing.T) {
	convey.Convey("A cold target gets its part of the calls, and a warm one all", t, func() {
		calls := func(coldUntil time.Time) int {
			list := targets(1)
			list[0].ColdUntil = coldUntil
			c := newCore(1)
			c.Handle(start, batching.Configure{
				Service: service(), Targets: list,
				WarmUp: warmup.Margin{Overshoot: 1.5, Tolerance: 5}.Bound(catalog.WarmUp{RequestsPerSecond: 10}),
			})
			n := 0
			for at := start; at.Before(start.Add(time.Second)); at = at.Add(20 * time.Millisecond) {
				next := items(1+n, 1, 5*time.Second)
				next[0].Bytes = 1
				for _, s := range sends(c.Handle(at, batching.Submit{Items: next})) {
					n++
					c.Handle(at, answered(s))
				}
			}
			return n
		}
		convey.So(calls(start.Add(time.Minute)), convey.ShouldBeBetweenOrEqual, 1, 3)
		convey.So(calls(time.Time{}), convey.ShouldBeGreaterThan, 40)
	})
}
