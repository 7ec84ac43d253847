package node

import (
	"context"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/request"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// microsecondsPerMillisecond converts a time to fractions of milliseconds.
const microsecondsPerMillisecond = 1000

// execution carries out the effects of the package request for one job. Its loop
// is the only goroutine that touches the state; attempts send it events.
type execution struct {
	runner *runner
	job    *job
	state  request.State
	emit   func(string) error
	cancel context.CancelFunc
	events chan request.Event

	// One of result and err is set once the state has finished.
	result *result
	err    *verdict.Error
}

// loop applies events until the request has its final answer.
func (e *execution) loop(ctx context.Context) (*result, error) {
	expired := time.NewTimer(e.job.deadline.Sub(e.runner.now()))
	defer expired.Stop()
	e.step(ctx, request.Begin{})
	for !e.state.Finished() {
		select {
		case ev := <-e.events:
			e.step(ctx, ev)
		case <-expired.C:
			e.step(ctx, request.Expired{})
		case <-ctx.Done():
			e.step(ctx, request.Abandoned{})
		}
	}
	if e.err != nil {
		return nil, e.err
	}
	return e.result, nil
}

// step applies one event and carries out its effects.
func (e *execution) step(ctx context.Context, ev request.Event) {
	var effects []request.Effect
	e.state, effects = request.Step(e.state, e.runner.now(), ev)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case request.Run:
			go e.newAttempt(effect).run(ctx)
		case request.Emit:
			if e.emit(effect.Text) != nil {
				// The caller is gone, or is taken for gone: nobody would read the rest.
				e.step(ctx, request.Abandoned{})
				return
			}
		case request.Finish:
			e.result = e.newResult()
		case request.Fail:
			e.err = effect.Err
			if !e.state.SafeToRetry() {
				e.err = e.err.WithUnsafeRetry()
			}
		case request.CancelAll:
			e.cancel()
		}
	}
}

// newAttempt copies what an attempt needs of the state, since the attempt runs
// beside the loop.
func (e *execution) newAttempt(start request.Run) *attempt {
	spec := e.job.pipeline.Stages[start.Stage]
	return &attempt{runner: e.runner, job: e.job, start: start, spec: spec, needs: e.needs(spec), events: e.events}
}

// needs returns the outputs that a stage reads, by the names of their stages.
func (e *execution) needs(spec bundle.Stage) map[string]string {
	needs := make(map[string]string)
	for i, s := range e.job.pipeline.Stages {
		if slices.Contains(spec.Needs, s.Name) {
			needs[s.Name] = e.state.Stage(i).Output()
		}
	}
	return needs
}

func (e *execution) newResult() *result {
	res := &result{}
	for i, spec := range e.job.pipeline.Stages {
		st := e.state.Stage(i)
		res.stages = append(res.stages, stageUse(spec, st))
		if i == e.job.pipeline.Last {
			res.finish = st.Finish
			res.tokens = st.Tokens
		}
	}
	return res
}

// stageUse describes to the caller what a stage took.
func stageUse(spec bundle.Stage, st request.Stage) message.StageUse {
	return message.StageUse{
		Stage:    spec.Name,
		Target:   st.Target,
		Attempts: st.Attempt,
		Tokens:   st.Tokens,
		Cost:     float64(st.Ended)*spec.Cost.PerCall + float64(st.Tokens)*spec.Cost.PerToken,
		TookMs:   float64(st.Took.Microseconds()) / microsecondsPerMillisecond,
	}
}
