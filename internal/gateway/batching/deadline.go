package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// canFinish reports whether an item that is sent now can be ready before its deadline.
//
// Its inputs are the item's deadline (the request's, less the time for what follows the
// item) and the duration of a batch of one item in the catalog. Until the catalog is
// known, this duration counts as zero, so that only items past their deadline are
// dropped. It is called at each event for the queued items that no running batch holds;
// an item in a running batch is left to it.
//
// The estimated slowdown of targets does not count, since a faster target may become idle
// before. A caller whose request cannot succeed gets the final answer at once: an item
// that waits until its deadline would only delay the refusal and its retry-after time.
//
// Dropping too early refuses requests that could have been answered; dropping too late
// wastes result memory and batches on items that nobody can use.
func canFinish(now time.Time, spec *catalog.Batch, deadline time.Time) bool {
	end := now
	if spec != nil {
		end = earliestEnd(now, spec)
	}
	return !end.After(deadline)
}

// canStartInTime reports whether a past-due item behind a number of others in the queue
// (ahead) can be in a batch early enough to be ready before its deadline.
//
// Its inputs are the rate of all targets and the time until one is idle (capacity), the
// number of items ahead, and the item's deadline. Later items that will overtake it do
// not count, so it returns true too often rather than too rarely. If the rate is unknown,
// the item waits.
//
// Past-due items go last. Without this rule they would wait under a long overload until
// their deadline, up to 4 s, and be refused only then. See docs/MEASUREMENTS.md,
// "past-due items given up when their turn cannot come".
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
