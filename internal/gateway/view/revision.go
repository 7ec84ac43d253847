package view

import "math"

// Revision is a position in the changes of the source. A source that comes back from an
// older copy gives the numbers of what it lost to other changes, and its epoch rises. A
// Revision orders by the epoch before the number, so that positions of different epochs
// compare wherever they are kept or passed on. The zero value stands for none.
type Revision int64

const (
	// epochStep is the distance between the same numbers of two epochs: more than a source
	// that changes a thousand times a second counts in 30 years. It is a power of ten, so
	// that both read off a log line.
	epochStep = 1_000_000_000_000
	// MaxEpoch bounds the epochs that a Revision holds.
	MaxEpoch = math.MaxInt64/epochStep - 1
)

// NewRevision returns the position of a change in an epoch, from 0 to MaxEpoch.
func NewRevision(epoch, number int64) Revision { return Revision(epoch*epochStep + number) }

// Epoch returns how often the source had come back from an older copy, by its own count.
func (r Revision) Epoch() int64 { return int64(r) / epochStep }

// Number returns the source's own number of the change, which only counts within its epoch.
func (r Revision) Number() int64 { return int64(r) % epochStep }

// IsRestoredSince says whether the source came back from an older copy after a known
// position; false when none is known.
func (r Revision) IsRestoredSince(known Revision) bool { return known > 0 && r.Epoch() > known.Epoch() }
