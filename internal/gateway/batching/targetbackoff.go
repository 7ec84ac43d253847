package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
)

// failureBackoff is how long a target is left unused after a failed or stuck batch. It
// doubles with each consecutive failure, from half a batch up to the time in which a
// target is listed again.
var failureBackoff = backoff.Doubling{First: 150 * time.Millisecond, Max: 2 * time.Second}

// noMemoryBackoff is how long a target is left unused after it had no memory for a
// result. This allows for the release of results, which are collected for 25 ms and take
// a round trip.
const noMemoryBackoff = 80 * time.Millisecond

// targetBackoff tracks until when a target gets no batch after failures. The zero value
// does not back off.
//
// Its inputs are the ends of batches, in order: a batch that failed or became stuck, one
// with items that the target refused for lack of memory, one that was answered. The
// latest failure or lack of memory decides, even if it shortens the backoff. An answer
// only lets the next failure start with the shortest backoff again. A restarting or
// overloaded target would fail the next batch as well, and each failed batch uses up
// attempts and the retry budget. A target that lacks memory is healthy, so its backoff is
// short and does not double.
//
// Too short a backoff costs retries; too long a one wastes the target's capacity.
type targetBackoff struct {
	// failures counts the consecutive batches that failed or became stuck.
	failures int
	until    time.Time
}

// active reports whether the target backs off.
func (b *targetBackoff) active(now time.Time) bool { return now.Before(b.until) }

// left returns how long the target still backs off.
func (b *targetBackoff) left(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// recordFailure records a batch that failed or became stuck.
func (b *targetBackoff) recordFailure(now time.Time) {
	b.until = now.Add(failureBackoff.After(b.failures))
	b.failures++
}

// recordSuccess records a batch that was answered.
func (b *targetBackoff) recordSuccess() { b.failures = 0 }

// recordNoMemory records an item that the target had no memory for.
func (b *targetBackoff) recordNoMemory(now time.Time) { b.until = now.Add(noMemoryBackoff) }
