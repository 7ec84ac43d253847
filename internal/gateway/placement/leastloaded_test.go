package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// recordCall records a call from start to end.
func recordCall(table *placement.TargetTable, at time.Time, id string, took time.Duration, failed bool) {
	table.RecordStart(incarnation(id))
	table.RecordEnd(at, incarnation(id), took, failed)
}

// pair returns targets t0 and t1 in the same data centre. t0 has the given state.
func pair(state directory.State) []directory.Target {
	return []directory.Target{
		{ID: "t0", DataCentre: "d0", Slots: 8, State: state, StateUntil: now.Add(time.Minute)},
		{ID: "t1", DataCentre: "d0", Slots: 8},
	}
}

// TestLeastLoadedTable verifies which of two targets is selected.
func TestLeastLoadedTable(t *testing.T) {
	lapsedAndRemote := append(pair(directory.Lapsed)[:1], directory.Target{ID: "t1", DataCentre: "d1", Slots: 8})
	cases := []struct {
		name    string
		learn   func(*placement.TargetTable)
		targets []directory.Target
		q       placement.Query
		want    string
	}{
		{"the first in the node's data centre if there are no statistics", nil, engines(2), placement.Query{DataCentre: "d1"}, "t1"},
		{"the first in the list if all else is equal", nil, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t0"},
		{"the faster one", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", 40*time.Millisecond, false)
			recordCall(table, now, "t1", 20*time.Millisecond, false)
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t1"},
		{"the one in another data centre if it is faster by more than 2 ms", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", 10*time.Millisecond, false)
			recordCall(table, now, "t1", 7*time.Millisecond, false)
		}, engines(2), placement.Query{DataCentre: "d0"}, "t1"},
		{"the one in the node's data centre if it is slower by less than 2 ms", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", 10*time.Millisecond, false)
			recordCall(table, now, "t1", 9*time.Millisecond, false)
		}, engines(2), placement.Query{DataCentre: "d0"}, "t0"},
		{"the preferred one, although it is slower", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", 400*time.Millisecond, false)
			recordCall(table, now, "t1", time.Millisecond, false)
		}, pair(directory.Ready), placement.Query{DataCentre: "d0", Prefer: []string{"t0"}}, "t0"},
		{"the other one if the preferred one is ejected", func(table *placement.TargetTable) {
			table.Eject(now, incarnation("t0"))
		}, pair(directory.Ready), placement.Query{DataCentre: "d0", Prefer: []string{"t0"}}, "t1"},
		{
			"the one with fewer outstanding calls", func(table *placement.TargetTable) { table.RecordStart(incarnation("t0")) },
			pair(directory.Ready),
			placement.Query{DataCentre: "d0"},
			"t1",
		},
		{"the one that fails less", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", time.Millisecond, true)
			recordCall(table, now, "t1", time.Millisecond, false)
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t1"},
		{"the faster one with more load if it is still expected to respond first", func(table *placement.TargetTable) {
			recordCall(table, now, "t0", 10*time.Millisecond, false)
			recordCall(table, now, "t1", 40*time.Millisecond, false)
			table.RecordLoad(now, incarnation("t0"), placement.Load{Running: 8, Waiting: 8, Slots: 8})
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t0"},
		{"a healthy one, however slow, rather than one without free connections", func(table *placement.TargetTable) {
			recordCall(table, now, "t1", time.Minute, false)
			table.RecordStart(incarnation("t0"))
		}, pair(directory.Ready), placement.Query{DataCentre: "d0", MaxInflight: 1}, "t1"},
		{
			"one without free connections rather than a lapsed one", func(table *placement.TargetTable) { table.RecordStart(incarnation("t1")) },
			pair(directory.Lapsed),
			placement.Query{DataCentre: "d0", MaxInflight: 1},
			"t1",
		},
		{"a healthy one in another data centre rather than a lapsed one nearby", nil, lapsedAndRemote, placement.Query{DataCentre: "d0"}, "t1"},
		{
			"a lapsed one rather than an ejected one", func(table *placement.TargetTable) { table.Eject(now, incarnation("t1")) },
			pair(directory.Lapsed),
			placement.Query{DataCentre: "d0"},
			"t0",
		},
		{
			"an ejected one if the other was tried", func(table *placement.TargetTable) { table.Eject(now, incarnation("t0")) },
			pair(directory.Ready),
			placement.Query{DataCentre: "d0", Exclude: []string{"t1"}},
			"t0",
		},
		{
			"an ejected one rather than a draining one", func(table *placement.TargetTable) { table.Eject(now, incarnation("t1")) },
			pair(directory.Draining),
			placement.Query{DataCentre: "d0"},
			"t1",
		},
	}
	convey.Convey("Of two targets a plain call goes to", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() {
				table := placement.NewTargetTable()
				if c.learn != nil {
					c.learn(table)
				}
				got, ok := table.LeastLoaded(now, c.targets, c.q)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(got.ID, convey.ShouldEqual, c.want)
			})
		}
	})
}

// callSteadily sends calls at 40 a second for d, one after the other, to the target that is
// selected, and counts them by target. respond returns how long a call takes and whether it
// fails.
func callSteadily(table *placement.TargetTable, from time.Time, d time.Duration, targets []directory.Target, respond func(at time.Time, id string) (time.Duration, bool)) map[string]int {
	counts := map[string]int{}
	for at := from; at.Before(from.Add(d)); at = at.Add(25 * time.Millisecond) {
		got, _ := table.LeastLoaded(at, targets, placement.Query{DataCentre: "d0"})
		took, failed := respond(at, got.ID)
		table.RecordStart(got.Incarnation())
		table.RecordEnd(at.Add(took), got.Incarnation(), took, failed)
		counts[got.ID]++
	}
	return counts
}

// TestRecoveredTarget guards against a target that failed for some seconds and then gets almost
// no requests for good, because its failures did not age while it was not called.
func TestRecoveredTarget(t *testing.T) {
	convey.Convey("A target that failed and is well again gets a fair part of the calls", t, func() {
		table := placement.NewTargetTable()
		targets := []directory.Target{{ID: "t0", DataCentre: "d0"}, {ID: "t1", DataCentre: "d0"}, {ID: "t2", DataCentre: "d0"}}
		calls := 0
		respond := func(at time.Time, id string) (time.Duration, bool) {
			calls++
			// Response times differ a little from call to call.
			took := time.Millisecond + time.Duration(calls%7)*100*time.Microsecond
			return took, id == "t0" && at.Before(now.Add(8*time.Second))
		}
		callSteadily(table, now, 12*time.Second, targets, respond)
		counts := callSteadily(table, now.Add(12*time.Second), 16*time.Second, targets, respond)
		fair := (counts["t0"] + counts["t1"] + counts["t2"]) / len(targets)
		convey.So(counts["t0"], convey.ShouldBeGreaterThan, fair/2)
	})
}

// TestSlowAnswer guards against a target that is left out for minutes because of one slow answer,
// such as one over a new connection: its latency aged while it was not called, and was as high as
// before after its next call.
func TestSlowAnswer(t *testing.T) {
	convey.Convey("A target with one slow answer is used again after some seconds", t, func() {
		table := placement.NewTargetTable()
		targets := pair(directory.Ready)
		recordCall(table, now, "t0", 100*time.Millisecond, false)
		calls := 0
		counts := callSteadily(table, now.Add(20*time.Second), 10*time.Second, targets, func(time.Time, string) (time.Duration, bool) {
			calls++
			return 2*time.Millisecond + time.Duration(calls%7)*100*time.Microsecond, false
		})
		convey.So(counts["t0"], convey.ShouldBeGreaterThan, (counts["t0"]+counts["t1"])/4)
	})
	convey.Convey("A target that is always slow gets few calls", t, func() {
		table := placement.NewTargetTable()
		counts := callSteadily(table, now, 30*time.Second, pair(directory.Ready), func(_ time.Time, id string) (time.Duration, bool) {
			if id == "t0" {
				return 200 * time.Millisecond, false
			}
			return 20 * time.Millisecond, false
		})
		convey.So(counts["t0"], convey.ShouldBeLessThan, (counts["t0"]+counts["t1"])/100)
	})
}

// TestStatsDecay verifies how statistics decay and expire.
func TestStatsDecay(t *testing.T) {
	q := placement.Query{DataCentre: "d0"}
	chosen := func(table *placement.TargetTable, after time.Duration) string {
		got, _ := table.LeastLoaded(now.Add(after), pair(directory.Ready), q)
		return got.ID
	}
	convey.Convey("A reported load counts for 500 ms", t, func() {
		table := placement.NewTargetTable()
		table.RecordLoad(now, incarnation("t0"), placement.Load{Running: 8, Slots: 8})
		convey.So(chosen(table, 500*time.Millisecond), convey.ShouldEqual, "t1")
		convey.So(chosen(table, 501*time.Millisecond), convey.ShouldEqual, "t0")
	})
	convey.Convey("A latency loses half its weight in 3 s", t, func() {
		table := placement.NewTargetTable()
		recordCall(table, now, "t0", 40*time.Millisecond, false)
		recordCall(table, now.Add(3*time.Second), "t1", 21*time.Millisecond, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t0")
		recordCall(table, now.Add(3*time.Second), "t1", 0, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t1")
	})
	convey.Convey("A failure loses half its weight in 3 s", t, func() {
		// A failure rate of 0.4 makes a latency of 1 ms cost 2.6 ms, and 1.8 ms after 3 s.
		table := placement.NewTargetTable()
		recordCall(table, now, "t0", 0, true)
		recordCall(table, now.Add(3*time.Second), "t1", 1790*time.Microsecond, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t1")
		table = placement.NewTargetTable()
		recordCall(table, now, "t0", 0, true)
		recordCall(table, now.Add(3*time.Second), "t1", 1810*time.Microsecond, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t0")
	})
	convey.Convey("A target with an unknown number of slots counts as having 4", t, func() {
		for slots, want := range map[int]string{3: "t0", 5: "t1"} {
			table := placement.NewTargetTable()
			list := pair(directory.Ready)
			list[0].Slots, list[1].Slots = 0, int32(slots)
			table.RecordStart(incarnation("t0"))
			table.RecordStart(incarnation("t1"))
			got, _ := table.LeastLoaded(now, list, q)
			convey.So(got.ID, convey.ShouldEqual, want)
		}
	})
	convey.Convey("A latency below 1 ms counts as 1 ms", t, func() {
		table := placement.NewTargetTable()
		recordCall(table, now, "t0", 900*time.Microsecond, false)
		recordCall(table, now, "t1", 100*time.Microsecond, false)
		convey.So(chosen(table, 0), convey.ShouldEqual, "t0")
	})
}
