package rules

import (
	"strconv"
	"time"
)

const (
	// firstServerError is the first status by which a target reports a failure of its
	// own, as in HTTP.
	firstServerError = 500
	// retryTimeParts says how much time another attempt needs: more than one part of the
	// objective cut into so many. With less time left the answer of the first attempt is
	// passed on instead.
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
type PassOn struct{}

// TryAnother counts the answer as a failed attempt.
type TryAnother struct{}

// BreakOff ends a stream that has begun and that no target continues.
type BreakOff struct{}

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
	switch {
	case worthAnother(a):
		return TryAnother{}
	case a.Begun:
		return BreakOff{}
	}
	return PassOn{}
}

// worthAnother says whether another target is asked: not for a success, nor for a
// failure of the caller's, which any target would report, nor where the route, the
// budget or the time allows no other attempt.
func worthAnother(a Answer) bool {
	return !a.Succeeded && a.Status >= firstServerError &&
		a.Retryable && a.Sends+1 < a.MaxAttempts &&
		a.Budget >= 1 && a.Left > a.Objective/retryTimeParts
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
