package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

// usableMemoryFraction is the fraction of a target's result memory that batches may use;
// the rest allows for results that are larger than estimated. With a larger fraction
// targets refuse items for lack of memory; with a smaller one memory stays unused.
const usableMemoryFraction = 0.95

// storedResult is a result in the memory of the target that computed it.
type storedResult struct {
	// bytes is the estimated size that the item was submitted with.
	bytes int64
	// sentAt is when the batch that computed the result was sent.
	sentAt time.Time
	// expiresAt is when the target drops the result by itself.
	expiresAt time.Time
}

// resultMemory tracks the use of one target's result memory. Create it with
// newResultMemory.
//
// It determines how many bytes a new batch may use: a fraction of the size in the
// catalog, less the stored results and the reservation of the running batch. A result
// uses memory from the sending of its batch until it is released or its time to live
// ends, counted from the batch's answer. Sizes are estimates in bytes. Answers to batches
// do not tell what is in use, so the results of other coordinators are not counted here
// (see inspection). See docs/decisions/0012-batches.md.
//
// Counting too little makes targets refuse items for lack of memory, which costs retries;
// counting too much leaves targets idle.
type resultMemory struct {
	// stored holds the results by handle.
	stored map[string]storedResult
	// storedBytes is the total size of stored.
	storedBytes int64
	// reservedBytes is what the results of the running batch will use.
	reservedBytes int64
}

func newResultMemory() resultMemory {
	return resultMemory{stored: map[string]storedResult{}}
}

// available returns how many bytes a new batch may use; it may be negative.
func (m *resultMemory) available(spec *catalog.Batch) int64 {
	return saturate.Int64(usableMemoryFraction*float64(spec.MemoryBytes)) - m.storedBytes - m.reservedBytes
}

// used returns how many bytes are stored or reserved.
func (m *resultMemory) used() int64 { return m.storedBytes + m.reservedBytes }

// empty reports whether no result is stored.
func (m *resultMemory) empty() bool { return len(m.stored) == 0 }

// reserve reserves memory for the results of a batch.
func (m *resultMemory) reserve(items []Item) {
	for _, item := range items {
		m.reservedBytes += item.Bytes
	}
}

// endReservation releases the reservation when the batch ends.
func (m *resultMemory) endReservation() { m.reservedBytes = 0 }

func (m *resultMemory) store(handle string, r storedResult) {
	m.stored[handle] = r
	m.storedBytes += r.bytes
}

// dropAll forgets all results, when the target has lost them.
func (m *resultMemory) dropAll() {
	clear(m.stored)
	m.storedBytes = 0
}

// release drops a result. A missing one is not an error, since it may have expired.
func (m *resultMemory) release(handle string) {
	r, ok := m.stored[handle]
	if !ok {
		return
	}
	delete(m.stored, handle)
	m.storedBytes -= r.bytes
}

// expire drops the results that have expired at the target.
func (m *resultMemory) expire(now time.Time) {
	for handle, r := range m.stored {
		if !now.Before(r.expiresAt) {
			m.release(handle)
		}
	}
}
