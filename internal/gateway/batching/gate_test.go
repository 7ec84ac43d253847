package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// fakeGate lets one target get so many calls more, and all others any number.
type fakeGate struct {
	target string
	left   int
}

func (g *fakeGate) Allows(l directory.Incarnation) bool { return l.ID != g.target || g.left > 0 }

func (g *fakeGate) Take(l directory.Incarnation) bool {
	if !g.Allows(l) {
		return false
	}
	if l.ID == g.target {
		g.left--
	}
	return true
}

func (g *fakeGate) Bound(l directory.Incarnation) (float64, bool) { return 1, l.ID == g.target }

// TestLimitedBatchTarget holds that batches and inspections count as calls of a target that
// takes few, and that admission hears of what it takes.
func TestLimitedBatchTarget(t *testing.T) {
	newCore := func(left int) *batching.Core {
		c := batching.New(retrybudget.Policy{MaxNodes: 1, Window: 10 * time.Second}, batching.WithGate(&fakeGate{target: "t0", left: left}))
		c.Handle(start, batching.Configure{Service: service(), Targets: targets(2)})
		return c
	}
	convey.Convey("A target without calls left is neither inspected nor given a batch", t, func() {
		c := newCore(0)
		convey.So(inspections(c.Handle(start, batching.Submit{Items: items(1, 3, 5*time.Second)})), convey.ShouldResemble, []string{"t1"})
		reportIdle(c, targets(2))
		for _, s := range sends(c.Handle(start, batching.Submit{Items: items(4, 3, 5*time.Second)})) {
			convey.So(s.Target.ID, convey.ShouldEqual, "t1")
		}
	})
	convey.Convey("A batch takes a call", t, func() {
		c := newCore(1)
		reportIdle(c, targets(2))
		calls := 0
		for i := range 5 {
			next := items(1+i, 1, 5*time.Second)
			next[0].Bytes = 1
			for _, s := range sends(c.Handle(start, batching.Submit{Items: next})) {
				if s.Target.ID == "t0" {
					calls++
				}
				c.Handle(start, answered(s))
			}
		}
		convey.So(calls, convey.ShouldEqual, 1)
	})
	convey.Convey("The estimate counts what the target takes", t, func() {
		limited, free := newCore(9), batching.New(retrybudget.Policy{MaxNodes: 1, Window: 10 * time.Second})
		free.Handle(start, batching.Configure{Service: service(), Targets: targets(2)})
		reportIdle(limited, targets(2))
		reportIdle(free, targets(2))
		convey.So(limited.State(start).ItemsPerSecond, convey.ShouldBeLessThan, free.State(start).ItemsPerSecond)
	})
}
