package request

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Event is what can happen to a request.
type Event interface{ isEvent() }

// Begin starts the request.
type Begin struct{}

// Text is a piece of an engine's output.
type Text struct {
	// Stage is the index of the stage in its pipeline, Attempt the number of its
	// attempt; so in all events and effects.
	Stage   int
	Attempt int
	Text    string
}

// Answered is a whole result of a stage.
type Answered struct {
	Stage   int
	Attempt int
	Target  string
	// Output is the result of a stage that is no engine; an engine's came as
	// Text.
	Output string
	// Finish is the finish reason of an engine.
	Finish string
	// Tokens counts the tokens that the attempt generated.
	Tokens int
	// Took is the time from grant to end.
	Took time.Duration
}

// Broke is the failed end of an attempt.
type Broke struct {
	Stage   int
	Attempt int
	// Target is empty when no target was called.
	Target string
	// Err has the verdict on this attempt alone.
	Err *verdict.Error
	// Tokens counts the tokens that the attempt generated.
	Tokens int
	// Took is the time from grant to end; zero when no target was called.
	Took time.Duration
}

// Expired is the passing of the deadline.
type Expired struct{}

// Abandoned says that the caller closed its connection.
type Abandoned struct{}

func (Begin) isEvent()     {}
func (Text) isEvent()      {}
func (Answered) isEvent()  {}
func (Broke) isEvent()     {}
func (Expired) isEvent()   {}
func (Abandoned) isEvent() {}

// Effect is what a shell must carry out.
type Effect interface{ isEffect() }

// Run starts an attempt of a stage.
type Run struct {
	Stage   int
	Attempt int
	// Exclude names targets that the attempt avoids.
	Exclude []string
	// AfterProof is true when the attempt before provably did not run.
	AfterProof bool
	// Prefix is the text of the stage that the caller already has; the attempt must
	// continue it.
	Prefix string
	// PrefixTokens counts the tokens of the prefix.
	PrefixTokens int
}

// Emit passes text to the caller.
type Emit struct{ Text string }

// Finish gives the caller the end of a whole answer.
type Finish struct{}

// Fail gives the caller its final refusal.
type Fail struct{ Err *verdict.Error }

// CancelAll ends all attempts that still run.
type CancelAll struct{}

func (Run) isEffect()       {}
func (Emit) isEffect()      {}
func (Finish) isEffect()    {}
func (Fail) isEffect()      {}
func (CancelAll) isEffect() {}
