package request

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: whether a stage whose attempt failed gets another one.
//
// Inputs, in the order in which they count: whether a target was called (else
// admission's refusal is final); whether the stage's minimum time still fits the
// deadline; whether the caller has text of the stage (then the bundle's onLoss
// decides whether another engine continues it); whether all attempts provably did
// not run; whether the bundle lets the stage be repeated, and how often. Admission
// decides besides, by its budget of retries, whether the attempt gets a target.
//
// Why so: docs/decisions/0004-at-most-once.md and, for text, 0009-streams.md. A
// wrong retry runs a stage twice that must run once, or sends text twice; a wrong
// refusal fails a request that another target would have served.
const (
	// maxAttempts bounds the attempts of a stage, those included that provably did
	// not run, as after a failed dial or a target's refusal. Set by dfb29a7, from 4:
	// targets that refuse while they leave had used up the attempts in the fault
	// matrix; other figures were not measured.
	maxAttempts = 6
)

// retryInput is what decides on another attempt of a stage.
type retryInput struct {
	now      time.Time
	deadline time.Time
	// spec is the stage in the bundle.
	spec bundle.Stage
	// attempts counts the attempts so far, unproven those that may have run, the
	// failed one included in both.
	attempts int
	unproven int
	// target is the one that was called; empty for none.
	target string
	// verdict is that of the failed attempt.
	verdict verdict.Verdict
	// textSent is true when the caller has text of the stage.
	textSent bool
}

// retryDecision is retry or giveUp.
type retryDecision interface{ isRetryDecision() }

// retry gives the stage another attempt.
type retry struct{}

// giveUp ends the request.
type giveUp struct{ reason giveUpReason }

func (retry) isRetryDecision()  {}
func (giveUp) isRetryDecision() {}

// giveUpReason says why a stage gets no other attempt.
type giveUpReason string

const (
	// noTargetCalled means that admission refused the attempt.
	noTargetCalled giveUpReason = "no target was called"
	// noTimeLeft means that the stage's minimum time passes the deadline.
	noTimeLeft giveUpReason = "no time is left"
	// textIsSent means that the caller has text, and the bundle ends such streams.
	textIsSent giveUpReason = "text was sent"
	// mayNotRepeat means that the stage may have run and may not be repeated.
	mayNotRepeat giveUpReason = "the stage may not be repeated"
	// attemptsUsed means that the stage has had all its attempts.
	attemptsUsed giveUpReason = "the attempts are used"
)

// judgeRetry decides on another attempt.
func judgeRetry(in retryInput) retryDecision {
	if in.target == "" {
		return giveUp{noTargetCalled}
	}
	if minimum := time.Duration(in.spec.MinimumMs) * time.Millisecond; !in.now.Add(minimum).Before(in.deadline) {
		return giveUp{noTimeLeft}
	}
	if in.textSent {
		return judgeContinuation(in)
	}
	if in.attempts >= maxAttempts {
		return giveUp{attemptsUsed}
	}
	if in.verdict == verdict.NotRun && in.unproven == 0 {
		return retry{}
	}
	if !in.spec.Repeatable {
		return giveUp{mayNotRepeat}
	}
	if in.unproven >= in.spec.AttemptLimit() {
		return giveUp{attemptsUsed}
	}
	return retry{}
}

// judgeContinuation decides whether another engine continues the text that the
// caller has. A new run would not give the same text, so it cannot start anew.
func judgeContinuation(in retryInput) retryDecision {
	if in.spec.OnLoss != bundle.StageOnLossContinue {
		return giveUp{textIsSent}
	}
	if in.unproven > in.spec.AttemptLimit() || in.attempts >= maxAttempts {
		return giveUp{attemptsUsed}
	}
	return retry{}
}

// decideRetry gathers the inputs of judgeRetry after a failed attempt was counted.
func (s State) decideRetry(now time.Time, e Broke) retryDecision {
	st := s.stages[e.Stage]
	return judgeRetry(retryInput{
		now: now, deadline: s.deadline, spec: s.pipeline.Stages[e.Stage],
		attempts: st.Attempt, unproven: st.Unproven,
		target: e.Target, verdict: e.Err.Verdict(), textSent: e.Stage == s.pipeline.Last && s.emitted > 0,
	})
}
