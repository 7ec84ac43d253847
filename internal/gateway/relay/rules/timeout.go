package rules

import "time"

const (
	// plainTimeoutShare is how long an attempt without a stream may take, as a multiple of
	// the route's objective. The second attempt is late in any case; with less, slow
	// answers that were under way are thrown away.
	plainTimeoutShare = 2.5
	// minStreamTimeout is the least silence that ends the attempt of a stream: above the
	// prefill of a long prompt behind others.
	minStreamTimeout = 1200 * time.Millisecond
	// streamTimeoutPauses is how many pauses that would each be in time end it on routes
	// where that is longer.
	streamTimeoutPauses = 3
)

// Attempt is what decides how long one attempt at a target may be silent.
type Attempt struct {
	// Stream says that the answer comes as events.
	Stream bool
	// Retryable says that the route allows more than one target to run the request.
	Retryable bool
	// Sends counts the attempts before this one that may have run, MaxAttempts is the
	// most that the route allows.
	Sends, MaxAttempts int
	// Objective is the route's time to the answer, PauseLimit its longest pause
	// between events.
	Objective, PauseLimit time.Duration
}

// AttemptTimeout decides how long one attempt may be silent, without an answer or,
// within a stream, without an event, before it is ended in favour of another target.
// An attempt that no other may follow is not limited, and lasts until the request's
// answer deadline. Too short a time runs a request twice; too long a one spends the
// request's time at a target that is stuck.
func AttemptTimeout(a Attempt) (limit time.Duration, limited bool) {
	switch {
	case !a.Retryable || a.Sends+1 >= a.MaxAttempts:
		return 0, false
	case a.Stream:
		return max(minStreamTimeout, streamTimeoutPauses*a.PauseLimit), true
	}
	return time.Duration(plainTimeoutShare * float64(a.Objective)), true
}
