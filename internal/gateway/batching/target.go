package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// paceWeight is the weight of the newest call in a target's learnt pace.
	paceWeight = 0.4
	// paceHalfLife is how fast a target's pace is forgotten.
	paceHalfLife = 4 * time.Second
	// minPace and maxPace bound a learnt pace.
	minPace = 0.3
	maxPace = 20
	// noRoomPause is how long a target that had no room is left alone.
	noRoomPause = 80 * time.Millisecond
	// roomShare is the part of a target's room that is planned with; results are
	// only roughly as large as told.
	roomShare = 0.95
)

// failureBackoff is how long a target that failed is left alone.
var failureBackoff = backoff.Doubling{First: 150 * time.Millisecond, Max: 2 * time.Second}

// held is a result that takes room.
type held struct {
	bytes int64
	// begun is when the call that made it started.
	begun   time.Time
	expires time.Time
}

// target is what is known of one target.
type target struct {
	directory.Target
	usable bool
	// call is the call at work; 0 for none.
	call BatchID
	// known says that the target's last call ended with its answer. Before, it may
	// still be at work on a call that was given up, or that another node formed.
	known bool
	// free is when the call at work is expected to end.
	free time.Time
	// pace is how long calls take, compared with what the catalog says.
	pace    float64
	pacedAt time.Time
	// failures counts calls that failed in a row.
	failures    int
	pausedUntil time.Time
	results     map[string]held
	heldBytes   int64
	// reserved is the room of the call at work.
	reserved int64
}

func newTarget(t directory.Target) *target {
	return &target{Target: t, pace: 1, results: map[string]held{}}
}

// paceAt returns the pace, which goes back to 1 as it ages.
func (t *target) paceAt(now time.Time) float64 {
	age := now.Sub(t.pacedAt)
	if t.pacedAt.IsZero() || age <= 0 {
		return t.pace
	}
	keep := 1.0
	for age > paceHalfLife {
		keep /= 2
		age -= paceHalfLife
	}
	keep *= 1 - 0.5*float64(age)/float64(paceHalfLife)
	return 1 + (t.pace-1)*keep
}

func (t *target) learn(now time.Time, took, planned time.Duration) {
	pace := min(max(float64(took)/float64(planned), minPace), maxPace)
	t.pace = t.paceAt(now)*(1-paceWeight) + pace*paceWeight
	t.pacedAt = now
}

// failed leaves the target alone for longer after each failure in a row.
func (t *target) failed(now time.Time) {
	t.pausedUntil = now.Add(failureBackoff.After(t.failures))
	t.failures++
	t.known = false
}

// idle says whether the target can take a call.
func (t *target) idle(now time.Time) bool {
	return t.usable && t.call == 0 && !now.Before(t.pausedUntil)
}

func (t *target) room(b *catalog.Batch) int64 {
	return int64(roomShare*float64(b.MemoryBytes)) - t.heldBytes - t.reserved
}

func (t *target) hold(handle string, h held) {
	t.results[handle] = h
	t.heldBytes += h.bytes
}

func (t *target) release(handle string) {
	h, known := t.results[handle]
	if !known {
		return
	}
	delete(t.results, handle)
	t.heldBytes -= h.bytes
}

// expire forgets results that the target itself has let go.
func (t *target) expire(now time.Time) {
	for handle, h := range t.results {
		if !now.Before(h.expires) {
			t.release(handle)
		}
	}
}

// planned returns how long a call of n items should take by the catalog.
func planned(b *catalog.Batch, n int) time.Duration {
	return b.CallLatency + time.Duration(n)*b.PerItem
}

// expected returns how long a call of n items should take at this target.
func (t *target) expected(now time.Time, b *catalog.Batch, n int) time.Duration {
	return time.Duration(float64(planned(b, n)) * t.paceAt(now))
}
