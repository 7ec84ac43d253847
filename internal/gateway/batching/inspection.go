package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

const (
	// busyReinspectInterval is how long after a target was found busy with the batch of another
	// coordinator it is inspected again: less than a third of the shortest batch, so that
	// it idles for little, at a probe each time.
	busyReinspectInterval = 60 * time.Millisecond
	// memoryReinspectInterval is how long after results of others were found at a target it is
	// inspected again: they go when they expire, after seconds, or when their owner
	// releases them.
	memoryReinspectInterval = 500 * time.Millisecond
)

// inspection is what is known of the work of others at one target. The zero value
// knows nothing.
//
// A coordinator knows only what it did itself. One that takes a service over, for
// instance after a fault of all nodes, finds targets that still work for the one
// before it, and memory full of results that nobody will read: batches sent there were
// refused, and their requests with them (72 of 270 in the four seconds after such a
// fault). So a target is inspected before its first batch, again while others work
// there or hold results, and when it had no memory for a result that this coordinator
// had counted on.
//
// An inspection costs a call. Without an answer the target counts as free of others'
// work: its next batch shows whether it is. Results of others count until they must
// have expired.
type inspection struct {
	// completed says that the target was inspected, or gave no answer.
	completed bool
	// running says that an answer is awaited.
	running bool
	// busy says that the target works for others.
	busy bool
	// foreignBytes are the results of others, until foreignExpiresAt.
	foreignBytes     int64
	foreignExpiresAt time.Time
	// nextAt is when the target is to be inspected again; zero for never.
	nextAt time.Time
}

// due says whether the target is to be inspected now.
func (i *inspection) due(now time.Time) bool {
	if i.running {
		return false
	}
	return !i.completed || (!i.nextAt.IsZero() && !now.Before(i.nextAt))
}

// blocksBatches says whether the target gets no batch: nothing is known of it yet, or it
// works for others.
func (i *inspection) blocksBatches() bool { return !i.completed || i.busy }

// noForeignWork says whether nothing of others is known there, and no answer is awaited.
func (i *inspection) noForeignWork() bool { return !i.running && !i.busy && i.nextAt.IsZero() }

// foreign returns how much memory results of others take.
func (i *inspection) foreign(now time.Time) int64 {
	if !now.Before(i.foreignExpiresAt) {
		return 0
	}
	return i.foreignBytes
}

// inspectNow has the target inspected at once.
func (i *inspection) inspectNow(now time.Time) { i.nextAt = now }

// ownWork is what this coordinator has a target do and hold.
type ownWork struct {
	running bool
	bytes   int64
}

// recordFailure takes in that a target gave no answer.
func (i *inspection) recordFailure() {
	i.completed, i.running, i.busy, i.nextAt = true, false, false, time.Time{}
}

// recordReport takes in a target's report. What it does and holds beyond this
// coordinator's own work is others'.
func (i *inspection) recordReport(now time.Time, report Report, spec *catalog.Batch, own ownWork) {
	i.completed, i.running = true, false
	i.busy = report.Busy && !own.running
	i.foreignBytes = max(spec.MemoryBytes-report.FreeBytes-own.bytes, 0)
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
