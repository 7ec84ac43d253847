package rules

import "github.com/honeydyke/honeydyke/pkg/verdict"

const (
	// maxRefusals limits the refusals of one request after which another target is still
	// tried: three full targets indicate that the service is full.
	maxRefusals = 2
	// maxResends limits how often a request is sent to the same target again because an
	// idle connection was closed. A target that restarts closes all of them.
	maxResends = 2
)

// Failure is an attempt that ended without a whole response.
type Failure struct {
	// Verdict and Reason are those of the attempt's error.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Ended is true if the request itself has ended: its deadline has passed, its client
	// has disconnected or the node is stopping.
	Ended bool
	// Resends, Refusals and PossibleRuns count the earlier attempts: those repeated over
	// another connection, those that provably did not run, and those that may have run.
	Resends, Refusals, PossibleRuns int
	// Retryable is true if the route allows more than one target to run the request;
	// MaxAttempts limits how many.
	Retryable   bool
	MaxAttempts int
}

// NextAttempt is Resend, OtherTarget, Recompute or GiveUp.
type NextAttempt interface{ isNextAttempt() }

// Resend sends the request to the same target over another connection. It does not count
// against the retry budget.
type Resend struct{}

// OtherTarget sends the request to a target that has not been tried.
type OtherTarget struct{}

// Recompute runs the stages again and then sends the request to any target.
type Recompute struct{}

// GiveUp ends the request with the attempt's error.
type GiveUp struct{ Reason GiveUpReason }

// GiveUpReason is why a request is not sent again, as logged.
type GiveUpReason string

// Reasons to give up.
const (
	// RequestEnded means that the request's deadline has passed, its client has
	// disconnected or the node is stopping.
	RequestEnded GiveUpReason = "request ended"
	// RefusalsSpent means that more than maxRefusals attempts did not run.
	RefusalsSpent GiveUpReason = "refusals spent"
	// BadRequest means that every target would refuse the request.
	BadRequest GiveUpReason = "bad request"
	// TimeOver means that no time was left to send the request.
	TimeOver GiveUpReason = "time over"
	// MayHaveRun means that the request may have run and must not run twice.
	MayHaveRun GiveUpReason = "may have run"
	// Quarantined means that the request crashes the targets that run it.
	Quarantined GiveUpReason = "quarantined"
	// AttemptsSpent means that the request may have run as often as its route allows.
	AttemptsSpent GiveUpReason = "attempts spent"
)

func (Resend) isNextAttempt()      {}
func (OtherTarget) isNextAttempt() {}
func (Recompute) isNextAttempt()   {}
func (GiveUp) isNextAttempt()      {}

// AfterFailure decides what follows a failed attempt. A request that provably was never
// written is sent to the same target over another connection. Otherwise it is given up
// after too many refusals or once it has ended itself. A request that provably did not run
// goes to another target, unless it is invalid, late or quarantined; without that proof
// the route decides (docs/decisions/0004). Inputs that are missing at their targets are
// recomputed first. Package relay checks the retry budget (docs/decisions/0011) before
// the next attempt. A wrong retry runs a request twice; a wrong end returns an error to a
// client that could have had a response.
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
	if reason, over := giveUpReason(f); over {
		return GiveUp{Reason: reason}
	}
	if f.Reason == verdict.ReasonInputGone {
		return Recompute{}
	}
	return OtherTarget{}
}

// giveUpReason returns why no other attempt may follow the failure, if that is so.
func giveUpReason(f Failure) (reason GiveUpReason, over bool) {
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
	case f.PossibleRuns+1 >= f.MaxAttempts:
		return AttemptsSpent, true
	}
	return "", false
}

// EndError decides which error ends a request that cannot be sent again: that of its last
// attempt, which names the cause, or own if no attempt failed.
func EndError(last, own *verdict.Error) *verdict.Error {
	if last != nil {
		return last
	}
	return own
}

// FinalVerdict decides what the client learns about whether its request ran. possibleRuns
// counts the attempts that may have run. If there are any and the route does not allow
// the request to run twice, a last attempt that provably did not run proves nothing about
// them; nor does it if the request is quarantined because of them. A wrong "not run" makes
// the client run the request twice.
func FinalVerdict(err *verdict.Error, possibleRuns int, retryable bool) *verdict.Error {
	if possibleRuns > 0 && (!retryable || err.Reason() == verdict.ReasonQuarantined) {
		return err.WithVerdict(verdict.MayHaveRun)
	}
	return err
}

// TargetFault reports whether outlier ejection counts a failed attempt against its
// target. Failures caused by the client, the request or a planned stop do not count. A
// false positive ejects a healthy target; a false negative keeps sending to a failing one.
func TargetFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonCancelled, verdict.ReasonInputGone, verdict.ReasonLeaving, verdict.ReasonBadRequest:
		return false
	}
	return true
}

// ConnectionBroke reports whether an attempt's connection broke after the request may
// have reached the target: the target may have crashed, or only the connection failed.
// err is nil for a whole response. A false positive costs one connection to check the
// target; a false negative misses a crash.
func ConnectionBroke(err *verdict.Error) bool {
	return err != nil && err.Verdict() == verdict.MayHaveRun &&
		(err.Reason() == verdict.ReasonConnection || err.Reason() == verdict.ReasonCut)
}

// TargetSurvived reports whether an attempt proves that its target survives the request: it
// responded, even if with a failure of its own. err is nil for a whole response. A false
// positive lets a request crash more targets; a false negative leaves a harmless request
// under suspicion.
func TargetSurvived(err *verdict.Error) bool {
	return err == nil || err.Verdict() == verdict.Ran
}
