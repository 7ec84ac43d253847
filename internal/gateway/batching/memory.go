package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// usableMemoryFraction is the fraction of a target's result memory that is planned with: the
// size of a result is only an estimate. With all of it worth fell by 0.012, as targets
// refused items for want of memory.
const usableMemoryFraction = 0.95

// storedResult is a result in the memory of the target that computed it.
type storedResult struct {
	// bytes is the estimate that the item came with.
	bytes int64
	// sentAt is when the batch that computed it was sent.
	sentAt time.Time
	// expiresAt is when the target drops it by itself.
	expiresAt time.Time
}

// resultMemory is the account of one target's memory for results. Create it with
// newResultMemory.
//
// It decides how many bytes a new batch may use: a share of what the catalog says,
// less the results that are stored, less the reservation of the batch that runs.
// A result uses memory from the sending of its batch until it is released or its
// time to live, counted from the batch's answer, is over. Sizes are estimates in
// bytes; targets do not report what is in use, so what other coordinators store at
// a target is not seen. See docs/decisions/0012-batches.md.
//
// Counting too little makes targets refuse items for lack of memory, which costs
// retries; counting too much leaves targets idle.
type resultMemory struct {
	// stored is by handle.
	stored map[string]storedResult
	// storedBytes is the sum of stored.
	storedBytes int64
	// reservedBytes is what the results of the running batch will use.
	reservedBytes int64
}

func newResultMemory() resultMemory {
	return resultMemory{stored: map[string]storedResult{}}
}

// available returns how many bytes a new batch may use; it may be negative.
func (m *resultMemory) available(spec *catalog.Batch) int64 {
	return int64(usableMemoryFraction*float64(spec.MemoryBytes)) - m.storedBytes - m.reservedBytes
}

// used returns how many bytes are stored or reserved.
func (m *resultMemory) used() int64 { return m.storedBytes + m.reservedBytes }

// empty says whether no result is stored.
func (m *resultMemory) empty() bool { return len(m.stored) == 0 }

// reserve sets aside what the results of a batch will use.
func (m *resultMemory) reserve(items []Item) {
	for _, item := range items {
		m.reservedBytes += item.Bytes
	}
}

// endReservation ends the reservation of the batch that ended.
func (m *resultMemory) endReservation() { m.reservedBytes = 0 }

func (m *resultMemory) store(handle string, r storedResult) {
	m.stored[handle] = r
	m.storedBytes += r.bytes
}

// dropAll drops all results.
func (m *resultMemory) dropAll() {
	clear(m.stored)
	m.storedBytes = 0
}

// release drops a result; it is not an error when none is stored, since it may
// have expired.
func (m *resultMemory) release(handle string) {
	r, ok := m.stored[handle]
	if !ok {
		return
	}
	delete(m.stored, handle)
	m.storedBytes -= r.bytes
}

// expire drops the results that the target has dropped by itself.
func (m *resultMemory) expire(now time.Time) {
	for handle, r := range m.stored {
		if !now.Before(r.expiresAt) {
			m.release(handle)
		}
	}
}
