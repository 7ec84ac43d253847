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
	// answered says that the target's last batch ended with its answer. Otherwise the
	// target may still run a batch that got stuck, or one of another coordinator.
	answered bool
	slowdown slowdown
	backoff  targetBackoff
	memory   resultMemory
	// inspection is what is known of others' work there.
	inspection inspection
	// speed is the class of its slowdown when that was last looked at: lower is faster.
	speed int
	// idleSince is when its last batch ended or, before the first, its inspection.
	idleSince time.Time
	// order is its number in the list of all targets.
	order int
	// list is where the pool holds the target, at index.
	list  *targetList
	index int
}

func newTarget(t directory.Target) *target {
	return &target{Target: t, slowdown: newSlowdown(), memory: newResultMemory()}
}

// failed takes in a batch that failed or is stuck.
func (t *target) failed(now time.Time) {
	t.backoff.failed(now)
	t.answered = false
}

// forgettable says whether nothing of the target matters any more: it is not
// listed or drains, runs no batch, stores no result and is not being inspected.
func (t *target) forgettable() bool {
	return !t.usable && t.running == nil && t.memory.empty() && !t.inspection.running
}

// rested says whether what is known of the target no longer matters: it has been idle for
// spareAfter, holds nothing, and nobody works there.
func (t *target) rested(now time.Time) bool {
	return now.Sub(t.idleSince) >= spareAfter && t.memory.empty() && t.inspection.quiet() && !t.backoff.active(now)
}

// batch is a batch that was sent and has not ended.
type batch struct {
	id      BatchID
	target  *target
	items   []Item
	started time.Time
	// planned is how long it should take by the catalog.
	planned time.Duration
	// expectedEnd is when it should end at its target.
	expectedEnd time.Time
	// stuckAt is when it counts as stuck.
	stuckAt time.Time
	// stuck batches were given up: their items are queued again or have ended.
	stuck bool
}
