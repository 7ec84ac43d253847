package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// stuckFactor is how many times its expected duration a batch may take before it
	// counts as stuck, for targets that have become slower. A lower factor runs items of
	// a slowing target twice; a higher one delays the items of a frozen target. See
	// docs/decisions/0012-batches.md.
	stuckFactor = 2.0
	// stuckExtra is added for network latency and pauses: a lost packet is retransmitted
	// after about 200 ms.
	stuckExtra = 250 * time.Millisecond
	// timeoutFactor is the ratio of the timeout of a batch to the time after which it
	// counts as stuck. Its items are retried elsewhere by then, and only its target is
	// kept from other work.
	timeoutFactor = 3
)

// stuckAfter returns how long after its sending a batch counts as stuck, from its
// expected duration (target.expectedDuration).
//
// The items of a stuck batch are retried on other targets. Its target backs off, and gets
// no other batch before this one has ended, since it may still run it. The results of a
// late answer are stored for items that are still wanted and discarded otherwise.
//
// Too short a time computes items twice and uses up the retry budget; too long a time
// makes the items of a frozen target late.
func stuckAfter(expected time.Duration) time.Duration {
	return saturate.Duration(stuckFactor*float64(expected)) + stuckExtra
}

// sendTimeout returns how long the sending of a batch may take, answer included. When no
// answer ever comes, it frees the target for other batches; the items were retried long
// before.
//
// Too short a time sends a target a second batch while it runs the first; too long a time
// leaves a target unused that lost the batch.
func sendTimeout(expected time.Duration) time.Duration {
	return timeoutFactor * stuckAfter(expected)
}

// becomesStuck reports whether a batch that is not stuck yet counts as stuck from now on.
//
// tickDelay is how late this node is itself (Tick.Delay): an answer that arrived within
// that time may still be waiting to be processed. When this was ignored, an overloaded
// coordinator took healthy targets for stuck: it repeated a quarter of its batches, which
// delayed it further, used up the service's retry budget and failed hundreds of requests.
func (b *batch) becomesStuck(now time.Time, tickDelay time.Duration) bool {
	return !b.stuck && !now.Add(-tickDelay).Before(b.stuckAt)
}
