package admission

import "time"

// Rule: how long one attempt may take.
//
// An attempt that may be repeated counts as stalled after a multiple of its expected
// time (estimate.go) and is then tried at another target; an attempt that may not be
// repeated ignores the figure and runs to its deadline. Without learned times the
// expected time is the bundle's minimum. Why so: a stalled stage used up the whole
// deadline (8,001 ms of 8,000 ms in the fault matrix;
// docs/decisions/0008-holding-and-refusing.md). Too short a timeout runs slow work
// twice; too long a one leaves no time for the second attempt.
const (
	// timeoutFactor is how many times its expected time an attempt may take. The fault
	// matrix has no broken cell with it.
	timeoutFactor = 8
	// minimumTimeout keeps short stages from being given up for a pause of the process or
	// the network.
	minimumTimeout = 250 * time.Millisecond
)

// attemptTimeout returns the longest time of an attempt with the expected time.
func attemptTimeout(expected time.Duration) time.Duration {
	return max(timeoutFactor*expected, minimumTimeout)
}
