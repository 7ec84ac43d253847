package rules

import (
	"strconv"
	"time"
)

const (
	// minServerErrorStatus is the first status that reports a failure of the target itself, as
	// in HTTP.
	minServerErrorStatus = 500
	// retryTimeDivisor divides the objective: another attempt needs more time than the
	// quotient. With less left the response of the first attempt is forwarded instead.
	retryTimeDivisor = 2
)

// Response is a target's whole response that is not a stream of events. On a streaming
// route that is a response whose status is not a success.
type Response struct {
	// Status is the target's status, Succeeded whether it is a success.
	Status    int
	Succeeded bool
	// ClaimsNotRun is true if the status tells clients that the request has not run. Responses that
	// prove it are no responses here, so that this one ran.
	ClaimsNotRun bool
	// Started is true if the client already has a part of an earlier target's stream.
	Started bool
	// Retryable, PossibleRuns and MaxAttempts are as in Failure.
	Retryable                 bool
	PossibleRuns, MaxAttempts int
	// Budget is the number of retries that the service's retry budget allows now.
	Budget float64
	// Left is the time to the response deadline, Objective the route's objective.
	Left, Objective time.Duration
}

// ResponseDecision is Forward, TryAnotherTarget, Withhold or AbortStream.
type ResponseDecision interface{ isResponseDecision() }

// Forward forwards the response to the client unchanged.
type Forward struct{}

// TryAnotherTarget treats the response as a failed attempt.
type TryAnotherTarget struct{}

// Withhold answers the client with a failure that makes no claim.
type Withhold struct{}

// AbortStream aborts a stream that has started and that no target resumes.
type AbortStream struct{}

func (Forward) isResponseDecision()          {}
func (TryAnotherTarget) isResponseDecision() {}
func (Withhold) isResponseDecision()         {}
func (AbortStream) isResponseDecision()      {}

// AfterResponse decides what happens to a whole response. A failure of the target itself is
// retried at another target if the route, the budget and the remaining time allow it, in
// this order. Otherwise the response is forwarded, unless the client already has events
// of a stream: the response cannot follow them, so the stream is aborted. A response to a
// request that may run only once is withheld if its status claims that the request has not
// run: the client would run it again. A wrong retry
// adds load to a failing service; a wrongly forwarded response returns an error that
// another target would not have had.
func AfterResponse(r Response) ResponseDecision {
	switch {
	case shouldRetry(r):
		return TryAnotherTarget{}
	case r.Started:
		return AbortStream{}
	case r.ClaimsNotRun && !r.Retryable:
		return Withhold{}
	}
	return Forward{}
}

// shouldRetry reports whether another target is tried. That is not the case for a
// success, for a client error, which any target would report, or if the route, the budget
// or the remaining time does not allow another attempt.
func shouldRetry(r Response) bool {
	return !r.Succeeded && r.Status >= minServerErrorStatus &&
		r.Retryable && r.PossibleRuns+1 < r.MaxAttempts &&
		r.Budget >= 1 && r.Left > r.Objective/retryTimeDivisor
}

// EventForwarded reports whether the client already has an event, which is then skipped
// when a stream is resumed (docs/decisions/0009). id is the number of the event, and last
// the number of the last event that was forwarded. An event without a number counts as
// new. A false positive leaves a gap in the stream; a false negative repeats an event.
func EventForwarded(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	m, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n <= m
}

// EndsTooEarly reports whether the end of a stream may be that of a target which ended before it
// produced anything: only the end of the connection ends the stream, and it has no byte. A target may
// have nothing left for a client that has a last event.
func EndsTooEarly(undelimited bool, bytes int64, last string) bool {
	return undelimited && bytes == 0 && last == ""
}
