package rules

import "time"

const (
	// plainTimeoutShare is how long an attempt without a stream may take, as a
	// multiple of the route's objective. Not measured (72a0bc2).
	plainTimeoutShare = 2.5
	// minStreamTimeout is the least silence that ends the attempt of a stream. Not
	// measured (72a0bc2).
	minStreamTimeout = 1200 * time.Millisecond
	// streamTimeoutPauses is how many pauses that would each be in time end it on
	// routes where that is longer. Not measured (72a0bc2).
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

// TimeoutDecision is NoTimeout or Timeout.
type TimeoutDecision interface{ isTimeoutDecision() }

// NoTimeout lets the attempt last until the request's answer deadline.
type NoTimeout struct{ Reason NoTimeoutReason }

// Timeout ends the attempt after Limit without an answer or, within a stream,
// without an event.
type Timeout struct{ Limit time.Duration }

// NoTimeoutReason says why an attempt has no time limit of its own.
type NoTimeoutReason string

// Reasons for no time limit.
const (
	// NotRetryable is a request that no other target may run.
	NotRetryable NoTimeoutReason = "not retryable"
	// LastAttempt is the last attempt that the route allows.
	LastAttempt NoTimeoutReason = "last attempt"
)

func (NoTimeout) isTimeoutDecision() {}
func (Timeout) isTimeoutDecision()   {}

// AttemptTimeout decides how long one attempt may be silent before it is ended in
// favour of another target. An attempt that no other may follow has no limit. Too
// short a time runs a request twice; too long a one spends the request's time at a
// target that is stuck.
func AttemptTimeout(a Attempt) TimeoutDecision {
	switch {
	case !a.Retryable:
		return NoTimeout{Reason: NotRetryable}
	case a.Sends+1 >= a.MaxAttempts:
		return NoTimeout{Reason: LastAttempt}
	case a.Stream:
		return Timeout{Limit: max(minStreamTimeout, streamTimeoutPauses*a.PauseLimit)}
	}
	return Timeout{Limit: time.Duration(plainTimeoutShare * float64(a.Objective))}
}
