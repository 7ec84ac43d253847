package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// answered counts a call that ended.
func answered(table *placement.TargetTable, at time.Time, id string, took time.Duration, failed bool) {
	table.RecordStart(life(id))
	table.RecordEnd(at, life(id), took, failed)
}

// pair returns targets t0 and t1 of the same data centre, t0 in a state.
func pair(state directory.State) []directory.Target {
	return []directory.Target{
		{ID: "t0", DataCentre: "d0", Slots: 8, State: state, StateUntil: now.Add(time.Minute)},
		{ID: "t1", DataCentre: "d0", Slots: 8},
	}
}

// TestLeastLoadedTable goes through what decides between two targets.
func TestLeastLoadedTable(t *testing.T) {
	lapsedAway := append(pair(directory.Lapsed)[:1], directory.Target{ID: "t1", DataCentre: "d1", Slots: 8})
	cases := []struct {
		why     string
		learn   func(*placement.TargetTable)
		targets []directory.Target
		q       placement.Query
		want    string
	}{
		{"with nothing known, the first of the own data centre", nil, engines(2), placement.Query{DataCentre: "d1"}, "t1"},
		{"with nothing known and alike, the first in the order given", nil, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t0"},
		{"the faster one", func(table *placement.TargetTable) {
			answered(table, now, "t0", 40*time.Millisecond, false)
			answered(table, now, "t1", 20*time.Millisecond, false)
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t1"},
		{"the faster one in another data centre, by more than 2 ms", func(table *placement.TargetTable) {
			answered(table, now, "t0", 10*time.Millisecond, false)
			answered(table, now, "t1", 7*time.Millisecond, false)
		}, engines(2), placement.Query{DataCentre: "d0"}, "t1"},
		{"not the faster one in another data centre, by less than 2 ms", func(table *placement.TargetTable) {
			answered(table, now, "t0", 10*time.Millisecond, false)
			answered(table, now, "t1", 9*time.Millisecond, false)
		}, engines(2), placement.Query{DataCentre: "d0"}, "t0"},
		{
			"the one with fewer calls outstanding", func(table *placement.TargetTable) { table.RecordStart(life("t0")) },
			pair(directory.Ready),
			placement.Query{DataCentre: "d0"},
			"t1",
		},
		{"the one that fails less", func(table *placement.TargetTable) {
			answered(table, now, "t0", time.Millisecond, true)
			answered(table, now, "t1", time.Millisecond, false)
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t1"},
		{"the faster one with more load, when it still answers first", func(table *placement.TargetTable) {
			answered(table, now, "t0", 10*time.Millisecond, false)
			answered(table, now, "t1", 40*time.Millisecond, false)
			table.RecordLoad(now, life("t0"), placement.Load{Running: 8, Waiting: 8, Slots: 8})
		}, pair(directory.Ready), placement.Query{DataCentre: "d0"}, "t0"},
		{"a healthy one, however slow, before one whose connections are full", func(table *placement.TargetTable) {
			answered(table, now, "t1", time.Minute, false)
			table.RecordStart(life("t0"))
		}, pair(directory.Ready), placement.Query{DataCentre: "d0", MaxInflight: 1}, "t1"},
		{
			"one whose connections are full before a lapsed one", func(table *placement.TargetTable) { table.RecordStart(life("t1")) },
			pair(directory.Lapsed),
			placement.Query{DataCentre: "d0", MaxInflight: 1},
			"t1",
		},
		{"a healthy one elsewhere before a lapsed one here", nil, lapsedAway, placement.Query{DataCentre: "d0"}, "t1"},
		{
			"a lapsed one before an ejected one", func(table *placement.TargetTable) { table.Eject(now, life("t1")) },
			pair(directory.Lapsed),
			placement.Query{DataCentre: "d0"},
			"t0",
		},
		{
			"an ejected one when the other was tried", func(table *placement.TargetTable) { table.Eject(now, life("t0")) },
			pair(directory.Ready),
			placement.Query{DataCentre: "d0", Exclude: []string{"t1"}},
			"t0",
		},
		{
			"none that drains, whatever the other does", func(table *placement.TargetTable) { table.Eject(now, life("t1")) },
			pair(directory.Draining),
			placement.Query{DataCentre: "d0"},
			"t1",
		},
	}
	convey.Convey("Of two targets a plain call goes to", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
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

// TestAge shows for how long what was learnt counts.
func TestAge(t *testing.T) {
	q := placement.Query{DataCentre: "d0"}
	chosen := func(table *placement.TargetTable, after time.Duration) string {
		got, _ := table.LeastLoaded(now.Add(after), pair(directory.Ready), q)
		return got.ID
	}
	convey.Convey("A reported load counts for 500 ms", t, func() {
		table := placement.NewTargetTable()
		table.RecordLoad(now, life("t0"), placement.Load{Running: 8, Slots: 8})
		convey.So(chosen(table, 500*time.Millisecond), convey.ShouldEqual, "t1")
		convey.So(chosen(table, 501*time.Millisecond), convey.ShouldEqual, "t0")
	})
	convey.Convey("A learnt latency loses half its weight in 3 s", t, func() {
		table := placement.NewTargetTable()
		answered(table, now, "t0", 40*time.Millisecond, false)
		answered(table, now.Add(3*time.Second), "t1", 21*time.Millisecond, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t0")
		answered(table, now.Add(3*time.Second), "t1", 0, false)
		convey.So(chosen(table, 3*time.Second), convey.ShouldEqual, "t1")
	})
	convey.Convey("Failures count until the next call ends, however long ago", t, func() {
		table := placement.NewTargetTable()
		answered(table, now, "t0", 0, true)
		convey.So(chosen(table, time.Hour), convey.ShouldEqual, "t1")
		answered(table, now.Add(time.Hour), "t0", 0, false)
		convey.So(chosen(table, time.Hour), convey.ShouldEqual, "t0")
	})
	convey.Convey("A target that gives no slots counts as one of 4", t, func() {
		for slots, want := range map[int]string{3: "t0", 5: "t1"} {
			table := placement.NewTargetTable()
			list := pair(directory.Ready)
			list[0].Slots, list[1].Slots = 0, int32(slots)
			table.RecordStart(life("t0"))
			table.RecordStart(life("t1"))
			got, _ := table.LeastLoaded(now, list, q)
			convey.So(got.ID, convey.ShouldEqual, want)
		}
	})
	convey.Convey("A latency below 1 ms does not count", t, func() {
		table := placement.NewTargetTable()
		answered(table, now, "t0", 900*time.Microsecond, false)
		answered(table, now, "t1", 100*time.Microsecond, false)
		convey.So(chosen(table, 0), convey.ShouldEqual, "t0")
	})
}
