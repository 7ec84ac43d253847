package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Event is what can happen to the core.
type Event interface{ isEvent() }

// Open asks to let a request in; Admit or Refuse answers it.
type Open struct {
	ID           uint64
	Organisation string
	// Bundle is the number of the bundle that governs the request.
	Bundle   int
	Pipeline *bundle.PipelinePlan
	Deadline time.Time
	// Size is the length of the input in bytes.
	Size int
	// Tokens is the most tokens that the request may generate.
	Tokens int
}

// Close ends an admitted request.
type Close struct{ ID uint64 }

// Submit asks for a target for one attempt of a stage; Grant or Refuse answers
// it, now or later.
type Submit struct {
	ID           uint64
	Organisation string
	Pipeline     *bundle.PipelinePlan
	Stage        int
	Deadline     time.Time
	// Size is the work of the stage: input bytes, or the most tokens of an
	// engine.
	Size int
	// Prefix is the routing hash of the text that an engine starts with; 0 for
	// none.
	Prefix uint64
	// Exclude names targets to avoid while there are others.
	Exclude []string
	// Retry says what the attempt draws from the pool's budget of retries.
	Retry Retry
}

// Retry is the kind of an attempt.
type Retry int

const (
	// First is the first attempt of a stage.
	First Retry = iota
	// AfterProof follows an attempt that provably did not run.
	AfterProof
	// AfterLoss follows an attempt that may have run.
	AfterLoss
)

// Withdraw takes back a Submit that was not answered, or gives back a grant
// that was not used.
type Withdraw struct{ ID uint64 }

// Ended reports the end of a granted attempt; Err is nil when it succeeded.
type Ended struct {
	ID   uint64
	Err  *verdict.Error
	Took time.Duration
}

// Report is a target's load report, or news that it is leaving.
type Report struct {
	Target      string
	Incarnation string
	Running     int
	Waiting     int
	Leaving     bool
	// Age is how old the report was when it came.
	Age time.Duration
}

// Mark is news, from whomever, that one incarnation of a target is leaving.
type Mark struct {
	Target      string
	Incarnation string
}

// Nodes tells how many nodes share the targets, this one included.
type Nodes struct{ Count int }

// Install puts a bundle in force.
type Install struct{ Plan *bundle.Plan }

// Tick lets time pass.
type Tick struct{}

func (Open) isEvent()     {}
func (Close) isEvent()    {}
func (Submit) isEvent()   {}
func (Withdraw) isEvent() {}
func (Ended) isEvent()    {}
func (Report) isEvent()   {}
func (Mark) isEvent()     {}
func (Nodes) isEvent()    {}
func (Install) isEvent()  {}
func (Tick) isEvent()     {}

// Effect is what a shell must carry out.
type Effect interface{ isEffect() }

// Admit lets a request in.
type Admit struct{ ID uint64 }

// Grant gives an attempt its target.
type Grant struct {
	ID     uint64
	Target bundle.Target
	Pool   *bundle.Pool
	// Patience is how long an attempt may take before another target is the
	// better bet.
	Patience time.Duration
}

// Refuse answers an Open or Submit for good; nothing ran.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
}

func (Admit) isEffect()  {}
func (Grant) isEffect()  {}
func (Refuse) isEffect() {}
