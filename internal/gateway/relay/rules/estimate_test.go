package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// chain returns three stages of 100, 200 and 300 ms, each of which depends on the one
// before.
func chain(items ...int) Stages {
	return Stages{
		{Items: items[0], Time: 100 * ms},
		{After: []int{0}, Items: items[1], Time: 200 * ms},
		{After: []int{1}, Items: items[2], Time: 300 * ms},
	}
}

func TestTotal(t *testing.T) {
	shouldTake := func(s Stages, want time.Duration, backlogs ...time.Duration) {
		convey.So(s.Total(backlogs), convey.ShouldEqual, want)
	}
	convey.Convey("On idle services the stages take their own times", t, func() {
		shouldTake(chain(1, 1, 1), 600*ms)
	})
	convey.Convey("A later stage's service works off its backlog while the earlier stages run", t, func() {
		shouldTake(chain(1, 1, 1), 600*ms, 0, 0, 300*ms)
		shouldTake(chain(1, 1, 1), 700*ms, 0, 0, 400*ms)
		shouldTake(chain(1, 1, 1), 1000*ms, 400*ms, 0, 0)
	})
	convey.Convey("A stage without items is skipped, and has no backlog", t, func() {
		shouldTake(chain(1, 1, 0), 700*ms, 400*ms, 500*ms)
		shouldTake(chain(0, 0, 0), 0)
	})
	convey.Convey("The numbers of the stages say nothing of their order", t, func() {
		turned := Stages{{After: []int{1}, Items: 1, Time: 300 * ms}, {After: []int{2}, Items: 1, Time: 200 * ms}, {Items: 1, Time: 100 * ms}}
		shouldTake(turned, 600*ms)
		shouldTake(turned, 700*ms, 400*ms, 0, 0)
		shouldTake(turned, 1000*ms, 0, 0, 400*ms)
		for i, want := range []time.Duration{0, 300 * ms, 500 * ms} {
			convey.So(turned.Following(i), convey.ShouldEqual, want)
			convey.So(chain(1, 1, 1).Following(2-i), convey.ShouldEqual, []time.Duration{0, 300 * ms, 500 * ms}[i])
		}
	})
	convey.Convey("Independent stages take as long as the longest", t, func() {
		side := chain(1, 1, 1)
		side[2].After = nil
		shouldTake(side, 300*ms)
		shouldTake(side, 500*ms, 0, 0, 200*ms)
	})
}

func TestFollowing(t *testing.T) {
	convey.Convey("A stage is followed by all stages that depend on it, directly or not", t, func() {
		convey.So(chain(1, 1, 1).Following(0), convey.ShouldEqual, 500*ms)
		convey.So(chain(1, 1, 1).Following(2), convey.ShouldEqual, 0)
		convey.So(chain(1, 1, 0).Following(0), convey.ShouldEqual, 200*ms)
	})
}

func TestBatchTime(t *testing.T) {
	convey.Convey("A batch is expected to be 60 percent full", t, func() {
		convey.So(BatchTime(240*ms, 20*ms, 10), convey.ShouldEqual, 360*ms)
	})
}

func TestResults(t *testing.T) {
	convey.Convey("Results are released when they have no more readers", t, func() {
		convey.So(ReleaseResults(1), convey.ShouldBeFalse)
		convey.So(ReleaseResults(0), convey.ShouldBeTrue)
	})
	convey.Convey("The results of a stage with items are computed if they are not held", t, func() {
		convey.So(NeedsInput(1, false), convey.ShouldBeTrue)
		convey.So(NeedsInput(1, true), convey.ShouldBeFalse)
		convey.So(NeedsInput(0, false), convey.ShouldBeFalse)
	})
	convey.Convey("Results are recomputed a limited number of times", t, func() {
		convey.So(MayRecompute(maxRecomputes), convey.ShouldBeTrue)
		convey.So(MayRecompute(maxRecomputes+1), convey.ShouldBeFalse)
	})
}

func TestPreferredDataCentre(t *testing.T) {
	convey.Convey("Items run in the data centre with the most bytes of their inputs, if there are many", t, func() {
		convey.So(PreferredDataCentre(map[string]int64{"a": 200_000, "b": 300_000}), convey.ShouldEqual, "b")
		convey.So(PreferredDataCentre(map[string]int64{"a": minLocalityBytes - 1}), convey.ShouldBeEmpty)
		convey.So(WorthLocality(minLocalityBytes), convey.ShouldBeTrue)
		convey.So(WorthLocality(minLocalityBytes-1), convey.ShouldBeFalse)
	})
}

func TestConnectionShare(t *testing.T) {
	convey.Convey("A node leaves one connection of its share unused, and always has at least one", t, func() {
		convey.So(ConnectionShare(64, 4), convey.ShouldEqual, 15)
		convey.So(ConnectionShare(4, 16), convey.ShouldEqual, 1)
		convey.So(ConnectionShare(8, 0), convey.ShouldEqual, 7)
	})
}
