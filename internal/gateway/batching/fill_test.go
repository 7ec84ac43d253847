package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBatchTakesItemsByNumberMemoryAndPlace(t *testing.T) {
	onTime, late := noon.Add(2*time.Second), noon
	near := testTarget("n", "d1")
	for _, c := range []struct {
		name string
		item Item
		// taken and stored say what the batch and the target's memory hold: of 1000
		// bytes 950 are planned with.
		taken  int
		stored int64
		want   bool
	}{
		{"An item that fits is taken", Item{Bytes: 100, Due: onTime}, 3, 0, true},
		{"No item goes into a full batch", Item{Bytes: 100, Due: onTime}, 4, 0, false},
		{"An item may use the last of the memory", Item{Bytes: 100, Due: onTime}, 0, 850, true},
		{"and not more", Item{Bytes: 101, Due: onTime}, 0, 850, false},
		{"A past-due item leaves half of the memory to others", Item{Bytes: 100, Due: late}, 0, 350, true},
		{"and waits when it could not", Item{Bytes: 101, Due: late}, 0, 350, false},
		{"A past-due item lacks memory like others", Item{Bytes: 101, Due: late}, 0, 850, false},
		{"An item waits for a target in its data centre", Item{Bytes: 100, Due: onTime, DataCentre: "d1"}, 0, 0, false},
		{"An item of another data centre without targets does not", Item{Bytes: 100, Due: onTime, DataCentre: "d9"}, 0, 0, true},
	} {
		convey.Convey(c.name, t, func() {
			at := testTarget("t", "d0")
			at.memory.store("h", storedResult{bytes: c.stored})
			f := newFilling(newNearness(noon, testSpec(), poolOf(at, near)), at)
			f.items = c.taken
			convey.So(f.fits(&queuedItem{Item: c.item}, amount{items: 1, bytes: c.item.Bytes}), convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("Items behind one that does not fit are taken, in the order of the queue", t, func() {
		at := testTarget("t", "d0")
		var queue []*queuedItem
		for i, bytes := range []int64{600, 600, 300, 50, 1} {
			queue = append(queue, &queuedItem{Item: Item{ID: ItemID(i), Bytes: bytes, Due: onTime}})
		}
		taken, rest := newFilling(newNearness(noon, testSpec(), poolOf(at)), at).split(queue)
		convey.So(taken, convey.ShouldResemble, []*queuedItem{queue[0], queue[2], queue[3]})
		convey.So(rest, convey.ShouldResemble, []*queuedItem{queue[1], queue[4]})
	})
}

// TestBatchTakesWholeGroups goes through which of several groups share a batch of four
// items at a target whose memory takes nine results.
func TestBatchTakesWholeGroups(t *testing.T) {
	at := testTarget("t", "d0")
	// split queues groups of the given sizes, the most urgent first, and returns how
	// many items of each are taken.
	split := func(sizes ...int) []int {
		var queue []*queuedItem
		for group, size := range sizes {
			for range size {
				queue = append(queue, &queuedItem{Item: Item{Stage: group, Bytes: 100, Due: noon.Add(2 * time.Second)}})
			}
		}
		taken, rest := newFilling(newNearness(noon, testSpec(), poolOf(at)), at).split(queue)
		convey.So(len(taken)+len(rest), convey.ShouldEqual, len(queue))
		counts := make([]int, len(sizes))
		for _, q := range taken {
			counts[q.Stage]++
		}
		return counts
	}
	for _, c := range []struct {
		name        string
		sizes, want []int
	}{
		{"Groups that fit together share a batch", []int{1, 3}, []int{1, 3}},
		{"A group that does not fit waits as a whole", []int{3, 2}, []int{3, 0}},
		{"and one behind it that fits goes first", []int{3, 2, 1}, []int{3, 0, 1}},
		{"A batch that is half full takes no part of a group", []int{2, 3}, []int{2, 0}},
		{"One that is not takes what fits", []int{1, 4}, []int{1, 3}},
		{"A group larger than a batch is taken in parts", []int{6}, []int{4}},
	} {
		convey.Convey(c.name, t, func() { convey.So(split(c.sizes...), convey.ShouldResemble, c.want) })
	}
}
