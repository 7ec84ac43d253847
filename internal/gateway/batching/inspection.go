package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

const (
	// busyReinspectInterval is the time until the next inspection of a target that was
	// busy with the batch of another coordinator. It is less than a third of the shortest
	// batch, which bounds the target's idle time at the cost of one call each.
	busyReinspectInterval = 60 * time.Millisecond
	// memoryReinspectInterval is the time until the next inspection of a target that
	// holds results of other coordinators. These go when they expire, after seconds, or
	// when their owner releases them.
	memoryReinspectInterval = 500 * time.Millisecond
)

// inspection holds what is known of the work of other coordinators at a target. The zero
// value knows nothing.
//
// A coordinator sees only its own work. One that takes a service over, such as after a
// fault of all nodes, finds targets that still work for its predecessor and memory full
// of results that nobody will read. Batches sent to these were refused, and their
// requests with them: 72 of 270 in the four seconds after such a fault. Therefore a
// target is inspected before its first batch, again while others use it or hold results
// there, and when it lacks memory that this coordinator counted on.
//
// An inspection costs a call. A target that does not answer counts as unused by others;
// its next batch shows whether it is. Results of others count until they must have
// expired.
type inspection struct {
	// completed reports whether an inspection has ended, with or without an answer.
	completed bool
	// running reports whether an inspection is in progress.
	running bool
	// busy reports whether the target works for another coordinator.
	busy bool
	// foreignBytes is the size of the results of other coordinators, which counts until
	// foreignExpiresAt.
	foreignBytes     int64
	foreignExpiresAt time.Time
	// nextAt is when the target is to be inspected again; zero for never.
	nextAt time.Time
}

// due reports whether the target should be inspected now.
func (i *inspection) due(now time.Time) bool {
	if i.running {
		return false
	}
	return !i.completed || (!i.nextAt.IsZero() && !now.Before(i.nextAt))
}

// blocksBatches reports whether the target gets no batch because its first inspection has
// not ended or it works for another coordinator.
func (i *inspection) blocksBatches() bool { return !i.completed || i.busy }

// noForeignWork reports whether no work of other coordinators is known and no inspection
// is in progress or planned.
func (i *inspection) noForeignWork() bool { return !i.running && !i.busy && i.nextAt.IsZero() }

// foreign returns how much memory the results of other coordinators use, in bytes.
func (i *inspection) foreign(now time.Time) int64 {
	if !now.Before(i.foreignExpiresAt) {
		return 0
	}
	return i.foreignBytes
}

// inspectNow makes an inspection due at once.
func (i *inspection) inspectNow(now time.Time) { i.nextAt = now }

// ownWork is the work of this coordinator at a target.
type ownWork struct {
	running bool
	bytes   int64
}

// recordFailure records that the target did not answer.
func (i *inspection) recordFailure() {
	i.completed, i.running, i.busy, i.nextAt = true, false, false, time.Time{}
}

// recordReport records a target's report. Whatever exceeds the coordinator's own work
// belongs to others.
func (i *inspection) recordReport(now time.Time, report Report, spec *catalog.Batch, own ownWork) {
	i.completed, i.running = true, false
	i.busy = report.Busy && !own.running
	i.foreignBytes = 0
	if spec.MemoryBytes < catalog.UnknownMemory {
		i.foreignBytes = max(spec.MemoryBytes-report.FreeBytes-own.bytes, 0)
	}
	i.foreignExpiresAt = now.Add(spec.ResultTTL)
	switch {
	case i.busy:
		i.nextAt = now.Add(busyReinspectInterval)
	case i.foreignBytes > 0:
		i.nextAt = now.Add(memoryReinspectInterval)
	default:
		i.nextAt = time.Time{}
	}
}
