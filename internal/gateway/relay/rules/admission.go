package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// planShare is the fraction of the time to the objective that the stages may be planned
	// to take; the rest covers what the estimate leaves out. A smaller fraction refuses
	// requests on a nearly idle system; a larger one leaves less for that rest, and gains
	// nothing with a larger priorityMargin.
	planShare = 0.85
	// priorityMargin is reserved for each step of a route's priority, so that less urgent
	// requests are refused first. With a smaller margin they take the room of the most
	// urgent ones that use the same stages; a somewhat larger one has no further effect.
	priorityMargin = 150 * time.Millisecond
	// minWait is the wait for other requests that is always allowed, so that an idle
	// system refuses no request, however short its objective: half a batch, which a request
	// may have to wait for at any time.
	minWait = 150 * time.Millisecond
	// retryTimeoutRatio is the fraction of the longest timeout seen from a route's clients
	// below which a request counts as a retry of a refused one: clients send their remaining
	// time. The rest allows for the network delay of a first attempt; with 0.99 first
	// attempts over slow links count as retries.
	retryTimeoutRatio = 0.97
)

// Admission is the input of Admit.
type Admission struct {
	// Estimated is how long all stages take behind the work that other requests have
	// planned, and Alone how long they take without it (Stages.Total). The backlogs in
	// Estimated are current; in place of an unknown one stands the least that it can be,
	// which is 0 if nothing is known of its coordinator.
	Estimated, Alone time.Duration
	// Left is the time to the objective now, and Objective what it was on arrival.
	Left, Objective time.Duration
	// Priority is the route's, 0 for the most urgent.
	Priority int
	// Retried is true if the request was refused before (Retried).
	Retried bool
	// Reserved is true if a coordinator reserved capacity for the request.
	Reserved bool
	// TakenUp is true if the client already has a part of the stream, ToDeadline the time to the
	// response deadline.
	TakenUp    bool
	ToDeadline time.Duration
	// OverShare is true if a stage's service is full and the request's organisation asks for
	// more than its share of it.
	OverShare bool
}

// Comparison is what admission compared: the wait for other requests' work and its
// bound.
type Comparison struct {
	// Wait is how long the stages wait for other requests' work, Bound the most that is
	// allowed.
	Wait, Bound time.Duration
	// Window is the time to the objective that Bound is derived from: PlanShare of it,
	// minus Alone, Lead and PriorityMargin, and at least MinWait. Bound is MinWait for a
	// request over its organisation's share.
	Window                               time.Duration
	PlanShare                            float64
	Alone, Lead, PriorityMargin, MinWait time.Duration
}

// AdmissionDecision is Admitted or Refused.
type AdmissionDecision interface{ isAdmissionDecision() }

// Admitted lets the stages start.
type Admitted struct{}

// Refused ends the request immediately, as not run.
type Refused struct{ Comparison Comparison }

func (Admitted) isAdmissionDecision() {}
func (Refused) isAdmissionDecision()  {}

// Admit decides whether a request's stages may start (docs/decisions/0013).
//
// It compares the wait for other requests' work with a bound: planShare of the time to
// the objective, minus the request's own work, the engine's lead and a margin by
// priority. A request is never refused for its own work alone, so minWait is always
// allowed. A retried request is measured against its whole objective, which it can no
// longer meet, so that it takes precedence over first attempts that would only just fit.
// A request with reserved capacity is measured against all of its objective, without
// planShare and the margin by priority, since first attempts wait for its reservation.
// A request that is not admitted is refused immediately.
//
// A stream that its client takes up has met its objective, or missed it, at an earlier node. It is
// measured against its deadline, whatever its priority: refused, all that was made of it is lost.
// It is refused for its own work alone if that takes longer.
//
// A request over its organisation's share may wait for minWait only, so that it takes
// capacity that nobody else waits for.
//
// The case behind this is a route of chained stages at 2.4 times its usual rate for some
// seconds, whose refused clients retry once. If retried requests may wait for a turn, for
// up to half of their time, clients learn late what is known immediately: half of such
// refusals take 1.0 s or more, and one in ten takes over 2.5 s
// (docs/design/heaviest-days.md).
//
// A coordinator that fails without an answer has a backlog of 0, and every request is
// admitted. A wrong admission makes this request
// late and delays those behind it; a wrong refusal costs the client one retry and makes
// its response late.
func Admit(a Admission) AdmissionDecision {
	c := compare(a)
	if c.Wait <= c.Bound && (!a.TakenUp || c.Alone+c.Lead <= c.Window) {
		return Admitted{}
	}
	return Refused{Comparison: c}
}

func compare(a Admission) Comparison {
	c := Comparison{
		Wait: a.Estimated - a.Alone, Window: a.Left, PlanShare: planShare, Alone: a.Alone, Lead: engineLead,
		PriorityMargin: time.Duration(a.Priority) * priorityMargin, MinWait: minWait,
	}
	if a.Retried || a.Reserved {
		c.Window = a.Objective
	}
	if a.Reserved {
		c.PlanShare, c.PriorityMargin = 1, 0
	}
	if a.TakenUp {
		c.Window, c.PlanShare, c.PriorityMargin, c.MinWait = a.ToDeadline, 1, 0, 0
	}
	planned := saturate.Duration(c.PlanShare * float64(c.Window))
	c.Bound = max(planned-c.Alone-c.Lead-c.PriorityMargin, c.MinWait)
	if a.OverShare && !a.Reserved && !a.TakenUp {
		c.Bound = c.MinWait
	}
	return c
}

// excessWait returns by how much a request waits longer than it may wait if capacity is
// reserved for it; 0 if it does not. A retry that comes earlier than that is refused again,
// since the work that it waits for is not done by then.
func excessWait(a Admission) time.Duration {
	a.Reserved = true
	c := compare(a)
	return max(c.Wait-c.Bound, 0)
}

// returnDuration returns how long a retry with reserved capacity takes at most until its
// response starts.
func returnDuration(a Admission) time.Duration {
	return min(a.Estimated+engineLead, a.Objective)
}

// Retried reports whether a request is the retry of a refused one: its client has
// clearly less time left (timeout) than the longest timeout of any client of the route
// since this node started (longest). A timeout of 0 is unknown and counts as a first
// attempt. A false positive admits a first attempt that will be late; a false negative
// refuses a retry that would have taken precedence.
func Retried(timeout, longest time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	return float64(timeout) < retryTimeoutRatio*float64(longest)
}
