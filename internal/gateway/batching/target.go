package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// target is what is known of one target of the service.
type target struct {
	directory.Target
	// usable targets are listed, and neither drain nor are in an evacuated data centre.
	usable bool
	// listed says that the newest list of the service names the target.
	listed bool
	// running is the batch that was sent and has not ended; nil for none.
	running *batch
	// lastBatchAnswered says that the target's last batch ended with its answer. Otherwise the
	// target may still run a batch that got stuck, or one of another coordinator.
	lastBatchAnswered bool
	slowdown          slowdown
	backoff           targetBackoff
	memory            resultMemory
	// inspection is what is known of others' work there.
	inspection inspection
	// speedClass is the class of its slowdown when that was last looked at: lower is faster.
	speedClass int
	// idleSince is when its last batch ended or, before the first, its inspection.
	idleSince time.Time
	// seq is its number in the list of all targets.
	seq int
	// list is where the pool holds the target, at index.
	list  *targetList
	index int
}

func newTarget(t directory.Target) *target {
	return &target{Target: t, slowdown: newSlowdown(), memory: newResultMemory()}
}

// recordFailure takes in a batch that failed or is stuck.
func (t *target) recordFailure(now time.Time) {
	t.backoff.recordFailure(now)
	t.lastBatchAnswered = false
}

// removable says whether nothing of the target matters any more: it is not
// listed or drains, runs no batch, stores no result and is not being inspected.
func (t *target) removable() bool {
	return !t.usable && t.running == nil && t.memory.empty() && !t.inspection.running
}

// idleExpired says whether what is known of the target no longer matters: it has been idle for
// spareAfter, holds nothing, and nobody works there.
func (t *target) idleExpired(now time.Time) bool {
	return now.Sub(t.idleSince) >= spareAfter && t.memory.empty() && t.inspection.noForeignWork() && !t.backoff.active(now)
}

// batch is a batch that was sent and has not ended.
type batch struct {
	id     BatchID
	target *target
	items  []Item
	sentAt time.Time
	// nominal is how long it should take by the catalog.
	nominal time.Duration
	// expectedEnd is when it should end at its target.
	expectedEnd time.Time
	// stuckAt is when it counts as stuck.
	stuckAt time.Time
	// stuck batches were given up: their items are queued again or have ended.
	stuck bool
}
