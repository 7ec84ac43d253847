package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestTargetEligibility(t *testing.T) {
	drains := testTarget("t", "d0")
	drains.usable = false
	failed := testTarget("t", "d0")
	failed.recordFailure(testNow.Add(-149 * time.Millisecond))
	recovered := testTarget("t", "d0")
	recovered.recordFailure(testNow.Add(-150 * time.Millisecond))
	stuck := busyTarget("u", "d0", 0)
	stuck.running.stuck = true
	gone := busyTarget("u", "d0", 0)
	gone.usable = false
	// A batch of one takes 260 ms at a target of the catalog's speed, 520 ms at the slow one.
	slow := slowTarget("t", 2)
	for _, c := range []struct {
		name   string
		target *target
		others []*target
		queued int
		want   bool
	}{
		{"An idle target may take a batch", testTarget("t", "d0"), nil, 1, true},
		{"A target that drains or is gone may not", drains, nil, 1, false},
		{"A target with a batch may not", busyTarget("t", "d0", time.Second), nil, 1, false},
		{"A target that has just failed may not", failed, nil, 1, false},
		{"A target may again once its backoff is over", recovered, nil, 1, true},
		{"A slow target with no other may", slow, nil, 1, true},
		{"A slow target beside an idle fast one may, after it", slow, []*target{testTarget("u", "d0")}, 1, true},
		{"A slow target waits while a busy one will take the whole queue sooner", slow, []*target{busyTarget("u", "d0", 259*time.Millisecond)}, 4, false},
		{"not when more is queued than that one takes", slow, []*target{busyTarget("u", "d0", 259*time.Millisecond)}, 5, true},
		{"two busy ones take twice as much", slow, []*target{busyTarget("u", "d0", 0), busyTarget("v", "d0", 0)}, 8, false},
		{"not when the busy one would end no sooner", slow, []*target{busyTarget("u", "d0", 260*time.Millisecond)}, 1, true},
		{"A busy target that is overdue is expected to end now", slow, []*target{busyTarget("u", "d0", -time.Minute)}, 1, false},
		{"One that works for others may not", foreignBusyTarget("t"), nil, 1, false},
		{"One of which nothing is known may not", uninspectedTarget("t"), nil, 1, false},
		{"A stuck target is not waited for", slow, []*target{stuck}, 1, true},
		{"A busy target that drains is not waited for", slow, []*target{gone}, 1, true},
	} {
		convey.Convey(c.name, t, func() {
			p := poolOf(append([]*target{c.target}, c.others...)...)
			may := c.target.eligible(testNow) && !p.fasterTargetsSuffice(testNow, testSpec(), c.target, c.queued)
			convey.So(may, convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("The fastest target comes first, equal ones in the order of the list", t, func() {
		list := []*target{slowTarget("slow", 1.5), testTarget("a", "d0"), testTarget("b", "d0"), slowTarget("fast", 0.5)}
		var ids []string
		var next *target
		for left := poolOf(list...).candidates(testNow); len(left) > 0; {
			next, left = popBest(left)
			ids = append(ids, next.ID)
		}
		convey.So(ids, convey.ShouldResemble, []string{"fast", "a", "b", "slow"})
	})
}

// uninspectedTarget is a usable target that was not inspected.
func uninspectedTarget(id string) *target {
	t := testTarget(id, "d0")
	t.inspection = inspection{}
	return t
}

// foreignBusyTarget is a usable target that works for another coordinator.
func foreignBusyTarget(id string) *target {
	t := testTarget(id, "d0")
	t.inspection.busy = true
	return t
}
