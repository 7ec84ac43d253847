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

func TestByPrefixAffinity(t *testing.T) {
	convey.Convey("Nodes send a session to the same engine without communication", t, func() {
		for key := range uint64(50) {
			first, _ := placement.NewTargetTable().ByPrefix(now, engines(9), placement.Query{Key: key + 1, SharedTokens: 5000})
			second, _ := placement.NewTargetTable().ByPrefix(now, engines(9), placement.Query{Key: key + 1, SharedTokens: 5000})
			convey.So(first.ID, convey.ShouldEqual, second.ID)
		}
	})
	convey.Convey("If an engine is removed, only its own sessions move", t, func() {
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
	convey.Convey("The sessions of a full engine move to their next engine", t, func() {
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

func TestLeastLoaded(t *testing.T) {
	q := placement.Query{DataCentre: "d0"}
	convey.Convey("A target that fails is ejected and probed", t, func() {
		table := placement.NewTargetTable()
		table.RecordStart(incarnation("t0"))
		table.RecordEnd(now, incarnation("t0"), time.Millisecond, true)
		table.Eject(now, incarnation("t0"))
		for range 5 {
			got, _ := table.LeastLoaded(now, engines(2), q)
			convey.So(got.ID, convey.ShouldEqual, "t1")
		}
		convey.Convey("unless it is the only target", func() {
			got, ok := table.LeastLoaded(now, engines(1), q)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.ID, convey.ShouldEqual, "t0")
		})
		convey.Convey("by one request after the ejection, which readmits it if successful", func() {
			later := now.Add(time.Minute)
			table.RecordStart(incarnation("t0"))
			table.RecordEnd(later, incarnation("t0"), time.Millisecond, false)
			table.RecordStart(incarnation("t1"))
			got, _ := table.LeastLoaded(later, engines(2), q)
			convey.So(got.ID, convey.ShouldEqual, "t0")
		})
	})
	convey.Convey("Draining and excluded targets are never selected", t, func() {
		list := engines(2)
		list[0].State = directory.Draining
		_, ok := placement.NewTargetTable().LeastLoaded(now, list, placement.Query{Exclude: []string{"t1"}})
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("A load report counts until it expires", t, func() {
		table := placement.NewTargetTable()
		table.RecordLoad(now, incarnation("t0"), placement.Load{Running: 8, Waiting: 30, Slots: 8})
		got, _ := table.LeastLoaded(now, engines(2), q)
		convey.So(got.ID, convey.ShouldEqual, "t1")
		got, _ = table.LeastLoaded(now.Add(time.Second), engines(2), q)
		convey.So(got.ID, convey.ShouldEqual, "t0")
	})
}

func TestCoordinator(t *testing.T) {
	convey.Convey("The coordinator of a service only changes if it leaves", t, func() {
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

// incarnation returns the incarnation of a target with an unknown start time.
func incarnation(id string) directory.Incarnation { return directory.Incarnation{ID: id} }
