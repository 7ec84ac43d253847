package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// canFinish says whether an item that is sent now can be ready before its deadline.
//
// Its inputs are the item's deadline (the request's, less the time of what follows
// the item) and the time of a batch of one item by the catalog. Before the catalog
// is known, that time counts as none, so that only items whose deadline is over are
// dropped. It is asked at each event of items that are in no batch; one in a batch
// is left to it.
//
// The learnt slowdown of targets does not count, since a faster target may be free
// before. Where nothing can come of a request its caller gets the final answer at once:
// an item that waits until its deadline would delay the refusal, and the time at which
// to retry, for nothing.
//
// Dropping too early refuses requests that could have been answered; dropping too
// late spends result memory and batches on items that nobody can use.
func canFinish(now time.Time, spec *catalog.Batch, deadline time.Time) bool {
	end := now
	if spec != nil {
		end = earliestEnd(now, spec)
	}
	return !end.After(deadline)
}

// canStartInTime says whether a past-due item that waits behind a number of others
// (ahead, by the order of the queue) can be in a batch early enough to be ready
// before its deadline.
//
// Its inputs are the rate of all targets and the time until one is idle (capacity), the
// items before it, and the item's deadline. What will come later and go before it does
// not count, so that the answer is yes too often rather than too rarely. Without a rate
// nobody can say, and the item waits.
//
// Past-due items go last. Under a long overload they waited for their deadline, up to
// 4 s, and were refused then; now they are as soon as their turn cannot come. Worth
// rose by 0.005 (docs/MEASUREMENTS.md, "past-due items given up when their turn cannot
// come").
//
// Dropping too early refuses requests that could have been answered late; dropping too
// late holds those that cannot be.
func canStartInTime(now time.Time, spec *catalog.Batch, c capacity, ahead int, deadline time.Time) bool {
	if c.itemsPerSecond <= 0 {
		return true
	}
	begins := now.Add(c.firstIdle + durationFor(ahead, c.itemsPerSecond))
	return !earliestEnd(begins, spec).After(deadline)
}
