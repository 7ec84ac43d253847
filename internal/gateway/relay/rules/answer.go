package rules

import (
	"strconv"
	"time"
)

const (
	// firstServerError is the first status by which a target reports a failure of its
	// own, as in HTTP.
	firstServerError = 500
	// oneRetry is what the retry budget must hold for one retry.
	oneRetry = 1
	// retryTimeParts says how much time another attempt needs: more than one part of
	// the objective cut into so many. Not measured (72a0bc2).
	retryTimeParts = 2
)

// Answer is a target's whole answer that is not a stream of events. The answer of
// a stream's target comes here when its status is no success.
type Answer struct {
	// Status is the target's own, Succeeded whether it is a success.
	Status    int
	Succeeded bool
	// Begun says that the caller already has a part of an earlier target's stream.
	Begun bool
	// Retryable, Sends and MaxAttempts are as in Failure.
	Retryable          bool
	Sends, MaxAttempts int
	// Budget is what the service's retry budget holds now, in retries.
	Budget float64
	// Left is the time to the answer deadline now, Objective the route's.
	Left, Objective time.Duration
}

// AnswerDecision is PassOn, TryAnother or BreakOff.
type AnswerDecision interface{ isAnswerDecision() }

// PassOn gives the answer to the caller as it is.
type PassOn struct{ Reason PassOnReason }

// TryAnother counts the answer as a failed attempt.
type TryAnother struct{}

// BreakOff ends a stream that has begun and that no target continues.
type BreakOff struct{ Reason PassOnReason }

// PassOnReason says why no other target is asked.
type PassOnReason string

// Reasons to ask no other target.
const (
	// Success is an answer that needs no other.
	Success PassOnReason = "success"
	// CallerFault is a failure that another target would report as well.
	CallerFault PassOnReason = "caller's fault"
	// RunOnce is a request that only one target may run.
	RunOnce PassOnReason = "not retryable"
	// NoAttemptLeft is a request whose route allows no other attempt.
	NoAttemptLeft PassOnReason = "attempts spent"
	// NoBudget is a service whose retry budget is spent.
	NoBudget PassOnReason = "retry budget spent"
	// NoTime is a request with too little time for another attempt.
	NoTime PassOnReason = "too little time"
)

func (PassOn) isAnswerDecision()     {}
func (TryAnother) isAnswerDecision() {}
func (BreakOff) isAnswerDecision()   {}

// AfterAnswer decides what becomes of an answer that came whole. A failure of the
// target's own is tried at another one where the route, the budget and the time
// allow it, in this order. Otherwise the caller gets the answer as it is, unless it
// already has events of a stream: then the stream is broken off, since the answer
// cannot follow them. A wrong retry loads a failing service further; a wrong pass
// returns an error that another target would not have had.
func AfterAnswer(a Answer) AnswerDecision {
	reason := whyPassOn(a)
	switch {
	case reason == "":
		return TryAnother{}
	case a.Begun:
		return BreakOff{Reason: reason}
	}
	return PassOn{Reason: reason}
}

// whyPassOn returns why no other target is asked, or nothing if one is.
func whyPassOn(a Answer) PassOnReason {
	switch {
	case a.Succeeded:
		return Success
	case a.Status < firstServerError:
		return CallerFault
	case !a.Retryable:
		return RunOnce
	case a.Sends+1 >= a.MaxAttempts:
		return NoAttemptLeft
	case a.Budget < oneRetry:
		return NoBudget
	case a.Left <= a.Objective/retryTimeParts:
		return NoTime
	}
	return ""
}

// EventPassed says whether a stream's event reached the caller before, so that it
// is left out when a stream is continued (docs/decisions/0009). id is the event's
// number, last that of the last event passed on. An event without a number counts
// as new. A wrong yes leaves a gap, a wrong no repeats an event.
func EventPassed(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n <= m
}
