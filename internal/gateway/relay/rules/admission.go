package rules

import "time"

const (
	// planShare is the part of the time to the objective that the stages may be planned to
	// take; the rest covers what the estimate does not know. 0.72 refused requests on an
	// idle system; 0.95 with a larger priorityMargin made no difference.
	planShare = 0.85
	// priorityMargin is kept free for each step of a route's priority, so that the less
	// urgent is refused first. Without it worth was lower by 0.004, within its standard
	// error, on 6 nodes. On 59 nodes it was lower by 0.022 with 50 ms: the least urgent earned
	// 0.02 to 0.10 more of their credit and the most urgent, of the same chain of stages, 0.01
	// to 0.10 less (three days, one seed); 275 ms made no difference.
	priorityMargin = 150 * time.Millisecond
	// minWait is the wait for other requests that is always allowed, so that an idle
	// system refuses nobody, however short the objective: half of a batch, which a request
	// may have to wait for at any time.
	minWait = 150 * time.Millisecond
	// retriedShare is the part of the longest timeout seen from a route's clients below
	// which a request counts as a retry of a refused one: clients send the time that they
	// have left. The rest is for the way of a first attempt; with 0.99 first attempts over
	// slow links count as retries.
	retriedShare = 0.97
)

// Admission is what decides whether a request's stages can be done in time.
type Admission struct {
	// Estimated is how long all stages take behind the work that other requests have
	// planned, and Alone how long they take without it (Stages.Total). The backlogs
	// were asked for just before; a service whose backlog is not known has 0.
	Estimated, Alone time.Duration
	// Left is the time to the objective now, and Objective what it was on arrival.
	Left, Objective time.Duration
	// Priority is that of the route, 0 for the most urgent.
	Priority int
	// Retried says that the request was refused before (Retried).
	Retried bool
}

// Comparison is what admission compared: the wait for others' work with the
// bound that is left for it.
type Comparison struct {
	// Wait is what the stages wait for others' work, Bound the most that is allowed.
	Wait, Bound time.Duration
	// Window is the time to the objective that Bound was made of: PlanShare of it,
	// less Alone, Lead and PriorityMargin, and at least MinWait.
	Window                               time.Duration
	PlanShare                            float64
	Alone, Lead, PriorityMargin, MinWait time.Duration
}

// AdmissionDecision is Admitted or Refused.
type AdmissionDecision interface{ isAdmissionDecision() }

// Admitted lets the stages begin.
type Admitted struct{}

// Refused ends the request at once, as not run.
type Refused struct{ Comparison Comparison }

func (Admitted) isAdmissionDecision() {}
func (Refused) isAdmissionDecision()  {}

// Admit decides whether a request's stages may begin (docs/decisions/0013).
//
// What counts first is the wait for others' work. It is compared with the bound:
// planShare of the time to the objective, less the request's own work, the
// engine's part and a margin by priority. The request's own work never speaks
// against it, so minWait is always allowed. A retried request is measured by its
// whole objective, which it can no longer meet, so that it comes before first attempts
// that would just fit. What is not admitted is refused at once.
//
// The load that it answers: a route of chained stages at 2.4 times its usual rate for
// seconds, whose refused clients retry once. When a returning request waited for its turn,
// for up to half of its time, the median of 1,877 refusals took 1.0 s and one in ten over
// 2.5 s: clients learnt late what was known at once. To refuse those at once raised worth
// by 0.009 on 59 nodes and by 0.013 on 7 (docs/design/heaviest-days.md).
//
// Without known backlogs every request is admitted. A wrong admission makes this
// request late and delays those behind it; a wrong refusal costs the client one
// retry, and its answer comes late.
func Admit(a Admission) AdmissionDecision {
	c := compare(a)
	if c.Wait <= c.Bound {
		return Admitted{}
	}
	return Refused{Comparison: c}
}

func compare(a Admission) Comparison {
	c := Comparison{
		Wait: a.Estimated - a.Alone, Window: a.Left, PlanShare: planShare, Alone: a.Alone, Lead: engineLead,
		PriorityMargin: time.Duration(a.Priority) * priorityMargin, MinWait: minWait,
	}
	if a.Retried {
		c.Window = a.Objective
	}
	planned := time.Duration(c.PlanShare * float64(c.Window))
	c.Bound = max(planned-c.Alone-c.Lead-c.PriorityMargin, c.MinWait)
	return c
}

// Retried says whether a request is the retry of one that was refused: its client
// has clearly less time left (timeout) than the longest that any client of the
// route had (longest, since this node started). A timeout of 0 is unknown and
// counts as a first attempt. A wrong yes admits a first attempt that will be late; a
// wrong no refuses a retry that would have come before others.
func Retried(timeout, longest time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	return float64(timeout) < retriedShare*float64(longest)
}
