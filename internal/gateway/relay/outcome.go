package relay

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Observer receives the decisions about requests and their outcomes. Its methods are
// called concurrently and must not block.
type Observer interface {
	// Decided is called for each decision about a request.
	Decided(request string, d Decision)
	// Ended is called once for each request.
	Ended(o *Outcome)
}

// Decision is Refused, StageDone, StageFailed, AttemptFailed, RetryRefused or TargetEnded.
type Decision interface{ isDecision() }

// Refused is a request that is not admitted because its stages would take too long
// (rules.Admit).
type Refused struct {
	// Stages are the planned stages, Backlogs how long the service of each takes for work
	// that goes before them.
	Stages   []PlannedStage
	Backlogs []time.Duration
	// Arrivals is which part of each backlog is due to work that is expected to arrive; empty
	// if the stages were not planned.
	Arrivals []time.Duration
	// Estimated is how long the stages would take, Left the time to the objective: now, or
	// at the admission of a request that was admitted before.
	Estimated, Left time.Duration
	// AfterAdmission is how long before the request was admitted, without the backlogs of a
	// coordinator that answered late; 0 if it was not.
	AfterAdmission time.Duration
	// Comparison is what admission compared.
	Comparison rules.Comparison
	// Retried is true if the client was refused before.
	Retried bool
	// Reserved is true if capacity had been reserved for the request. ReturnAfter is when its
	// client is to return with capacity reserved for it; 0 if none is.
	Reserved    bool
	ReturnAfter time.Duration
	// OverShare is true if the request's organisation asks for more than its share of a full
	// service.
	OverShare bool
}

// StageDone is a stage that completed.
type StageDone struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	// Targets hold the results.
	Targets []string
}

// StageFailed is a stage that failed. If its inputs were lost, they are recomputed and the
// stage runs again, unless that happened too often (rules.MayRecompute); otherwise the
// request ends.
type StageFailed struct {
	Stage   int
	Service string
	Items   int
	Took    time.Duration
	Err     *verdict.Error
}

// AttemptFailed is a call to a target that ended without a whole response.
type AttemptFailed struct {
	Attempt Attempt
	// Events is how many events had been forwarded.
	Events int
	// LastEvent is the event after which another target would resume the stream.
	LastEvent string
	// Left is the time to the response deadline.
	Left time.Duration
	// WillRetry reports whether another target may be tried.
	WillRetry bool
	// Next is the next step, with the reason if the request is given up.
	Next rules.NextAttempt
}

// RetryRefused is a request that is not sent again because the retry budget does not allow it.
type RetryRefused struct {
	// Attempts is how many were made.
	Attempts int
	// Allowance is what the budget is made of.
	Allowance retrybudget.Allowance
}

// TargetEnded is a target whose process ended while it had the request.
type TargetEnded struct {
	Target string
	// Digest identifies the work that the request asks for.
	Digest quarantine.Digest
	// Events is how many events of the response had come from this target.
	Events int
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []PromptPart
	// Took is the time from sending the request until its connection broke.
	Took time.Duration
}

func (Refused) isDecision()       {}
func (StageDone) isDecision()     {}
func (StageFailed) isDecision()   {}
func (AttemptFailed) isDecision() {}
func (RetryRefused) isDecision()  {}
func (TargetEnded) isDecision()   {}

// Outcome is the result of one request.
type Outcome struct {
	Request *Request
	// Route, Service and Organisation are what the request was resolved to; each is empty
	// if it was not found.
	Route        *catalog.Route
	Service      string
	Organisation string
	// Digest identifies the work that the request asks for; 0 if it was not resolved.
	Digest quarantine.Digest
	// Software is the software version of the target that began the stream which the request
	// takes up; empty if it takes none up, or if that is unknown.
	Software string
	// Inferred is whether Software follows from the targets that there were, as no node knew it.
	Inferred bool
	// Version and Revision are those of the view that applied to the request.
	Version  int64
	Revision int64
	// Attempts are the calls to targets, in order.
	Attempts []Attempt
	// Planned is how long the stages were expected to take when the request was
	// admitted.
	Planned time.Duration
	// Withdrawn is set if the request ended because its group was withdrawn.
	Withdrawn *Withdrawal
	// StagesTook is the time from the request's arrival until all stages were done for the
	// first time. Recomputes after a failed attempt are not included.
	StagesTook time.Duration
	// FirstByte is the time from arrival to the first byte forwarded; 0 for none.
	FirstByte time.Duration
	// Took is the time from arrival to the end.
	Took time.Duration
	// Status is the target's if its response was forwarded; 0 otherwise.
	Status int
	// Events is how many events of a stream were forwarded.
	Events int
	// Recomputed counts how often results had to be recomputed.
	Recomputed int
	// OverShare is true if the request was refused while its organisation asked for more than
	// its share of a full service.
	OverShare bool
	// Err is nil for a whole response.
	Err *verdict.Error
}

// Attempt is one call to a target.
type Attempt struct {
	Target string
	Took   time.Duration
	// Status is the target's; 0 for no response.
	Status int
	// Err is nil for a response that was forwarded whole.
	Err *verdict.Error
}
