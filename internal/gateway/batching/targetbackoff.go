package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
)

// failureBackoff is how long a target is left unused after a failed or stuck batch,
// doubling with each one in a row: the first time half a batch, at most what a target
// takes to be listed anew.
var failureBackoff = backoff.Doubling{First: 150 * time.Millisecond, Max: 2 * time.Second}

// noMemoryBackoff is how long a target is left unused after it had no memory for a
// result: time for some results to be released, which are gathered for 25 ms and take a
// round trip.
const noMemoryBackoff = 80 * time.Millisecond

// targetBackoff decides until when a target gets no batch after trouble. The zero
// value is a target without trouble.
//
// Its inputs are the ends of batches, in their order: a batch that failed or is
// stuck, one that the target refused items of for lack of memory, one that ended
// with its answer. The last one decides, also when it ends a longer backoff. A
// restarting or overloaded target would fail the next batch as well, and each
// failed batch uses up attempts and the retry budget; a target that lacks memory
// is well, so its backoff is short and does not double.
//
// Too short a backoff costs retries, too long a one the target's capacity.
type targetBackoff struct {
	// failures counts the batches in a row that failed or got stuck.
	failures int
	until    time.Time
}

// active says whether the target is to be left unused.
func (b *targetBackoff) active(now time.Time) bool { return now.Before(b.until) }

// recordFailure takes in a batch that failed or is stuck.
func (b *targetBackoff) recordFailure(now time.Time) {
	b.until = now.Add(failureBackoff.After(b.failures))
	b.failures++
}

// recordSuccess takes in a batch that ended with its answer.
func (b *targetBackoff) recordSuccess() { b.failures = 0 }

// recordNoMemory takes in an item that the target had no memory for.
func (b *targetBackoff) recordNoMemory(now time.Time) { b.until = now.Add(noMemoryBackoff) }
