package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestItemThatCannotFinishBeforeItsDeadlineIsFound(t *testing.T) {
	for _, c := range []struct {
		name string
		spec *catalog.Batch
		left time.Duration
		want bool
	}{
		{"An item with the time of a batch of one left can finish", testSpec(), 260 * time.Millisecond, true},
		{"With less it cannot", testSpec(), 260*time.Millisecond - 1, false},
		{"Before the catalog is known any time left is enough", nil, 0, true},
		{"but a deadline that is over is not", nil, -1, false},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(canFinish(noon, c.spec, noon.Add(c.left)), convey.ShouldEqual, c.want)
		})
	}
}

// TestTurnComesInTime goes through when a past-due item is given up before its deadline:
// the targets take 20 items a second from 100 ms on, and a batch of one takes 260 ms.
func TestTurnComesInTime(t *testing.T) {
	rate := capacity{itemsPerSecond: 20, firstIdle: 100 * time.Millisecond}
	for _, c := range []struct {
		name   string
		rate   capacity
		before int
		left   time.Duration
		want   bool
	}{
		{"The first item needs an idle target and a batch", rate, 0, 360 * time.Millisecond, true},
		{"With less time it is given up", rate, 0, 360*time.Millisecond - 1, false},
		{"One behind ten others needs half a second more", rate, 10, 860 * time.Millisecond, true},
		{"and is given up with less", rate, 10, 860*time.Millisecond - 1, false},
		{"Without a rate it waits", capacity{}, 10, 0, true},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(turnComesInTime(noon, testSpec(), c.rate, c.before, noon.Add(c.left)), convey.ShouldEqual, c.want)
		})
	}
}

// TestPastDueItemsAreGivenUp holds that past-due items end as soon as their turn cannot
// come, while those that are on time wait.
func TestPastDueItemsAreGivenUp(t *testing.T) {
	submit := func(due time.Duration) []Effect {
		c := New(retrybudget.Policy{MaxNodes: 1, Window: 10 * time.Second})
		c.Handle(noon, Configure{Service: &catalog.Service{Name: "s", Batch: testSpec()}, Targets: []directory.Target{{ID: "t"}}})
		c.Handle(noon, Inspected{Target: directory.Incarnation{ID: "t"}, Report: Report{FreeBytes: 1000}})
		var items []Item
		for i := range 30 {
			items = append(items, Item{
				ID: ItemID(i), Request: "r", Stage: i, Bytes: 10, Due: noon.Add(due), Deadline: noon.Add(time.Second),
			})
		}
		return c.Handle(noon, Submit{Items: items})
	}
	givenUp := func(effects []Effect) int {
		n := 0
		for _, e := range effects {
			if r, ok := e.(Resolve); ok && r.Err.Reason() == verdict.ReasonDeadline {
				n++
			}
		}
		return n
	}
	convey.Convey("Of 30 past-due items with a second left those are given up that cannot be reached", t, func() {
		convey.So(givenUp(submit(0)), convey.ShouldBeBetween, 15, 30)
	})
	convey.Convey("None that is on time is", t, func() {
		convey.So(givenUp(submit(time.Second)), convey.ShouldEqual, 0)
	})
}
