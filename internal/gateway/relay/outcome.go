package relay

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Observer is told of what is decided about requests.
type Observer interface {
	// Decided is told of each decision on the way.
	Decided(request string, d Decision)
	// Ended is told of the end.
	Ended(o *Outcome)
}

// Decision is something decided about a request on its way.
type Decision interface{ isDecision() }

// Refused is a request that is not let in because its stages would take too long.
type Refused struct {
	// Stages and Backlogs are what was planned and how long each stage's service
	// takes for what was planned before.
	Stages   []PlannedStage
	Backlogs []time.Duration
	// Estimated is how long the stages would take, and Left the time to the objective.
	Estimated, Left time.Duration
	// Comparison is what decided.
	Comparison rules.Comparison
	// Retried says that the client was refused before.
	Retried bool
}

// StageDone is a stage whose results are there.
type StageDone struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	// Targets are the makers.
	Targets []string
}

// StageFailed is a stage that gave no results.
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
	// Events is how many events had been passed on.
	Events int
	// LastEvent is the event after which another target would go on.
	LastEvent string
	// Left is the time until the request must have its answer.
	Left time.Duration
	// WillRetry says whether another target may be asked.
	WillRetry bool
}

func (Refused) isDecision()       {}
func (StageDone) isDecision()     {}
func (StageFailed) isDecision()   {}
func (AttemptFailed) isDecision() {}

// Outcome is the story of one request.
type Outcome struct {
	Request      *Request
	Route        *catalog.Route
	Service      string
	Organisation string
	// Version and Revision are those of the view that governed the request.
	Version  int64
	Revision int64
	Attempts []Attempt
	// Planned is how long the stages were expected to take when the request was
	// let in.
	Planned time.Duration
	// StagesTook is the time until all stages were done.
	StagesTook time.Duration
	// FirstByte is the time to the first byte passed back; 0 for none.
	FirstByte time.Duration
	Took      time.Duration
	Status    int
	Events    int
	// Recomputed counts how often results had to be made again.
	Recomputed int
	Err        *verdict.Error
}

// Attempt is one call to a target.
type Attempt struct {
	Target string
	Took   time.Duration
	Status int
	Err    *verdict.Error
}
