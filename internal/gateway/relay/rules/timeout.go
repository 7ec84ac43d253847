package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// responseTimeoutFactor limits an attempt without a stream, as a multiple of the route's
	// objective. A second attempt misses the objective in any case; a shorter limit
	// discards slow responses that are in progress.
	responseTimeoutFactor = 2.5
	// minStreamIdleTimeout is the shortest idle timeout of a stream: more than the prefill of
	// a long prompt that is queued behind others.
	minStreamIdleTimeout = 1200 * time.Millisecond
	// streamIdleTimeoutFactor is the idle timeout of a stream, as a multiple of the route's
	// longest pause between events. It applies where it exceeds minStreamIdleTimeout.
	streamIdleTimeoutFactor = 3
)

// Attempt is the input of AttemptTimeout.
type Attempt struct {
	// Stream is true if the response is a stream of events.
	Stream bool
	// Retryable is true if the route allows more than one target to run the request.
	Retryable bool
	// PossibleRuns counts the earlier attempts that may have run; MaxAttempts is the most that
	// the route allows.
	PossibleRuns, MaxAttempts int
	// Objective is the route's response time objective, PauseLimit its longest pause
	// between events.
	Objective, PauseLimit time.Duration
}

// AttemptTimeout decides how long an attempt may stay silent, without a response or,
// within a stream, without an event, before it is abandoned for another target. An
// attempt that no other may follow is not limited and lasts until the request's response
// deadline. Too short a timeout runs a request twice; too long a timeout spends the
// request's time on a target that is stuck.
func AttemptTimeout(a Attempt) (limit time.Duration, limited bool) {
	switch {
	case !a.Retryable || a.PossibleRuns+1 >= a.MaxAttempts:
		return 0, false
	case a.Stream:
		return max(minStreamIdleTimeout, streamIdleTimeoutFactor*a.PauseLimit), true
	case a.Objective <= 0:
		return 0, false
	}
	return saturate.Duration(responseTimeoutFactor * float64(a.Objective)), true
}

// Replacement is the input of MayAbandon: the attempt that would follow a silent one.
type Replacement struct {
	// OtherTarget is true if another target can get the request.
	OtherTarget bool
	// NeedsStages is true if the request's inputs are not held, Recomputes counts how often they
	// were recomputed before, and StagesTime is how long that should take.
	NeedsStages bool
	Recomputes  int
	StagesTime  time.Duration
	// Left is the time to the response deadline.
	Left time.Duration
	// Silent is for how long the target has been silent, Limit the attempt's timeout.
	Silent, Limit time.Duration
}

// MayAbandon decides whether an attempt that was silent for AttemptTimeout is abandoned: only if
// another can follow it, apart from the retry budget, which package relay takes the retry from first.
// Silence alone does not end a response, as a target that stands still for a moment goes on later. If
// the stages have to run again, no other target can go on before they are done, so that the silent one
// has their time more. A false positive ends a response that would have been completed; a false
// negative leaves a request at a target that is stuck until its deadline.
func MayAbandon(r Replacement) bool {
	if !r.OtherTarget {
		return false
	}
	if !r.NeedsStages {
		return true
	}
	return MayRecompute(r.Recomputes+1) && r.Left >= r.StagesTime+engineLead && r.Silent >= r.Limit+r.StagesTime
}
