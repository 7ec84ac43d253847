package rules

import (
	"slices"
	"time"
)

const (
	// retryAfterShare is the fraction of the client's remaining time after which it should
	// retry. Clients wait at most a third of that time, a limit of the platform, and need
	// the rest for the second attempt. The fraction does not depend on when capacity
	// becomes free: with a smaller one more clients return too early and are refused twice.
	retryAfterShare = 0.28
	// maxRetryAfter is the upper bound, so that clients with much time left return while
	// most of it remains.
	maxRetryAfter = 4 * time.Second
	// minRetryAfter is the lower bound, so that clients without time left do not return in
	// the same millisecond.
	minRetryAfter = 50 * time.Millisecond
	// jitterDivisor divides a delay into equal parts. One part is random jitter, so that
	// clients refused together do not return together.
	jitterDivisor = 4
)

// RetryAfter decides when a refused client should retry (docs/decisions/0013). left is
// the time until its response is due, and jitter a random number in [0, 1). The delay is
// a fraction of left, limited by the upper bound, with its last quarter random, and raised
// to the lower bound. Too short a delay makes clients retry into the same overload; too
// long a delay exceeds their timeout.
func RetryAfter(left time.Duration, jitter float64) time.Duration {
	after := min(time.Duration(retryAfterShare*float64(max(left, 0))), maxRetryAfter)
	least := after * (jitterDivisor - 1) / jitterDivisor
	spread := time.Duration(jitter * float64(after/jitterDivisor+1))
	return max(least+spread, minRetryAfter)
}

// RetryAfterPauses decides when a client should retry that found no target. own is the
// delay by RetryAfter, and pauses are the remaining pauses requested by the service's
// targets, 0 for a target that requested none. If all targets pause, a retry before the
// shortest pause ends is refused again. jitter, in [0, 1), spreads the clients that wait
// for the same pause.
func RetryAfterPauses(own time.Duration, pauses []time.Duration, jitter float64) time.Duration {
	if len(pauses) == 0 {
		return own
	}
	shortest := slices.Min(pauses)
	return max(own, shortest+time.Duration(jitter*float64(shortest/jitterDivisor)))
}
