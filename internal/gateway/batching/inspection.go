package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

const (
	// busyInspection is how long after a target was found busy with the batch of another
	// coordinator it is inspected again: less than a third of the shortest batch, so that
	// it idles for little, at a probe each time.
	busyInspection = 60 * time.Millisecond
	// memoryInspection is how long after results of others were found at a target it is
	// inspected again: they go when they expire, after seconds, or when their owner
	// releases them.
	memoryInspection = 500 * time.Millisecond
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
	// answered says that the target was inspected, or gave no answer.
	answered bool
	// running says that an answer is awaited.
	running bool
	// busy says that the target works for others.
	busy bool
	// foreignBytes are the results of others, until expires.
	foreignBytes int64
	expires      time.Time
	// next is when the target is to be inspected again; zero for never.
	next time.Time
}

// due says whether the target is to be inspected now.
func (i *inspection) due(now time.Time) bool {
	if i.running {
		return false
	}
	return !i.answered || (!i.next.IsZero() && !now.Before(i.next))
}

// blocks says whether the target gets no batch: nothing is known of it yet, or it
// works for others.
func (i *inspection) blocks() bool { return !i.answered || i.busy }

// quiet says whether nothing of others is known there, and no answer is awaited.
func (i *inspection) quiet() bool { return !i.running && !i.busy && i.next.IsZero() }

// foreign returns how much memory results of others take.
func (i *inspection) foreign(now time.Time) int64 {
	if !now.Before(i.expires) {
		return 0
	}
	return i.foreignBytes
}

// again has the target inspected at once.
func (i *inspection) again(now time.Time) { i.next = now }

// ownWork is what this coordinator has a target do and hold.
type ownWork struct {
	running bool
	bytes   int64
}

// failed takes in that a target gave no answer.
func (i *inspection) failed() {
	i.answered, i.running, i.busy, i.next = true, false, false, time.Time{}
}

// reported takes in a target's report. What it does and holds beyond this
// coordinator's own work is others'.
func (i *inspection) reported(now time.Time, r Report, spec *catalog.Batch, own ownWork) {
	i.answered, i.running = true, false
	i.busy = r.Busy && !own.running
	i.foreignBytes = max(spec.MemoryBytes-r.FreeBytes-own.bytes, 0)
	i.expires = now.Add(spec.ResultTTL)
	switch {
	case i.busy:
		i.next = now.Add(busyInspection)
	case i.foreignBytes > 0:
		i.next = now.Add(memoryInspection)
	default:
		i.next = time.Time{}
	}
}
