package rules

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/saturate"
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
	// returnJitterPeriod is how long ReturnJitter stays the same for a request: as long as the
	// longest delay, so that a client that waited for its time has a new number.
	returnJitterPeriod = maxRetryAfter
	// maxReservedSteps is the number of priority levels that shorten the longest delay of a
	// client with reserved capacity, each by a jitterDivisor-th. The end of the time that can be
	// reserved is thus left to more urgent requests, and half of it to the least urgent ones.
	maxReservedSteps = 2
	// ReservationKeep is how long after the time that it was told a client can claim the
	// capacity reserved for it: longer than the way to the client and back on a busy machine.
	ReservationKeep = 500 * time.Millisecond
)

// RetryAfter decides when a refused client should retry (docs/decisions/0013). left is
// the time until its response is due, and jitter a random number in [0, 1). The delay is
// a fraction of left, limited by the upper bound, with its last quarter random, and raised
// to the lower bound. Too short a delay makes clients retry into the same overload; too
// long a delay exceeds their timeout.
func RetryAfter(left time.Duration, jitter float64) time.Duration {
	after := longestRetryAfter(left)
	least := after * (jitterDivisor - 1) / jitterDivisor
	return max(least+spread(after, jitter), minRetryAfter)
}

// longestRetryAfter returns the longest time after which a client with the given time left
// should retry.
func longestRetryAfter(left time.Duration) time.Duration {
	return min(saturate.Duration(retryAfterShare*float64(max(left, 0))), maxRetryAfter)
}

// spread returns the random part of a delay.
func spread(after time.Duration, jitter float64) time.Duration {
	return saturate.Duration(jitter * float64(after/jitterDivisor+1))
}

// Return is the input of ReservedRetryAfter.
type Return struct {
	// Offers are the times after which the coordinators of the request's stages can reserve
	// capacity for its retry: negative for one that cannot, 0 for one that reserves nothing.
	Offers []time.Duration
	// Held is whether an offer is the time of a reservation that the request has already.
	Held bool
	// Refused is the request as it was refused.
	Refused Admission
	// Left is the time until the response is due.
	Left time.Duration
}

// ReservedRetryAfter decides when a refused client should retry with reserved capacity: after
// the latest of the offers and the excess wait, at least after the lower bound of RetryAfter,
// and with a random delay, jitter in [0, 1), which spreads clients that were refused together.
// The time of an earlier reservation is told as it is, since a later retry would miss its
// window. ok is false if nothing can be reserved: a coordinator has no capacity, none reserves
// any, the delay is longer than RetryAfter allows, less a part for each step of priority, or the
// retry could not be answered in the time that the client has left by then. A delay that is too
// short makes the client miss the capacity that is kept for it; one that is too long exceeds its
// timeout.
func ReservedRetryAfter(r Return, jitter float64) (after time.Duration, ok bool) {
	if len(r.Offers) == 0 || slices.Min(r.Offers) < 0 || slices.Max(r.Offers) == 0 {
		return 0, false
	}
	after = max(slices.Max(r.Offers), minRetryAfter)
	if !r.Held {
		after = max(after, excessWait(r.Refused))
		after += spread(after, jitter)
	}
	longest := longestRetryAfter(r.Left) * (jitterDivisor - time.Duration(min(r.Refused.Priority, maxReservedSteps))) / jitterDivisor
	return after, after <= min(longest, r.Left-returnDuration(r.Refused))
}

// ReturnJitter returns the jitter of ReservedRetryAfter for a request: a number in [0, 1) that
// differs between requests and stays the same for returnJitterPeriod, on all nodes whose time
// of day agreed when they started. With a new number for each attempt, a client that repeats at
// once would draw until its delay is short enough to be reserved, and leave less capacity to
// those that wait.
func ReturnJitter(digest uint64, now time.Time) float64 {
	text := binary.BigEndian.AppendUint64(nil, digest)
	text = binary.BigEndian.AppendUint64(text, uint64(now.UnixNano()/int64(returnJitterPeriod)))
	return float64(xxhash.Sum64(text)>>11) / (1 << 53)
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
	return max(own, shortest+saturate.Duration(jitter*float64(shortest/jitterDivisor)))
}
