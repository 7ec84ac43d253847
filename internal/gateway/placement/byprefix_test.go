package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// firstEngine returns the engine of engines(2) that a session's prompts go to when
// nothing else counts, and the other one.
func firstEngine(key uint64) (first, other directory.Target) {
	all := engines(2)
	got, _ := placement.NewTargetTable().ByPrefix(now, all, placement.Query{Key: key})
	if got.ID == all[0].ID {
		return all[0], all[1]
	}
	return all[1], all[0]
}

// chosen returns the identity of the engine, of nine, for a query.
func chosen(table *placement.TargetTable, q placement.Query) string {
	got, _ := table.ByPrefix(now, engines(9), q)
	return got.ID
}

// TestByPrefixTable goes through what keeps a session at its engine and what moves
// it. A rank costs 500 ms of work for 2,000 shared tokens.
func TestByPrefixTable(t *testing.T) {
	first, other := firstEngine(7)
	sent := func(n int) func(*placement.TargetTable) {
		return func(table *placement.TargetTable) {
			for range n {
				table.RecordStart(first.Incarnation())
			}
		}
	}
	cases := []struct {
		why   string
		learn func(*placement.TargetTable)
		q     placement.Query
		want  directory.Target
	}{
		{"its engine has few calls", sent(2), placement.Query{Key: 7, SharedTokens: 2000}, first},
		{"its engine has calls for a third of its slots", sent(3), placement.Query{Key: 7, SharedTokens: 2000}, other},
		{"its engine is full, but long parts are cached there", sent(8), placement.Query{Key: 7, SharedTokens: 8000}, first},
		{"its engine is more than full", sent(11), placement.Query{Key: 7, SharedTokens: 8000}, other},
		{"its engine reported calls of other nodes", func(table *placement.TargetTable) {
			table.RecordLoad(now, first.Incarnation(), placement.Load{Running: 6, Slots: 8})
		}, placement.Query{Key: 7, SharedTokens: 2000}, other},
		{"its engine has failed", func(table *placement.TargetTable) {
			answered(table, now, first.ID, time.Millisecond, true)
		}, placement.Query{Key: 7, SharedTokens: 2000}, other},
		{"its engine is ejected, whatever is cached there", func(table *placement.TargetTable) {
			table.Eject(now, first.Incarnation())
		}, placement.Query{Key: 7, SharedTokens: 100_000}, other},
		{"8 MB lie at its engine, 16 MB at the other", nil, placement.Query{
			Key: 7, SharedTokens: 2000, InputBytes: map[string]int64{first.DataCentre: 8e6, other.DataCentre: 16e6},
		}, first},
		{"8 MB lie at its engine, 17 MB at the other", nil, placement.Query{
			Key: 7, SharedTokens: 2000, InputBytes: map[string]int64{first.DataCentre: 8e6, other.DataCentre: 17e6},
		}, other},
		{"its parts are short and no call is outstanding", nil, placement.Query{Key: 7, SharedTokens: 1}, first},
	}
	convey.Convey("The engine of a session when", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				table := placement.NewTargetTable()
				if c.learn != nil {
					c.learn(table)
				}
				got, ok := table.ByPrefix(now, engines(2), c.q)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(got.ID, convey.ShouldEqual, c.want.ID)
			})
		}
		convey.Convey("it has no shared part is the first without load", func() {
			table := placement.NewTargetTable()
			got, _ := table.ByPrefix(now, engines(2), placement.Query{SharedTokens: 5000})
			convey.So(got.ID, convey.ShouldEqual, "t0")
			table.RecordStart(life("t0"))
			got, _ = table.ByPrefix(now, engines(2), placement.Query{SharedTokens: 5000})
			convey.So(got.ID, convey.ShouldEqual, "t1")
		})
		convey.Convey("its first ones are overloaded is any other with less load", func() {
			table := placement.NewTargetTable()
			q := placement.Query{Key: 7, SharedTokens: 2000}
			for range 3 {
				q.Exclude = append(q.Exclude, chosen(table, q))
			}
			fourth := chosen(table, q)
			for _, id := range q.Exclude {
				for range 24 {
					table.RecordStart(life(id))
				}
			}
			q.Exclude = nil
			convey.So(chosen(table, q), convey.ShouldEqual, fourth)
			table.RecordStart(life(fourth))
			convey.So(chosen(table, q), convey.ShouldNotEqual, fourth)
		})
		convey.Convey("no engine is left is none", func() {
			_, ok := placement.NewTargetTable().ByPrefix(now, engines(2), placement.Query{Exclude: []string{"t0", "t1"}})
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}
