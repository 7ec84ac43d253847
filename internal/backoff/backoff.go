// Package backoff computes how long something that keeps failing is left
// unused: the time doubles with each failure in a row, up to a maximum. It owns
// no state and reads no clock; the caller counts the failures.
package backoff

import "time"

// maxDoublings keeps the shift in range; every maximum in use is reached long
// before (30 s from 500 ms takes 6 doublings).
const maxDoublings = 16

// Doubling is a backoff that doubles from First up to Max. Max must be less than
// 39 hours, so that doubling First cannot overflow.
type Doubling struct {
	First time.Duration
	Max   time.Duration
}

// After returns the backoff after a number of earlier failures in a row; none
// gives First.
func (d Doubling) After(failures int) time.Duration {
	return min(d.First<<min(failures, maxDoublings), d.Max)
}
