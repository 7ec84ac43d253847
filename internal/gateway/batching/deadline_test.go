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

func TestCanFinish(t *testing.T) {
	for _, c := range []struct {
		name string
		spec *catalog.Batch
		left time.Duration
		want bool
	}{
		{"An item can finish in the duration of a batch of one", testSpec(), 260 * time.Millisecond, true},
		{"An item cannot finish in less", testSpec(), 260*time.Millisecond - 1, false},
		{"Without a catalog any remaining time is enough", nil, 0, true},
		{"but a deadline that has passed is not", nil, -1, false},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(canFinish(testNow, c.spec, testNow.Add(c.left)), convey.ShouldEqual, c.want)
		})
	}
}

// TestCanStartInTime covers when a past-due item is dropped before its deadline: the
// targets process 20 items per second from 100 ms on, and a batch of one takes 260 ms.
func TestCanStartInTime(t *testing.T) {
	rate := capacity{itemsPerSecond: 20, firstIdle: 100 * time.Millisecond}
	for _, c := range []struct {
		name   string
		rate   capacity
		before int
		left   time.Duration
		want   bool
	}{
		{"The first item needs an idle target and a batch", rate, 0, 360 * time.Millisecond, true},
		{"With less time it is dropped", rate, 0, 360*time.Millisecond - 1, false},
		{"An item behind ten others needs half a second more", rate, 10, 860 * time.Millisecond, true},
		{"and is dropped with less", rate, 10, 860*time.Millisecond - 1, false},
		{"Without a rate it waits", capacity{}, 10, 0, true},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(canStartInTime(testNow, testSpec(), c.rate, c.before, testNow.Add(c.left)), convey.ShouldEqual, c.want)
		})
	}
}

// TestUnschedulableItemsAreDropped checks that past-due items fail as soon as they cannot
// start in time, while items that are on time wait.
func TestUnschedulableItemsAreDropped(t *testing.T) {
	submit := func(due time.Duration) []Effect {
		c := New(retrybudget.Policy{MaxNodes: 1, Window: 10 * time.Second})
		c.Handle(testNow, Configure{Service: &catalog.Service{Name: "s", Batch: testSpec()}, Targets: []directory.Target{{ID: "t"}}})
		c.Handle(testNow, Inspected{Target: directory.Incarnation{ID: "t"}, Report: Report{FreeBytes: 1000}})
		var items []Item
		for i := range 30 {
			items = append(items, Item{
				ID: ItemID(i), Request: "r", Stage: i, Bytes: 10, Due: testNow.Add(due), Deadline: testNow.Add(time.Second),
			})
		}
		return c.Handle(testNow, Submit{Items: items})
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
	convey.Convey("Of 30 past-due items with a second left, those that cannot start in time are dropped", t, func() {
		convey.So(givenUp(submit(0)), convey.ShouldBeBetween, 15, 30)
	})
	convey.Convey("No item that is on time is dropped", t, func() {
		convey.So(givenUp(submit(time.Second)), convey.ShouldEqual, 0)
	})
}
