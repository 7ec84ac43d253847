package batching

import "time"

const (
	// stuckFactor is how many times as long as expected a batch may take before it counts
	// as stuck, for targets that have become slower. With less a target that slows down
	// has its items run twice; with more the items of a frozen one wait longer. See
	// docs/decisions/0012-batches.md.
	stuckFactor = 2.0
	// stuckExtra is what it may take beyond that, for the network and for pauses: a packet
	// that is lost is sent again after about 200 ms.
	stuckExtra = 250 * time.Millisecond
	// timeoutFactor is how many times as long as until it counts as stuck a batch is
	// awaited at all. Its items are elsewhere by then; only its target is kept from other
	// work.
	timeoutFactor = 3
)

// stuckAfter returns how long after its sending a batch counts as stuck, by the time
// that it is expected to take at its target (target.expectedDuration).
//
// The items of a stuck batch are retried on other targets. Its target backs off, and
// gets no other batch before this one has ended, since it may still run it. Results of a late answer are stored for items that are still wanted and
// discarded otherwise.
//
// Too short a time computes items twice and uses up the retry budget; too long a
// time makes the items of a frozen target late.
func stuckAfter(expected time.Duration) time.Duration {
	return time.Duration(stuckFactor*float64(expected)) + stuckExtra
}

// sendTimeout returns the longest that the sending of a batch may take, answer included.
// It frees the target for other batches when no answer ever comes; the items were
// retried long before.
//
// Too short a time sends a target a second batch while it runs the first; too long
// a time leaves a target unused that lost the batch.
func sendTimeout(expected time.Duration) time.Duration {
	return timeoutFactor * stuckAfter(expected)
}

// becomesStuck says whether the batch counts as stuck from now on.
//
// late is how late this node itself is: an answer that came so long ago may still wait
// for its turn here. Without it a coordinator that had more to do than its processor
// carries took its targets for stuck, though none was: it had a quarter of its batches
// run again, which made it later still, spent the service's share of retries, and ended
// hundreds of requests.
func (b *batch) becomesStuck(now time.Time, late time.Duration) bool {
	return !b.stuck && !now.Add(-late).Before(b.stuckAt)
}
