package reachability_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/reachability"
)

var errDial = errors.New("refused")

// at returns a time some milliseconds after the start.
func at(ms int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// breaks records that the path to a target is broken: this node fails, a member connects.
func breaks(table *reachability.Table, ms int, target string) {
	table.Failed(at(ms), target, errDial)
	convey.So(table.Detoured(at(ms), target), convey.ShouldBeTrue)
}

// shouldBreak holds which targets are reached through members only.
func shouldBreak(table *reachability.Table, want map[string]bool) {
	for target, broken := range want {
		convey.So(table.Broken(target), convey.ShouldEqual, broken)
	}
}

// shouldSpareUntil holds when members may be asked for a target again.
func shouldSpareUntil(table *reachability.Table, target string, ms int) {
	convey.So(table.MayDetour(at(ms-1), target), convey.ShouldBeFalse)
	convey.So(table.MayDetour(at(ms), target), convey.ShouldBeTrue)
}

// TestBrokenPaths guards against targets that are taken for failed, or for unreachable, by
// what one node sees.
func TestBrokenPaths(t *testing.T) {
	convey.Convey("Given a node that could not connect to a target", t, func() {
		table := reachability.NewTable()
		convey.So(table.Failed(at(0), "a", errDial), convey.ShouldBeTrue)
		convey.Convey("the path is not broken before a member connects", func() {
			shouldBreak(table, map[string]bool{"a": false})
			convey.So(table.Failed(at(1), "a", errDial), convey.ShouldBeFalse)
		})
		convey.Convey("the target is down if no member connects, and members are spared for a while", func() {
			table.Down(at(1), at(0), "a")
			shouldBreak(table, map[string]bool{"a": false})
			shouldSpareUntil(table, "a", 51)
			convey.So(table.MayDetour(at(1), "b"), convey.ShouldBeTrue)
		})
		convey.Convey("attempts that ran at the same time count as one", func() {
			table.Down(at(100), at(0), "a")
			table.Down(at(120), at(90), "a")
			shouldSpareUntil(table, "a", 150)
		})
		convey.Convey("members are spared for longer with each failure, a second at most", func() {
			ms := 0
			for _, spared := range []int{50, 100, 200, 400, 800, 1000, 1000} {
				table.Down(at(ms), at(ms), "a")
				ms += spared
				shouldSpareUntil(table, "a", ms)
			}
			convey.Convey("and after a success as for the first one", func() {
				table.Detoured(at(ms), "a")
				table.Down(at(ms+10), at(ms+10), "a")
				shouldSpareUntil(table, "a", ms+60)
			})
		})
		convey.Convey("the path is broken if a member connects, until this node does", func() {
			convey.So(table.Detoured(at(1), "a"), convey.ShouldBeTrue)
			convey.So(table.Detoured(at(2), "a"), convey.ShouldBeFalse)
			shouldBreak(table, map[string]bool{"a": true, "b": false})
			convey.So(table.Probes(5), convey.ShouldResemble, []string{"a"})
			table.Heard(at(3), "a")
			shouldBreak(table, map[string]bool{"a": true})
			failure, failed := table.Connected(at(4), "a")
			convey.So(failed, convey.ShouldBeTrue)
			convey.So(failure, convey.ShouldResemble, reachability.Failure{Target: "a", Since: at(0), Err: "refused", Broken: true})
			shouldBreak(table, map[string]bool{"a": false})
			convey.So(table.Probes(5), convey.ShouldBeEmpty)
		})
		convey.Convey("nothing is kept of targets that have left", func() {
			table.Detoured(at(1), "a")
			table.Prune(func(string) bool { return false })
			convey.So(table.Failures(), convey.ShouldBeEmpty)
			convey.So(table.Probes(5), convey.ShouldBeEmpty)
		})
	})
	convey.Convey("A detour to a target that was not tried shows nothing", t, func() {
		table := reachability.NewTable()
		convey.So(table.Detoured(at(0), "a"), convey.ShouldBeFalse)
		shouldBreak(table, map[string]bool{"a": false})
	})
}

// TestCutOff guards against a node that finds out for each target in turn, by waiting, that
// it reaches none, and against one that gives up all paths for a few broken ones.
func TestCutOff(t *testing.T) {
	convey.Convey("Given a node with one broken path", t, func() {
		table := reachability.NewTable()
		table.Heard(at(0), "c")
		breaks(table, 10, "a")
		convey.Convey("the others are used", func() {
			shouldBreak(table, map[string]bool{"a": true, "c": false})
		})
		convey.Convey("all are broken when a second one is and nothing was heard since", func() {
			breaks(table, 20, "b")
			shouldBreak(table, map[string]bool{"a": true, "b": true, "c": true})
			convey.Convey("until something is heard, which mends no path that is known to be broken", func() {
				table.Heard(at(30), "c")
				shouldBreak(table, map[string]bool{"a": true, "b": true, "c": false})
			})
			convey.Convey("and the paths that were tried the longest ago are probed first", func() {
				table.Failed(at(40), "a", errDial)
				convey.So(table.Probes(1), convey.ShouldResemble, []string{"b"})
				convey.So(table.Probes(5), convey.ShouldResemble, []string{"b", "a"})
			})
		})
		convey.Convey("the others are used when something was heard between two failures", func() {
			table.Heard(at(15), "c")
			breaks(table, 20, "b")
			shouldBreak(table, map[string]bool{"a": true, "b": true, "c": false})
		})
	})
}

// TestSilentTargets guards against calls that wait on a path that loses them, and against
// checks of a sound target that is silent for a second.
func TestSilentTargets(t *testing.T) {
	checkIn := func(table *reachability.Table, ms int, want time.Duration) {
		in, waiting := table.CheckIn(at(ms), "a")
		convey.So(waiting, convey.ShouldBeTrue)
		convey.So(in, convey.ShouldEqual, want)
	}
	convey.Convey("Given a call to a target", t, func() {
		table := reachability.NewTable()
		table.Sent(at(0), "a")
		table.Sent(at(300), "a")
		convey.Convey("its path is checked soon if nothing is heard from any target", func() {
			checkIn(table, 100, 400*time.Millisecond)
			checkIn(table, 600, 0)
		})
		convey.Convey("its path is checked after more than a second if others are heard", func() {
			table.Heard(at(50), "b")
			checkIn(table, 1000, 200*time.Millisecond)
			checkIn(table, 1200, 0)
		})
		convey.Convey("there is nothing to check once it is heard", func() {
			table.Heard(at(50), "a")
			_, waiting := table.CheckIn(at(2000), "a")
			convey.So(waiting, convey.ShouldBeFalse)
		})
	})
}

// TestIsolated guards against requests that wait although no target can be reached, and against
// a node that refuses requests because a few targets have failed.
func TestIsolated(t *testing.T) {
	convey.Convey("Given a node that no member helped to reach two targets", t, func() {
		table := reachability.NewTable()
		table.Heard(at(0), "c")
		table.Down(at(10), at(10), "a")
		convey.So(table.MayBeIsolated(), convey.ShouldBeFalse)
		table.Down(at(20), at(20), "b")
		convey.So(table.MayBeIsolated(), convey.ShouldBeTrue)
		convey.So(table.Isolated(), convey.ShouldBeFalse)
		convey.Convey("it is isolated if a sample of targets is not reached either", func() {
			table.SetIsolated(at(30))
			convey.So(table.Isolated(), convey.ShouldBeTrue)
			convey.Convey("until a target is heard", func() {
				table.Heard(at(40), "c")
				convey.So(table.Isolated(), convey.ShouldBeFalse)
				convey.So(table.MayBeIsolated(), convey.ShouldBeFalse)
			})
			convey.Convey("until it connects to one", func() {
				table.Connected(at(40), "c")
				convey.So(table.Isolated(), convey.ShouldBeFalse)
			})
			convey.Convey("until a member connects to one", func() {
				table.Detoured(at(40), "a")
				convey.So(table.Isolated(), convey.ShouldBeFalse)
			})
		})
		convey.Convey("it is not if a target was heard while the sample was tried", func() {
			table.Heard(at(40), "c")
			table.SetIsolated(at(30))
			convey.So(table.Isolated(), convey.ShouldBeFalse)
		})
	})
}
