package rules

import "github.com/honeydyke/honeydyke/pkg/verdict"

const (
	// maxRefusals bounds the targets that may refuse one request before it is given up:
	// three that are full are a service that is full.
	maxRefusals = 2
	// maxResends bounds how often a request is sent again to the same target because an
	// idle connection had ended. A target that restarts ends all of them.
	maxResends = 2
)

// Failure is an attempt that ended without a whole answer.
type Failure struct {
	// Verdict and Reason are those of the attempt's error.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Ended says that the request itself has ended: its time is over, its caller has
	// gone or the node stops.
	Ended bool
	// Resends, Refusals and Sends count what came before this attempt: attempts
	// repeated over another connection, attempts that provably did not run, and
	// attempts that may have run.
	Resends, Refusals, Sends int
	// Retryable says that the route allows more than one target to run the request,
	// MaxAttempts how many.
	Retryable   bool
	MaxAttempts int
}

// NextAttempt is Resend, OtherTarget, Recompute or GiveUp.
type NextAttempt interface{ isNextAttempt() }

// Resend sends the request to the same target over another connection. It costs
// no retry.
type Resend struct{}

// OtherTarget sends the request to a target that has not had it.
type OtherTarget struct{}

// Recompute runs the stages again and then sends the request to any target.
type Recompute struct{}

// GiveUp ends the request with the attempt's error.
type GiveUp struct{ Reason GiveUpReason }

// GiveUpReason says why a request is not sent again.
type GiveUpReason string

// Reasons to give up.
const (
	// RequestEnded is a request whose own time or caller has gone.
	RequestEnded GiveUpReason = "request ended"
	// RefusalsSpent is a request that more than maxRefusals targets did not run.
	RefusalsSpent GiveUpReason = "refusals spent"
	// BadRequest is a request that every target would refuse.
	BadRequest GiveUpReason = "bad request"
	// TimeOver is a request that was not sent for want of time.
	TimeOver GiveUpReason = "time over"
	// MayHaveRun is a request that may have run and must not run twice.
	MayHaveRun GiveUpReason = "may have run"
	// Quarantined is a request that ends the targets which run it.
	Quarantined GiveUpReason = "quarantined"
	// AttemptsSpent is a request that may have run as often as its route allows.
	AttemptsSpent GiveUpReason = "attempts spent"
)

func (Resend) isNextAttempt()      {}
func (OtherTarget) isNextAttempt() {}
func (Recompute) isNextAttempt()   {}
func (GiveUp) isNextAttempt()      {}

// AfterFailure decides what follows a failed attempt. A proof that the request
// was never written allows the same target over another connection. Then the
// number of refusals and the request's own end count. A proof that it did not run
// allows another target, unless the request itself is at fault or late; without
// the proof the route decides (docs/decisions/0004). Inputs that are gone at their
// targets are recomputed first. The shell asks the retry budget
// (docs/decisions/0011) before the next attempt. A wrong retry runs a request twice; a wrong end returns an error to a
// client that could have had its answer.
func AfterFailure(f Failure) NextAttempt {
	notRun := f.Verdict == verdict.NotRun
	if notRun && f.Reason == verdict.ReasonConnection && f.Resends < maxResends && !f.Ended {
		return Resend{}
	}
	if notRun && f.Refusals+1 > maxRefusals {
		return GiveUp{Reason: RefusalsSpent}
	}
	if f.Ended {
		return GiveUp{Reason: RequestEnded}
	}
	if reason, over := final(f); over {
		return GiveUp{Reason: reason}
	}
	if f.Reason == verdict.ReasonInputGone {
		return Recompute{}
	}
	return OtherTarget{}
}

// final returns why the failure forbids any other attempt.
func final(f Failure) (reason GiveUpReason, over bool) {
	switch {
	case f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonBadRequest:
		return BadRequest, true
	case f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonDeadline:
		return TimeOver, true
	case f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonQuarantined:
		return Quarantined, true
	case f.Verdict == verdict.NotRun:
		return "", false
	case !f.Retryable:
		return MayHaveRun, true
	case f.Sends+1 >= f.MaxAttempts:
		return AttemptsSpent, true
	}
	return "", false
}

// EndError decides which error ends a request that cannot be sent any more: that
// of its last attempt, which names the cause, and own only where none failed.
func EndError(last, own *verdict.Error) *verdict.Error {
	if last != nil {
		return last
	}
	return own
}

// FinalVerdict decides what the caller learns of whether its request ran. When an
// earlier attempt may have run (sends counts those) and the route does not allow
// the request to run twice, a last attempt that provably did not run says nothing
// of the earlier ones; nor does it where the request is held because of them. A wrong "not
// run" has the caller run the request twice.
func FinalVerdict(err *verdict.Error, sends int, retryable bool) *verdict.Error {
	if sends > 0 && (!retryable || err.Reason() == verdict.ReasonQuarantined) {
		return err.WithVerdict(verdict.MayHaveRun)
	}
	return err
}

// TargetFault says whether a failed attempt counts against its target when
// outlier ejection looks at it. What the caller, the request or a planned stop
// caused does not. A wrong yes takes a healthy target out of use; a wrong no keeps
// sending to one that fails.
func TargetFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonCancelled, verdict.ReasonInputGone, verdict.ReasonLeaving, verdict.ReasonBadRequest:
		return false
	}
	return true
}

// ConnectionBroke says whether an attempt ended with its connection after the request may
// have reached the target: the target may have ended, or only the connection. err is nil
// for a whole answer. A wrong yes costs one connection to ask; a wrong no leaves the end
// of a target unseen.
func ConnectionBroke(err *verdict.Error) bool {
	return err != nil && err.Verdict() == verdict.MayHaveRun &&
		(err.Reason() == verdict.ReasonConnection || err.Reason() == verdict.ReasonCut)
}

// TargetSurvived says whether an attempt proves that its target outlives the request: it
// answered, be it with a failure of its own. err is nil for a whole answer. A wrong yes
// lets a request end further targets; a wrong no leaves an innocent one suspected.
func TargetSurvived(err *verdict.Error) bool {
	return err == nil || err.Verdict() == verdict.Ran
}
