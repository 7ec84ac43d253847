package request

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

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
		return s.onText(e)
	case Answered:
		return s.onAnswered(now, e)
	case Broke:
		return s.onBroke(now, e)
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
		j := slices.IndexFunc(s.pipeline.Stages, func(st bundle.Stage) bool { return st.Name == need })
		if s.stages[j].Status != Done {
			return false
		}
	}
	return true
}

// start runs the next attempt of stage i.
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

// current says whether an event is of the attempt that runs.
func (s State) current(stage, attempt int) bool {
	st := s.stages[stage]
	return st.Status == Running && st.Attempt == attempt
}

func (s State) onText(e Text) (State, []Effect) {
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

func (s State) onAnswered(now time.Time, e Answered) (State, []Effect) {
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

func (s State) onBroke(now time.Time, e Broke) (State, []Effect) {
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

// fail ends the request with its final refusal.
func (s State) fail(err *verdict.Error) (State, []Effect) {
	s.finished = true
	return s, []Effect{CancelAll{}, Fail{Err: err}}
}
