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
	convey.Convey("Failures do not decay until the next call ends", t, func() {
		table := placement.NewTargetTable()
		recordCall(table, now, "t0", 0, true)
		convey.So(chosen(table, time.Hour), convey.ShouldEqual, "t1")
		recordCall(table, now.Add(time.Hour), "t0", 0, false)
		convey.So(chosen(table, time.Hour), convey.ShouldEqual, "t0")
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
