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
	// maxAttempts bounds the attempts of a stage, those included that provably did not
	// run, as after a failed dial or a target's refusal. With 4, targets that refuse while
	// they leave used up the attempts in the fault matrix.
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

// mayRetry says whether the stage gets another attempt.
func mayRetry(in retryInput) bool {
	if in.target == "" {
		return false // admission refused the attempt
	}
	if minimum := time.Duration(in.spec.MinimumMs) * time.Millisecond; !in.now.Add(minimum).Before(in.deadline) {
		return false
	}
	if in.textSent {
		return mayContinue(in)
	}
	if in.attempts >= maxAttempts {
		return false
	}
	if in.verdict == verdict.NotRun && in.unproven == 0 {
		return true
	}
	return in.spec.Repeatable && in.unproven < in.spec.AttemptLimit()
}

// mayContinue says whether another engine continues the text that the caller has. A
// new run would not give the same text, so it cannot start anew.
func mayContinue(in retryInput) bool {
	return in.spec.OnLoss == bundle.StageOnLossContinue &&
		in.unproven <= in.spec.AttemptLimit() && in.attempts < maxAttempts
}

// mayRetry gathers the inputs of the rule after a failed attempt was counted.
func (s State) mayRetry(now time.Time, e Broke) bool {
	st := s.stages[e.Stage]
	return mayRetry(retryInput{
		now: now, deadline: s.deadline, spec: s.pipeline.Stages[e.Stage],
		attempts: st.Attempt, unproven: st.Unproven,
		target: e.Target, verdict: e.Err.Verdict(), textSent: e.Stage == s.pipeline.Last && s.emitted > 0,
	})
}
