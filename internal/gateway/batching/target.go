package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// target is the state of one target of the service.
type target struct {
	directory.Target
	// usable reports whether the target is listed and takes new work: it is neither
	// draining nor Returned, and not in an evacuated data centre.
	usable bool
	// listed reports whether the newest target list of the service includes the target.
	listed bool
	// running is the batch that was sent and has not ended; nil for none.
	running *batch
	// lastBatchAnswered reports whether the target answered its last batch. If not, it
	// may still run that batch, or one of another coordinator.
	lastBatchAnswered bool
	slowdown          slowdown
	backoff           targetBackoff
	memory            resultMemory
	// inspection tracks the work of other coordinators at the target.
	inspection inspection
	// speedClass is the class of its slowdown at the last update; lower is faster.
	speedClass int
	// idleSince is when its last batch ended or, before the first, its inspection.
	idleSince time.Time
	// seq is its index in the list of all targets.
	seq int
	// list is the pool's list that holds the target, at position index.
	list  *targetList
	index int
}

func newTarget(t directory.Target) *target {
	return &target{Target: t, slowdown: newSlowdown(), memory: newResultMemory()}
}

// recordFailure records a batch that failed or became stuck.
func (t *target) recordFailure(now time.Time) {
	t.backoff.recordFailure(now)
	t.lastBatchAnswered = false
}

// isStuck reports whether the target's batch is stuck.
func (t *target) isStuck() bool { return t.running != nil && t.running.stuck }

// removable reports whether the target is no longer needed: it is unusable, runs no
// batch, stores no result and is not being inspected.
func (t *target) removable() bool {
	return !t.usable && t.running == nil && t.memory.empty() && !t.inspection.running
}

// idleExpired reports whether the target's state is outdated: it has been idle for
// spareAfter, stores no result, does not back off, is not known to work for others and is
// not to be inspected.
func (t *target) idleExpired(now time.Time) bool {
	return now.Sub(t.idleSince) >= spareAfter && t.memory.empty() && t.inspection.noForeignWork() && !t.backoff.active(now)
}

// batch is a batch that was sent and has not ended.
type batch struct {
	id     BatchID
	target *target
	items  []Item
	sentAt time.Time
	// nominal is how long the batch should take by the catalog.
	nominal time.Duration
	// expectedEnd is when it should end at its target.
	expectedEnd time.Time
	// stuckAt is when it counts as stuck, timeoutAt when its call ends without an answer.
	stuckAt, timeoutAt time.Time
	// stuck reports whether the batch became stuck, so that its items were queued again
	// or failed.
	stuck bool
}
