package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

var now = time.Unix(1000, 0)

func engines(n int) []directory.Target {
	var list []directory.Target
	for i := range n {
		list = append(list, directory.Target{ID: fmt.Sprintf("t%d", i), DataCentre: fmt.Sprintf("d%d", i%2), Slots: 8})
	}
	return list
}

func TestPrefix(t *testing.T) {
	convey.Convey("Nodes that know nothing of each other send a session to the same engine", t, func() {
		for key := range uint64(50) {
			one, _ := placement.NewTargetTable().ByPrefix(now, engines(9), placement.Query{Key: key + 1, SharedTokens: 5000})
			two, _ := placement.NewTargetTable().ByPrefix(now, engines(9), placement.Query{Key: key + 1, SharedTokens: 5000})
			convey.So(one.ID, convey.ShouldEqual, two.ID)
		}
	})
	convey.Convey("When an engine goes, only its own sessions move", t, func() {
		all := engines(9)
		for key := range uint64(50) {
			q := placement.Query{Key: key + 1, SharedTokens: 5000}
			before, _ := placement.NewTargetTable().ByPrefix(now, all, q)
			after, _ := placement.NewTargetTable().ByPrefix(now, all[1:], q)
			if before.ID != all[0].ID {
				convey.So(after.ID, convey.ShouldEqual, before.ID)
			}
		}
	})
	convey.Convey("A full engine loses its sessions to the next in their order", t, func() {
		table := placement.NewTargetTable()
		q := placement.Query{Key: 7, SharedTokens: 500}
		first, _ := table.ByPrefix(now, engines(3), q)
		for range 8 {
			table.RecordStart(first.Incarnation())
		}
		second, _ := table.ByPrefix(now, engines(3), q)
		convey.So(second.ID, convey.ShouldNotEqual, first.ID)
	})
}

func TestLeast(t *testing.T) {
	q := placement.Query{DataCentre: "d0"}
	convey.Convey("A target that fails is ejected and probed", t, func() {
		table := placement.NewTargetTable()
		table.RecordStart(life("t0"))
		table.RecordEnd(now, life("t0"), time.Millisecond, true)
		table.Eject(now, life("t0"))
		for range 5 {
			got, _ := table.LeastLoaded(now, engines(2), q)
			convey.So(got.ID, convey.ShouldEqual, "t1")
		}
		convey.Convey("unless there is no other", func() {
			got, ok := table.LeastLoaded(now, engines(1), q)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.ID, convey.ShouldEqual, "t0")
		})
		convey.Convey("by one request after a while, which lets it back", func() {
			later := now.Add(time.Minute)
			table.RecordStart(life("t0"))
			table.RecordEnd(later, life("t0"), time.Millisecond, false)
			table.RecordStart(life("t1"))
			got, _ := table.LeastLoaded(later, engines(2), q)
			convey.So(got.ID, convey.ShouldEqual, "t0")
		})
	})
	convey.Convey("Targets that drain or were tried are never chosen", t, func() {
		list := engines(2)
		list[0].State = directory.Draining
		_, ok := placement.NewTargetTable().LeastLoaded(now, list, placement.Query{Exclude: []string{"t1"}})
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("What a target reported counts until it is old", t, func() {
		table := placement.NewTargetTable()
		table.RecordLoad(now, life("t0"), placement.Load{Running: 8, Waiting: 30, Slots: 8})
		got, _ := table.LeastLoaded(now, engines(2), q)
		convey.So(got.ID, convey.ShouldEqual, "t1")
		got, _ = table.LeastLoaded(now.Add(time.Second), engines(2), q)
		convey.So(got.ID, convey.ShouldEqual, "t0")
	})
}

func TestCoordinator(t *testing.T) {
	convey.Convey("A service's coordinator changes only when it goes", t, func() {
		members := []string{"a", "b", "c", "d"}
		for i := range 50 {
			name := fmt.Sprint("s", i)
			coordinator := placement.Coordinator(name, members)
			if coordinator != "d" {
				convey.So(placement.Coordinator(name, members[:3]), convey.ShouldEqual, coordinator)
			}
		}
		convey.So(placement.Coordinator("s", nil), convey.ShouldBeEmpty)
	})
}

// life is the life of a target whose start is not known.
func life(id string) directory.Incarnation { return directory.Incarnation{ID: id} }
