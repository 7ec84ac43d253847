package rules

import "time"

// LateAnswer is the input of AdmitLate: an admitted request, and the backlogs that a
// coordinator answered after the request had been admitted without them.
type LateAnswer struct {
	// Admission is what Admit would have compared with these backlogs when the request was
	// admitted. Its Left is the time to the objective then.
	Admission Admission
	// AdmittedAt is when the request was admitted. The backlogs count from then, since the
	// first items were sent then.
	AdmittedAt time.Time
	Now        time.Time
	Times      Times
	// Made is whether the results of a stage are there.
	Made bool
	// Remaining is how long the stages without results take, from AdmittedAt.
	Remaining time.Duration
}

// AdmitLate decides whether an admitted request goes on. It is refused if Admit would have
// refused it with the late backlogs, and either nothing of it has been made and its client
// can still return in time (WithdrawableUntil), or it could not be done before its response
// deadline.
//
// The time that has passed since the admission counts neither as wait nor against the
// objective: the backlog is worked off meanwhile. When a backlog of 475 ms that was
// answered 430 ms late was compared with the 526 ms that were left, 82 of 129 refusals in
// tests on a busy machine were of requests that were about to be served, 10 of them with
// results.
//
// A wrong refusal discards the request's stages and costs the client a retry. Going on
// wrongly makes the request late, and delays those behind it.
func AdmitLate(a LateAnswer) AdmissionDecision {
	d := Admit(a.Admission)
	if _, refused := d.(Refused); !refused {
		return d
	}
	withdrawable := !a.Made && !a.Now.After(a.Times.WithdrawableUntil())
	inVain := a.AdmittedAt.Add(a.Remaining + engineLead).After(a.Times.ResponseDeadline)
	if withdrawable || inVain {
		return d
	}
	return Admitted{}
}
