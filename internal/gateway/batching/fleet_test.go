package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
)

// TestCostOfAnEventIsByTheLoad holds that what a coordinator does, and how many targets it
// uses, grows with the load of its service and not with its targets.
func TestCostOfAnEventIsByTheLoad(t *testing.T) {
	// 700 groups are more than two seconds of the load. Half of them settle the run.
	const groups = 700
	run := func(targets int) (examined, used int, s batching.State) {
		r := newFleetRun(targets, fleetGroups)
		for range groups / 2 {
			r.next()
		}
		begun := r.core.State(r.now).Examined
		for range groups / 2 {
			r.next()
		}
		s = r.core.State(r.now)
		return s.Examined - begun, len(r.used), s
	}
	convey.Convey("Given the load of some hundred targets on 300 and on 2,400", t, func() {
		few, _, _ := run(300)
		many, used, s := run(2400)
		convey.Convey("an event looks at about as many", func() {
			// Four times leaves room for what is done for each target some times a second.
			convey.So(few, convey.ShouldBeGreaterThan, groups)
			convey.So(many, convey.ShouldBeLessThan, 4*few)
		})
		convey.Convey("no target is called that the load does not need", func() {
			convey.So(used, convey.ShouldBeBetween, s.Busy, 2*s.Busy)
		})
		convey.Convey("and no group waits", func() { convey.So(s.Waiting, convey.ShouldBeLessThan, 2*fleetGroupSize) })
	})
}

// TestLateCoordinatorDoesNotBlameItsTargets holds that batches do not count as stuck
// because their coordinator is late: the answers wait for their turn behind the tick.
func TestLateCoordinatorDoesNotBlameItsTargets(t *testing.T) {
	// A batch of four takes 320 ms; it is stuck after twice that and 250 ms.
	const stuck = 890 * time.Millisecond
	convey.Convey("Given a batch whose answer came while its coordinator was late", t, func() {
		c := newCore(2)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 4, 5*time.Second)}))
		convey.So(first, convey.ShouldHaveLength, 1)
		late := c.Handle(start.Add(stuck+500*time.Millisecond), batching.Tick{Delay: 600 * time.Millisecond})
		convey.So(sends(late), convey.ShouldBeEmpty)
		convey.Convey("its answer counts", func() {
			now := start.Add(stuck + 510*time.Millisecond)
			c.Handle(now, answered(first[0]))
			convey.So(c.State(now).Retries, convey.ShouldEqual, 0)
		})
		convey.Convey("a coordinator that is on time again takes it for stuck", func() {
			convey.So(sends(c.Handle(start.Add(stuck+540*time.Millisecond), batching.Tick{})), convey.ShouldHaveLength, 1)
		})
	})
}

// TestTargetsOfAPastLoadAreInspectedAgain holds that a target which was idle for long is
// asked before its next batch: another coordinator may have used it.
func TestTargetsOfAPastLoadAreInspectedAgain(t *testing.T) {
	convey.Convey("Given a target that has been idle for 12 s", t, func() {
		c := newCore(1)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 1, 5*time.Second)}))
		done := answered(first[0])
		c.Handle(start.Add(300*time.Millisecond), done)
		c.Handle(start.Add(400*time.Millisecond), batching.Release{Target: first[0].Target.Incarnation(), Handles: []string{done.Outcomes[0].Handle}})
		after := func(idle time.Duration) []batching.Effect {
			now := start.Add(300*time.Millisecond + idle)
			c.Handle(now, batching.Tick{})
			next := items(2, 1, 20*time.Second)
			next[0].Deadline = now.Add(10 * time.Second)
			return c.Handle(now, batching.Submit{Items: next})
		}
		convey.Convey("it is inspected before it gets a batch", func() {
			effects := after(12 * time.Second)
			convey.So(inspections(effects), convey.ShouldResemble, []string{"t0"})
			convey.So(sends(effects), convey.ShouldBeEmpty)
		})
		convey.Convey("a little earlier it gets one at once", func() {
			convey.So(sends(after(12*time.Second-1)), convey.ShouldHaveLength, 1)
		})
	})
}
