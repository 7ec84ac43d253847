package relay

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Observer gets what was decided about requests. Its methods are called by many
// goroutines at once and must not block.
type Observer interface {
	// Decided gets each decision on the way of a request.
	Decided(request string, d Decision)
	// Ended gets the outcome of each request, once.
	Ended(o *Outcome)
}

// Decision is Refused, StageDone, StageFailed, AttemptFailed or TargetEnded.
type Decision interface{ isDecision() }

// Refused is a request that is not admitted because its stages would take too long
// (rules.Admit).
type Refused struct {
	// Stages are what was planned, Backlogs how long each one's service takes for what
	// was planned before.
	Stages   []PlannedStage
	Backlogs []time.Duration
	// Estimated is how long the stages would take, and Left the time to the objective.
	Estimated, Left time.Duration
	// Comparison is what admission compared.
	Comparison rules.Comparison
	// Retried says that the client was refused before.
	Retried bool
}

// StageDone is a stage that has its results.
type StageDone struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	// Targets hold the results.
	Targets []string
}

// StageFailed is a stage that has no results. Where its inputs were lost they are
// computed again and the stage with them; otherwise the request ends.
type StageFailed struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	Err     *verdict.Error
}

// AttemptFailed is a call to a target that ended without a whole answer.
type AttemptFailed struct {
	Attempt Attempt
	// Events is how many events had been passed back.
	Events int
	// LastEvent is the event after which another target would continue.
	LastEvent string
	// Left is the time to the answer deadline.
	Left time.Duration
	// WillRetry says whether another target may be asked.
	WillRetry bool
	// Next is what follows, with the reason where the request is given up.
	Next rules.NextAttempt
}

// TargetEnded is a target whose process ended while it had the request.
type TargetEnded struct {
	Target string
	// Digest is what the request asks for.
	Digest quarantine.Digest
	// Events is how many events of the answer had come from this target.
	Events int
	// Took is the time from the request's sending until its connection broke.
	Took time.Duration
}

func (Refused) isDecision()       {}
func (StageDone) isDecision()     {}
func (StageFailed) isDecision()   {}
func (AttemptFailed) isDecision() {}
func (TargetEnded) isDecision()   {}

// Outcome is what became of one request.
type Outcome struct {
	Request *Request
	// Route, Service and Organisation are what the request was resolved to; empty as
	// far as it was not.
	Route        *catalog.Route
	Service      string
	Organisation string
	// Digest is what the request asks for; 0 when it was not resolved.
	Digest quarantine.Digest
	// Version and Revision are those of the view that governed the request.
	Version  int64
	Revision int64
	// Attempts are the calls to targets, in order.
	Attempts []Attempt
	// Planned is how long the stages were expected to take when the request was
	// admitted.
	Planned time.Duration
	// StagesTook is the time from the request's arrival until all stages were done for
	// the first time; what is computed again after a failed attempt is not in it.
	StagesTook time.Duration
	// FirstByte is the time to the first byte passed back; 0 for none.
	FirstByte time.Duration
	// Took is the time from arrival to the end.
	Took time.Duration
	// Status is the target's, where its answer was passed back; 0 for none.
	Status int
	// Events is how many events of a stream were passed back.
	Events int
	// Recomputed counts how often results had to be computed again.
	Recomputed int
	// Err is nil for a whole answer.
	Err *verdict.Error
}

// Attempt is one call to a target.
type Attempt struct {
	Target string
	Took   time.Duration
	// Status is the target's; 0 for no answer.
	Status int
	// Err is nil for an answer that was passed back whole.
	Err *verdict.Error
}
