package rules

import "time"

const (
	// responseTimeoutFactor limits an attempt without a stream, as a multiple of the route's
	// objective. A second attempt misses the objective in any case; a shorter limit
	// discards slow responses that are in progress.
	responseTimeoutFactor = 2.5
	// minStreamIdleTimeout is the shortest idle timeout of a stream: more than the prefill of
	// a long prompt that is queued behind others.
	minStreamIdleTimeout = 1200 * time.Millisecond
	// streamIdleTimeoutFactor is the idle timeout of a stream, as a multiple of the route's
	// longest pause between events. It applies where it exceeds minStreamIdleTimeout.
	streamIdleTimeoutFactor = 3
)

// Attempt is the input of AttemptTimeout.
type Attempt struct {
	// Stream is true if the response is a stream of events.
	Stream bool
	// Retryable is true if the route allows more than one target to run the request.
	Retryable bool
	// PossibleRuns counts the earlier attempts that may have run; MaxAttempts is the most that
	// the route allows.
	PossibleRuns, MaxAttempts int
	// Objective is the route's response time objective, PauseLimit its longest pause
	// between events.
	Objective, PauseLimit time.Duration
}

// AttemptTimeout decides how long an attempt may stay silent, without a response or,
// within a stream, without an event, before it is abandoned for another target. An
// attempt that no other may follow is not limited and lasts until the request's response
// deadline. Too short a timeout runs a request twice; too long a timeout spends the
// request's time on a target that is stuck.
func AttemptTimeout(a Attempt) (limit time.Duration, limited bool) {
	switch {
	case !a.Retryable || a.PossibleRuns+1 >= a.MaxAttempts:
		return 0, false
	case a.Stream:
		return max(minStreamIdleTimeout, streamIdleTimeoutFactor*a.PauseLimit), true
	}
	return time.Duration(responseTimeoutFactor * float64(a.Objective)), true
}
