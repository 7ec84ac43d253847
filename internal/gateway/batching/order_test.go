package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// dueItem returns an item that is due some time after testNow.
func dueItem(id ItemID, due time.Duration, priority int) *queuedItem {
	return &queuedItem{Item: Item{ID: id, Due: testNow.Add(due), Priority: priority}}
}

func TestQueueOrder(t *testing.T) {
	const onTime = time.Second
	shouldGoFirst := func(first, second *queuedItem) {
		queue := []*queuedItem{second, first}
		sortQueue(queue, earliestEnd(testNow, testSpec()))
		convey.So(queue[0].ID, convey.ShouldEqual, first.ID)
	}
	for _, c := range []struct {
		name          string
		first, second *queuedItem
	}{
		{"The item with the earlier due time goes first", dueItem(1, onTime, 0), dueItem(2, onTime+1, 0)},
		{"A priority step counts for less than 201 ms", dueItem(1, onTime, 1), dueItem(2, onTime+201*time.Millisecond, 0)},
		{"A priority step counts for more than 199 ms", dueItem(1, onTime+199*time.Millisecond, 0), dueItem(2, onTime, 1)},
		{"Two steps count for twice as much", dueItem(1, onTime+399*time.Millisecond, 0), dueItem(2, onTime, 2)},
		{"An item that can be in time goes before one that is past due", dueItem(1, onTime, 0), dueItem(2, 100*time.Millisecond, 0)},
		{"regardless of their priorities", dueItem(1, onTime, 9), dueItem(2, 100*time.Millisecond, 0)},
		{"An item is not past due while a batch of one can finish in time", dueItem(1, 260*time.Millisecond, 0), dueItem(2, onTime, 0)},
		{"and is when it cannot", dueItem(1, onTime, 0), dueItem(2, 260*time.Millisecond-1, 0)},
		{"Past-due items are ordered by due time", dueItem(1, -time.Second, 0), dueItem(2, 0, 0)},
	} {
		convey.Convey(c.name, t, func() { shouldGoFirst(c.first, c.second) })
	}
	convey.Convey("Equal items stay in queueing order", t, func() {
		queue := []*queuedItem{dueItem(1, onTime, 0), dueItem(2, onTime, 0), dueItem(3, onTime, 0)}
		sortQueue(queue, earliestEnd(testNow, testSpec()))
		for i, q := range queue {
			convey.So(q.ID, convey.ShouldEqual, i+1)
		}
	})
}
