package rules

import "time"

const (
	// answerMargin is kept free before the end of the client's time, so that the answer
	// reaches it: ten times the way to clients.
	answerMargin = 25 * time.Millisecond
	// answerMarginParts bounds the margin of a short time: no more than one part of so
	// many.
	answerMarginParts = 10
	// defaultTimeout is assumed of clients that send none: longer than any route allows.
	defaultTimeout = 30 * time.Second
	// engineLead is the least time planned from the last stage to an engine's first event,
	// and all that admission plans for it, so that a long prompt is due sooner rather than
	// refused sooner (docs/decisions/0013). On a calm stretch at 295 nodes half of the
	// prompts of each route took 51 to 144 ms.
	engineLead = 150 * time.Millisecond
)

// TimesInput is what the times of a request are made of.
type TimesInput struct {
	Arrived time.Time
	// ClientTimeout is how long the client waits from its arrival on; 0 for unknown.
	ClientTimeout time.Duration
	// RouteTimeout is the longest that the route holds a request; 0 for no bound.
	RouteTimeout time.Duration
	// Objective is the time from arrival within which the answer should begin.
	Objective time.Duration
	// Prefill is how long the engine takes to the prompt's first event
	// (PrefillRate.Time).
	Prefill time.Duration
}

// Times are the deadlines of one request. They do not change after its arrival.
type Times struct {
	Arrived time.Time
	// Answer is when the whole request must have ended.
	Answer time.Time
	// Objective is when its answer should have begun.
	Objective time.Time
	// Lead is the time planned from the last stage to the answer's beginning.
	Lead time.Duration
}

// NewTimes decides by when a request must and should be answered. The client's
// timeout counts first, then the route's where it is shorter, then the margin that
// brings the answer back in time. The lead is the prompt's prefill time, and
// engineLead at least. Too late an answer deadline loses answers on the way to the
// client; too early a one gives up requests that could be whole.
func NewTimes(in TimesInput) Times {
	timeout := in.ClientTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if in.RouteTimeout > 0 {
		timeout = min(timeout, in.RouteTimeout)
	}
	return Times{
		Arrived:   in.Arrived,
		Answer:    in.Arrived.Add(timeout - min(answerMargin, timeout/answerMarginParts)),
		Objective: in.Arrived.Add(in.Objective),
		Lead:      max(engineLead, in.Prefill),
	}
}

// StageTimes are the times of one stage's items.
type StageTimes struct {
	// Due is when the items should be done for the answer to be in time.
	Due time.Time
	// Deadline is when the items are of no use any more.
	Deadline time.Time
}

// Stage decides when the items of a stage are due and when they are given up,
// with following the estimated time of the stages after it (Stages.Following).
// Due leaves the prompt's whole lead before the objective; the deadline leaves the
// least one before the answer's. An item that is due too early takes the turn of a
// more urgent one; one that is due too late makes its request late.
func (t Times) Stage(following time.Duration) StageTimes {
	return StageTimes{
		Due:      t.Objective.Add(-t.Lead - following),
		Deadline: t.Answer.Add(-engineLead - following),
	}
}
