package view

import "math"

// Revision is a position in the source's sequence of changes. A source that is restored from an
// older copy assigns the numbers of the changes it lost to other changes, and increments its
// epoch. Revisions order by epoch before number, so that those of different epochs compare
// correctly wherever they are stored or sent. The zero value means none.
type Revision int64

const (
	// epochStep is the distance between the same number in two consecutive epochs. It exceeds
	// the number of changes in 30 years at a thousand changes a second. It is a power of ten,
	// so that epoch and number can be read from a revision in a log line.
	epochStep = 1_000_000_000_000
	// MaxEpoch is the largest epoch that a Revision can hold.
	MaxEpoch = math.MaxInt64/epochStep - 1
)

// NewRevision returns the revision of a change in an epoch from 0 to MaxEpoch.
func NewRevision(epoch, number int64) Revision { return Revision(epoch*epochStep + number) }

// Epoch returns how often the source had been restored from an older copy, by its own count.
func (r Revision) Epoch() int64 { return int64(r) / epochStep }

// Number returns the source's own number of the change, which is meaningful only in its epoch.
func (r Revision) Number() int64 { return int64(r) % epochStep }

// IsRestoredSince reports whether the source was restored from an older copy after a known
// revision; false if known is zero.
func (r Revision) IsRestoredSince(known Revision) bool { return known > 0 && r.Epoch() > known.Epoch() }
