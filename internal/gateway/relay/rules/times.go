package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// responseMargin is reserved before the end of the client's timeout, so that the response
	// still reaches the client: ten times the network delay to clients.
	responseMargin = 25 * time.Millisecond
	// responseMarginDivisor limits the margin to a fraction of a short timeout.
	responseMarginDivisor = 10
	// defaultTimeout is assumed for clients that send no timeout: longer than any route
	// allows.
	defaultTimeout = 30 * time.Second
	// engineLead is the least time planned from the last stage to an engine's first event.
	// Admission plans with it alone, so that the stages of a long prompt are due earlier
	// and the prompt is not refused earlier (docs/decisions/0013). Under light load on 295
	// nodes the median prompt takes 51 to 144 ms, depending on the route.
	engineLead = 150 * time.Millisecond
)

// TimesInput is the input of NewTimes.
type TimesInput struct {
	Arrived time.Time
	// ClientTimeout is how long the client waits, from the request's arrival; 0 if unknown.
	ClientTimeout time.Duration
	// RouteTimeout is the longest time that the route allows a request; 0 for no limit.
	RouteTimeout time.Duration
	// Objective is the time from arrival within which the response should start.
	Objective time.Duration
	// TakenUp is whether the client already has a part of the stream.
	TakenUp bool
	// Prefill is the engine's time to the prompt's first event (PrefillRate.Time).
	Prefill time.Duration
}

// Times are the deadlines of one request. They do not change after its arrival.
type Times struct {
	Arrived time.Time
	// ResponseDeadline is when the response must be complete.
	ResponseDeadline time.Time
	// Objective is when the response should have started.
	Objective time.Time
	// Lead is the time planned from the last stage to the start of the response.
	Lead time.Duration
}

// NewTimes decides by when a request must and should be answered. The rest of a stream that its
// client takes up is due by the deadline, if that comes first: later it is of no use, and all that was
// made of the stream is lost. The response deadline
// is the shorter of the client's and the route's timeout, minus a margin for the way back
// to the client. The lead is the prompt's prefill time, and engineLead at least. Too late
// a deadline loses responses on the way to the client; too early a deadline abandons
// requests that could have been completed.
func NewTimes(in TimesInput) Times {
	timeout := in.ClientTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if in.RouteTimeout > 0 {
		timeout = min(timeout, in.RouteTimeout)
	}
	untilDeadline := timeout - min(responseMargin, timeout/responseMarginDivisor)
	objective := in.Objective
	if in.TakenUp {
		objective = min(objective, untilDeadline)
	}
	return Times{
		Arrived:          in.Arrived,
		ResponseDeadline: in.Arrived.Add(untilDeadline),
		Objective:        in.Arrived.Add(objective),
		Lead:             max(engineLead, in.Prefill),
	}
}

// Left returns the time to the objective that admission counts with. ownDelay is for how long
// this node was late itself; it does not count against the objective, as long as the
// response deadline allows that. The coordinators work off their backlogs meanwhile, and a
// refusal makes the client wait longer than such a delay. On a busy machine 357 of 11,295
// waits for a coordinator, of 0.1 s at most, took 50 ms or more longer, and their requests
// were refused by that.
func (t Times) Left(now time.Time, ownDelay time.Duration) time.Duration {
	left := t.Objective.Sub(now)
	if ownDelay <= 0 {
		return left
	}
	return max(left, min(left+ownDelay, t.ResponseDeadline.Sub(now)))
}

// WithdrawableUntil returns until when an admitted request of which nothing has run may still
// be refused: its client can then return after RetryAfter and be answered within the
// objective before its response deadline. The result is before Arrived if there is never
// enough time. A later refusal costs the client more than a late answer.
func (t Times) WithdrawableUntil() time.Time {
	objective := t.Objective.Sub(t.Arrived)
	return t.ResponseDeadline.Add(-saturate.Duration(float64(objective) / (1 - retryAfterShare)))
}

// StageTimes are the times of one stage's items.
type StageTimes struct {
	// Due is when the items should be done for the response to meet its objective.
	Due time.Time
	// Deadline is when the items are no longer of use.
	Deadline time.Time
}

// Stage decides when the items of a stage are due and when they are abandoned; following
// is the estimated time of the later stages (Stages.Following). The due time leaves the
// prompt's whole lead before the objective, the deadline the least lead before the
// response deadline. Items that are due too early take the turn of more urgent ones;
// items that are due too late make their request late.
func (t Times) Stage(following time.Duration) StageTimes {
	return StageTimes{
		Due:      t.Objective.Add(-t.Lead - following),
		Deadline: t.ResponseDeadline.Add(-engineLead - following),
	}
}
