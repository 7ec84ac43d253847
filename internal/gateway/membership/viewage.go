package membership

import (
	"slices"
	"time"
)

// maxViewAges is how long ViewAges remembers an age: as long as a stream may last.
const maxViewAges = 2 * time.Minute

// ViewAges records how long views had not been confirmed by the source. The zero value is empty.
type ViewAges struct {
	// list holds the ages that no later one exceeds, by descending age.
	list []seenAge
}

// seenAge is the age of a view, known at a time.
type seenAge struct {
	at  time.Time
	age time.Duration
}

// Put records the age of a view. Times must not decrease.
func (v *ViewAges) Put(now time.Time, age time.Duration) {
	v.list = slices.DeleteFunc(v.list, func(s seenAge) bool { return s.age <= age || now.Sub(s.at) > maxViewAges })
	v.list = append(v.list, seenAge{now, age})
}

// Worst returns the greatest age that was recorded since a time; 0 if none was.
func (v *ViewAges) Worst(since time.Time) time.Duration {
	for _, s := range v.list {
		if !s.at.Before(since) {
			return s.age
		}
	}
	return 0
}

// WorstViewAge returns the greatest age of a view that a member reported since a time. Members of an
// earlier version report none.
func (r *Roster) WorstViewAge(since time.Time) time.Duration { return r.ages.Worst(since) }
