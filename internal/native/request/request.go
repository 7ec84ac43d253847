// Package request decides the life of one request through the stages of its
// pipeline. It does no input or output, starts no goroutine and reads no clock:
// Step takes a state, the time and an event, and returns the next state and the
// effects to carry out.
package request

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// provenAttempts bounds the attempts of a stage whose earlier ones provably did
// not run, as after a failed dial or a target's refusal.
const provenAttempts = 6

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
	// Verdict speaks of all attempts that have ended.
	Verdict verdict.Verdict
	// Excluded names targets that failed this stage.
	Excluded []string
	// Finish is the finish reason of an engine.
	Finish string
	// Tokens counts what all attempts generated.
	Tokens int
	// Target is the target of the last attempt.
	Target string
	// Took is the time of the last attempt.
	Took time.Duration
	// Ended counts the attempts that may have reached a target.
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
	emitted  int
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

// Pipeline returns the pipeline that governs the request.
func (s State) Pipeline() *bundle.PipelinePlan { return s.pipeline }

// Deadline returns the time by which the answer must be whole.
func (s State) Deadline() time.Time { return s.deadline }

// Stage returns stage i.
func (s State) Stage(i int) Stage { return s.stages[i] }

// Finished says whether the caller has its final answer.
func (s State) Finished() bool { return s.finished }

// Verdict speaks of the whole request: not run only when no stage may have run.
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

// Event is what can happen to a request.
type Event interface{ isEvent() }

// Begin starts the request.
type Begin struct{}

// Text is a piece of an engine's output.
type Text struct {
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
	Finish string
	Tokens int
	Took   time.Duration
}

// Broke is the failed end of an attempt.
type Broke struct {
	Stage   int
	Attempt int
	// Target is empty when no target was called.
	Target string
	Err    *verdict.Error
	Tokens int
	Took   time.Duration
}

// Expired is the passing of the deadline.
type Expired struct{}

// Abandoned is the caller's going away.
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
	// Prefix is the text that the stage has given the caller already; the
	// attempt must go on from it.
	Prefix string
	// PrefixTokens is what the prefix took to generate.
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

// Step applies one event. Events of attempts that are no longer current, which
// come late or twice, change nothing.
func Step(s State, now time.Time, ev Event) (State, []Effect) {
	if s.finished {
		return s, nil
	}
	switch e := ev.(type) {
	case Begin:
		return s.startReady()
	case Text:
		return s.takeText(e)
	case Answered:
		return s.takeAnswer(now, e)
	case Broke:
		return s.takeBreak(now, e)
	case Expired:
		return s.fail(verdict.New(s.Verdict(), verdict.ReasonDeadline, "the deadline passed"))
	case Abandoned:
		return s.fail(verdict.New(s.Verdict(), verdict.ReasonCancelled, "the caller went away"))
	}
	return s, nil
}

// startReady runs every waiting stage whose needs are done.
func (s State) startReady() (State, []Effect) {
	var effects []Effect
	for _, i := range s.pipeline.Order {
		if s.stages[i].Status == Waiting && s.needsDone(i) {
			var run Run
			s, run = s.start(i)
			effects = append(effects, run)
		}
	}
	return s, effects
}

func (s State) needsDone(i int) bool {
	for _, need := range s.pipeline.Stages[i].Needs {
		j := s.index(need)
		if s.stages[j].Status != Done {
			return false
		}
	}
	return true
}

func (s State) index(name string) int {
	return slices.IndexFunc(s.pipeline.Stages, func(st bundle.Stage) bool { return st.Name == name })
}

func (s State) start(i int) (State, Run) {
	st := s.stages[i]
	st.Status = Running
	st.Attempt++
	run := Run{Stage: i, Attempt: st.Attempt, Exclude: st.Excluded, Prefix: st.Output()}
	if run.Prefix != "" {
		run.PrefixTokens = st.Tokens
	}
	return s.WithStage(i, st), run
}

func (s State) current(stage, attempt int) bool {
	st := s.stages[stage]
	return st.Status == Running && st.Attempt == attempt
}

func (s State) takeText(e Text) (State, []Effect) {
	if !s.current(e.Stage, e.Attempt) {
		return s, nil
	}
	st := s.stages[e.Stage]
	st.output = st.output.with(e.Text)
	s = s.WithStage(e.Stage, st)
	if e.Stage != s.pipeline.Last {
		return s, nil
	}
	s.emitted += len(e.Text)
	return s, []Effect{Emit{Text: e.Text}}
}

func (s State) takeAnswer(now time.Time, e Answered) (State, []Effect) {
	if !s.current(e.Stage, e.Attempt) {
		return s, nil
	}
	st := s.stages[e.Stage]
	st.Status = Done
	st.Verdict = verdict.Ran
	st.output = st.output.with(e.Output)
	st.Finish = e.Finish
	st.Tokens += e.Tokens
	st.Target = e.Target
	st.Took = e.Took
	st.Ended++
	s = s.WithStage(e.Stage, st)
	if !now.Before(s.deadline) {
		return s.fail(verdict.New(s.Verdict(), verdict.ReasonDeadline, "the deadline passed"))
	}
	if e.Stage != s.pipeline.Last {
		return s.startReady()
	}
	s.finished = true
	if e.Output == "" {
		return s, []Effect{Finish{}}
	}
	s.emitted += len(e.Output)
	return s, []Effect{Emit{Text: e.Output}, Finish{}}
}

func (s State) takeBreak(now time.Time, e Broke) (State, []Effect) {
	if !s.current(e.Stage, e.Attempt) {
		return s, nil
	}
	st := s.stages[e.Stage]
	st.Status = Failed
	st.Verdict = verdict.Join(st.Verdict, e.Err.Verdict())
	st.Tokens += e.Tokens
	st.Took = e.Took
	if e.Target != "" {
		st.Target = e.Target
		st.Excluded = append(slices.Clone(st.Excluded), e.Target)
	}
	if e.Err.Verdict() != verdict.NotRun {
		st.Unproven++
		st.Ended++
	}
	s = s.WithStage(e.Stage, st)
	if !s.mayRetry(now, e) {
		return s.fail(e.Err.WithVerdict(s.Verdict()).WithStage(s.pipeline.Stages[e.Stage].Name))
	}
	if e.Stage != s.pipeline.Last {
		st.output = pieces{}
		s = s.WithStage(e.Stage, st)
	}
	s, run := s.start(e.Stage)
	run.AfterProof = e.Err.Verdict() == verdict.NotRun
	return s, []Effect{run}
}

// mayRetry decides whether a stage that broke gets another attempt.
func (s State) mayRetry(now time.Time, e Broke) bool {
	st := s.stages[e.Stage]
	spec := s.pipeline.Stages[e.Stage]
	if e.Target == "" {
		return false // no target was called: admission has given its answer
	}
	if !now.Add(time.Duration(spec.MinimumMs) * time.Millisecond).Before(s.deadline) {
		return false
	}
	if e.Stage == s.pipeline.Last && s.emitted > 0 {
		return s.mayContinue(e)
	}
	if e.Err.Verdict() == verdict.NotRun && st.Unproven == 0 {
		return st.Attempt < provenAttempts
	}
	return spec.Repeatable && st.Unproven < spec.AttemptLimit() && st.Attempt < provenAttempts
}

// mayContinue decides whether another engine goes on from the text that the
// caller has. Another run would not repeat it, so it cannot start anew.
func (s State) mayContinue(e Broke) bool {
	st := s.stages[e.Stage]
	spec := s.pipeline.Stages[e.Stage]
	return spec.OnLoss == bundle.StageOnLossContinue && st.Unproven <= spec.AttemptLimit() && st.Attempt < provenAttempts
}

// fail ends the request with its final refusal.
func (s State) fail(err *verdict.Error) (State, []Effect) {
	s.finished = true
	return s, []Effect{CancelAll{}, Fail{Err: err}}
}
