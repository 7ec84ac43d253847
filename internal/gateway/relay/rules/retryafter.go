package rules

import (
	"slices"
	"time"
)

const (
	// retryAfterShare is the part of the client's time left after which it should retry.
	// Clients wait at most a third of theirs, by the platform's bound, and need the rest
	// for the second attempt. It knows nothing of when there will be room: with half as
	// much worth fell by 0.009 on 59 nodes (three pairs, within two standard errors), and half
	// as much again was lost to requests refused twice.
	retryAfterShare = 0.28
	// maxRetryAfter bounds the time for clients with much time left, so that they return
	// while most of it is left.
	maxRetryAfter = 4 * time.Second
	// minRetryAfter is the time for clients with none left, so that they do not return in
	// the same millisecond.
	minRetryAfter = 50 * time.Millisecond
	// retryAfterParts is how many parts the time is cut into; the last one is random, so
	// that clients refused together do not return together.
	retryAfterParts = 4
)

// RetryAfter decides when a refused client should retry, from the time left
// until its answer is due now and a random number jitter, from 0 up to but not
// including 1 (docs/decisions/0013). The share of the time left counts first, then
// the upper bound, the random part, and the lower bound. A client without time
// left gets the lower bound. Too short a time has clients retry into the same
// overload; too long a time lets their timeout pass.
func RetryAfter(left time.Duration, jitter float64) time.Duration {
	after := min(time.Duration(retryAfterShare*float64(max(left, 0))), maxRetryAfter)
	least := after * (retryAfterParts - 1) / retryAfterParts
	spread := time.Duration(jitter * float64(after/retryAfterParts+1))
	return max(least+spread, minRetryAfter)
}

// AfterPauses decides when a client should retry for whom no target was left, from when it
// should by its own time and how much longer each target of the service wants a pause, 0 for
// one that wants none. When all do, nothing can be had before the first of them takes
// requests again; to come back sooner is to be refused again. jitter, from 0 up to but not
// including 1, keeps clients from coming back in that moment together.
func AfterPauses(own time.Duration, pauses []time.Duration, jitter float64) time.Duration {
	if len(pauses) == 0 {
		return own
	}
	shortest := slices.Min(pauses)
	return max(own, shortest+time.Duration(jitter*float64(shortest/retryAfterParts)))
}
