package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Event is what can happen to the core.
type Event interface{ isEvent() }

// Open asks to admit a request; Admit or Refuse answers it at once.
type Open struct {
	// ID is unique among all events of the core.
	ID           uint64
	Organisation string
	// Bundle is the number of the bundle that governs the request.
	Bundle   int
	Pipeline *bundle.PipelinePlan
	// Deadline is when the whole answer must be there.
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
	// Stage is its index in the pipeline.
	Stage int
	// Deadline is that of the request.
	Deadline time.Time
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

// Withdraw drops a Submit that was not answered, or releases a grant that was not
// used. Neither gets an answer.
type Withdraw struct{ ID uint64 }

// Ended reports the end of a granted attempt.
type Ended struct {
	ID uint64
	// Err is nil when the attempt succeeded.
	Err *verdict.Error
	// Took is the time from grant to end.
	Took time.Duration
}

// Report is a target's own load report.
type Report struct {
	Target string
	// Incarnation names one life of the target's process.
	Incarnation string
	// Running and Waiting count the calls at the target, of all nodes.
	Running int
	Waiting int
	// Leaving is true when the target takes no new calls.
	Leaving bool
	// Age is how old the report was when it arrived.
	Age time.Duration
}

// Mark says that one incarnation of a target is leaving, whoever reported it.
type Mark struct {
	Target      string
	Incarnation string
}

// Nodes sets how many nodes share the targets, this one included.
type Nodes struct{ Count int }

// Install puts a bundle in force.
type Install struct{ Plan *bundle.Plan }

// Tick lets time pass; NextTick says when it is due.
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

// Admit admits a request; Close must end it.
type Admit struct{ ID uint64 }

// Grant gives an attempt its target; Ended or Withdraw must end it.
type Grant struct {
	ID     uint64
	Target bundle.Target
	Pool   *bundle.Pool
	// Timeout is how long an attempt that may be repeated may take: after it another
	// target is more likely to answer in time; see timeout.go.
	Timeout time.Duration
}

// Refuse is the last answer to an Open or Submit.
type Refuse struct {
	ID uint64
	// Err has the verdict not-run, its reason and the time after which to retry.
	Err *verdict.Error
}

func (Admit) isEffect()  {}
func (Grant) isEffect()  {}
func (Refuse) isEffect() {}
