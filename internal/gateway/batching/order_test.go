package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// dueItem is an item that is due some time after noon.
func dueItem(token ItemID, due time.Duration, priority int) *queuedItem {
	return &queuedItem{Item: Item{ID: token, Due: noon.Add(due), Priority: priority}}
}

func TestQueueGoesByDueTimeAndPriorityWithPastDueItemsLast(t *testing.T) {
	const onTime = time.Second
	shouldGoFirst := func(first, second *queuedItem) {
		queue := []*queuedItem{second, first}
		sortQueue(queue, earliestEnd(noon, testSpec()))
		convey.So(queue[0].ID, convey.ShouldEqual, first.ID)
	}
	for _, c := range []struct {
		name          string
		first, second *queuedItem
	}{
		{"The item that is due first goes first", dueItem(1, onTime, 0), dueItem(2, onTime+1, 0)},
		{"A step of priority weighs less than 200 ms", dueItem(1, onTime, 1), dueItem(2, onTime+201*time.Millisecond, 0)},
		{"A step of priority weighs more than 199 ms", dueItem(1, onTime+199*time.Millisecond, 0), dueItem(2, onTime, 1)},
		{"Two steps weigh twice as much", dueItem(1, onTime+399*time.Millisecond, 0), dueItem(2, onTime, 2)},
		{"An item that can still be in time goes before one that is past due", dueItem(1, onTime, 0), dueItem(2, 100*time.Millisecond, 0)},
		{"whatever their priorities", dueItem(1, onTime, 9), dueItem(2, 100*time.Millisecond, 0)},
		{"An item is not past due while a batch of one can end by then", dueItem(1, 260*time.Millisecond, 0), dueItem(2, onTime, 0)},
		{"and is when it cannot", dueItem(1, onTime, 0), dueItem(2, 260*time.Millisecond-1, 0)},
		{"Among past-due items the due time counts", dueItem(1, -time.Second, 0), dueItem(2, 0, 0)},
	} {
		convey.Convey(c.name, t, func() { shouldGoFirst(c.first, c.second) })
	}
	convey.Convey("Equal items stay in the order in which they were queued", t, func() {
		queue := []*queuedItem{dueItem(1, onTime, 0), dueItem(2, onTime, 0), dueItem(3, onTime, 0)}
		sortQueue(queue, earliestEnd(noon, testSpec()))
		for i, q := range queue {
			convey.So(q.ID, convey.ShouldEqual, i+1)
		}
	})
}
