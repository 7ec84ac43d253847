// Package request decides the life of one request through the stages of its
// pipeline: which attempt of which stage runs next, what text the caller gets, and
// how the request ends.
//
// It owns the state of the request: the status, attempts and results of each stage
// and what the caller has. It relies on its caller to carry out the effects and to
// report each end of an attempt: it does no input or output, starts no goroutine and
// reads no clock. Step takes a state, the time and an event, and returns the next
// state and the effects. An event that is lost leaves its stage running until
// Expired; one that comes late or twice changes nothing.
//
// A request gets one final answer, Finish or Fail, and no effect after it. A stage
// that may not be repeated gets another attempt only after proof that the earlier
// ones did not run (docs/decisions/0004-at-most-once.md); retry.go holds that rule.
package request

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Status is the state of one stage.
type Status int

// States of a stage.
const (
	Waiting Status = iota
	Running
	Done
	Failed
)

// Stage is what a request knows of one of its stages. It is immutable.
type Stage struct {
	// Status is the state of the stage.
	Status Status
	// Attempt numbers the current attempt from 1; 0 before the first.
	Attempt int
	// Unproven counts attempts that may have run.
	Unproven int
	// Verdict says whether any attempt that has ended ran.
	Verdict verdict.Verdict
	// Excluded names targets that failed this stage.
	Excluded []string
	// Finish is the finish reason of an engine.
	Finish string
	// Tokens counts the tokens that all attempts generated.
	Tokens int
	// Target is the target of the last attempt.
	Target string
	// Took is the time of the last attempt.
	Took time.Duration
	// Ended counts the attempts that ended and may have run.
	Ended int

	output pieces
}

// Output returns the result; an engine's grows while the stage runs.
func (st Stage) Output() string { return st.output.String() }

// State is the state of one request. It is immutable; Step returns changed
// copies.
type State struct {
	pipeline *bundle.PipelinePlan
	deadline time.Time
	stages   []Stage
	// emitted is how many bytes of text the caller has.
	emitted int
	// finished is true once the caller has its final answer.
	finished bool
}

// New returns the state of a request before its first event.
func New(p *bundle.PipelinePlan, deadline time.Time) State {
	stages := make([]Stage, len(p.Stages))
	for i := range stages {
		stages[i].Verdict = verdict.NotRun
	}
	return State{pipeline: p, deadline: deadline, stages: stages}
}

// Deadline returns the time by which the answer must be whole.
func (s State) Deadline() time.Time { return s.deadline }

// Stage returns stage i.
func (s State) Stage(i int) Stage { return s.stages[i] }

// Finished says whether the caller has its final answer.
func (s State) Finished() bool { return s.finished }

// Verdict says whether the request ran: not run only when no stage may have run.
func (s State) Verdict() verdict.Verdict {
	v := verdict.NotRun
	for _, st := range s.stages {
		v = verdict.Join(v, st.Verdict)
		if st.Status == Running {
			v = verdict.Join(v, verdict.MayHaveRun)
		}
	}
	return v
}

// SafeToRetry says whether no stage that may not be repeated may have run.
func (s State) SafeToRetry() bool {
	for i, st := range s.stages {
		if s.pipeline.Stages[i].Repeatable {
			continue
		}
		if st.Verdict != verdict.NotRun || st.Status == Running {
			return false
		}
	}
	return true
}

// WithStage returns a copy in which stage i is st.
func (s State) WithStage(i int, st Stage) State {
	s.stages = slices.Clone(s.stages)
	s.stages[i] = st
	return s
}
