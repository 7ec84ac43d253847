package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// stageRunner runs the stages of one request.
type stageRunner struct {
	*resolvedRequest
	batcher        Batcher
	now            func() time.Time
	reportDecision func(Decision)
	chooser        *chooser
	// recomputes counts how often results were recomputed. It is guarded by the mutex of
	// results.
	recomputes int
	// results are those of the latest run. A recompute replaces them, so that a late report
	// of an earlier run has no effect.
	results *stageResults
}

func newStageRunner(r *resolvedRequest, cfg *Config, reportDecision func(Decision), c *chooser) *stageRunner {
	s := &stageRunner{resolvedRequest: r, batcher: cfg.Batcher, now: cfg.Now, reportDecision: reportDecision, chooser: c}
	s.results = newStageResults(s)
	return s
}

// needsStages reports whether the stages have to run again before the request can be sent.
func (s *stageRunner) needsStages() bool { return len(s.stages) > 0 && !s.results.holdsInputs() }

// ensureInputs recomputes the request's inputs if they were released or lost.
func (s *stageRunner) ensureInputs(ctx context.Context) *verdict.Error {
	if !s.needsStages() {
		return nil
	}
	if err := s.results.countRecompute(); err != nil {
		return err
	}
	s.results.releaseAll()
	s.results = newStageResults(s)
	return s.results.run(ctx)
}

// run runs all stages that are not done, each as soon as the stages that it depends on are
// done. If a stage fails, the others are cancelled.
func (r *stageResults) run(ctx context.Context) *verdict.Error {
	stages := r.runner.stages
	if len(stages) == 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make([]chan struct{}, len(stages))
	errs := make([]*verdict.Error, len(stages))
	for i := range stages {
		ended[i] = make(chan struct{})
	}
	var all sync.WaitGroup
	for i := range stages {
		all.Go(func() {
			defer close(ended[i])
			for _, a := range stages[i].After {
				<-ended[a]
				if errs[a] != nil {
					errs[i] = errs[a]
					return
				}
			}
			if errs[i] = r.runStage(ctx, i); errs[i] != nil {
				cancel()
			}
		})
	}
	all.Wait()
	return firstError(errs)
}

// firstError returns the first error that is not a cancellation, since the error of one
// stage cancels the others. If there are cancellations only, it returns the first.
func firstError(errs []*verdict.Error) *verdict.Error {
	var first *verdict.Error
	for _, err := range errs {
		if err == nil {
			continue
		}
		if first == nil || first.Reason() == verdict.ReasonCancelled {
			first = err
		}
	}
	return first
}

func (r *stageResults) runStage(ctx context.Context, i int) *verdict.Error {
	r.mu.Lock()
	done := r.done[i]
	r.mu.Unlock()
	if done {
		return nil
	}
	if r.runner.stages[i].Items > 0 {
		if err := r.compute(ctx, i); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.done[i] = true
	attempt := r.attempts[i]
	r.mu.Unlock()
	r.inputsRead(i, attempt)
	return nil
}

// compute gets the results of a stage's items. If an input is missing at its target, the
// stages that it comes from are recomputed first.
func (r *stageResults) compute(ctx context.Context, i int) *verdict.Error {
	for {
		attempt := r.beginAttempt(i)
		inputs, err := r.computeInputs(ctx, i)
		if err != nil {
			return err
		}
		err = r.runItems(ctx, i, attempt, inputs)
		if err == nil || err.Reason() != verdict.ReasonInputGone {
			return err
		}
		if err := r.loseInputs(inputs); err != nil {
			return err
		}
	}
}

// runItems runs a stage's items in an attempt, and stores their results.
func (r *stageResults) runItems(ctx context.Context, i, attempt int, inputs stageInputs) *verdict.Error {
	runner := r.runner
	service, begun := runner.route.Stages[i].Service, runner.now()
	results, err := runner.batcher.Run(ctx, service, r.group(i, inputs), func() { r.inputsRead(i, attempt) })
	took := runner.now().Sub(begun)
	if err == nil && !rules.AllInputs(runner.stages[i].Items, len(results)) {
		r.release(i, results)
		err = verdict.New(verdict.NotRun, verdict.ReasonInternal, "stage %d has %d results of %d", i, len(results), runner.stages[i].Items)
	}
	if err != nil {
		runner.reportDecision(StageFailed{Stage: i, Service: service, Items: runner.stages[i].Items, Took: took, Err: err})
		return err
	}
	runner.reportDecision(StageDone{Stage: i, Service: service, Items: len(results), Took: took, Targets: targetsOf(results)})
	r.set(i, results)
	r.inputsRead(i, attempt)
	return nil
}

// targetsOf returns the distinct targets that hold the results.
func targetsOf(results []batching.Result) []string {
	var targets []string
	for _, r := range results {
		if !slices.Contains(targets, r.Target) {
			targets = append(targets, r.Target)
		}
	}
	return targets
}

// computeInputs returns the results that a stage reads, and computes those that are not held. If
// another reader finds some missing meanwhile, it starts over, as often as results may be lost.
func (r *stageResults) computeInputs(ctx context.Context, i int) (stageInputs, *verdict.Error) {
	after := r.runner.stages[i].After
	for losses := 0; rules.MayRecompute(losses); losses++ {
		for _, a := range after {
			if err := r.computeMissing(ctx, a); err != nil {
				return stageInputs{}, err
			}
		}
		if inputs, complete := r.collect(after); complete {
			return inputs, nil
		}
	}
	return stageInputs{}, errLostTooOften()
}

// computeMissing computes the results of a stage if they are not held. Readers that need the same
// results wait for each other.
func (r *stageResults) computeMissing(ctx context.Context, i int) *verdict.Error {
	select {
	case r.computing[i] <- struct{}{}:
		defer func() { <-r.computing[i] }()
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, contextReason(ctx), "the results of stage %d were not awaited", i)
	}
	if !rules.NeedsInput(r.runner.stages[i].Items, r.held(i)) {
		return nil
	}
	return r.compute(ctx, i)
}

// group returns the items of a stage with their times, inputs and preferred data centre.
func (r *stageResults) group(i int, inputs stageInputs) Group {
	runner := r.runner
	times := runner.times.Stage(runner.stages.Following(i))
	g := Group{
		Digest:  runner.stageDigest(i),
		Request: runner.req.ID, Stage: i, Count: runner.stages[i].Items, Bytes: runner.route.Stages[i].ResultBytes,
		Due: times.Due, Deadline: times.Deadline, Priority: runner.stagePriority(),
		WithdrawableUntil: r.withdrawableUntil(i),
	}
	if runner.takesUp() {
		g.Due, g.Priority = rules.RestDue(times, g.Priority, batching.PriorityStep)
	}
	if len(runner.stages[i].After) == 0 {
		g.Source = runner.req.Source
		g.DataCentre = r.engineDataCentre(i)
		return g
	}
	g.ReadTime = rules.InputsReadTime(rules.LongestTransfer(r.transfers(runner.stages[i].After)))
	g.Inputs = inputs.handles
	sizes := make(map[string]int64, len(inputs.bytes))
	for dc, bytes := range inputs.bytes {
		sizes[dc] = bytes * int64(g.Count)
	}
	g.DataCentre = rules.PreferredDataCentre(sizes)
	return g
}

// engineDataCentre returns the data centre of the engine that will probably read the
// results of a first stage. It is empty if the results are small, are read by a later
// stage or not by an engine, or if no engine is available.
func (r *stageResults) engineDataCentre(i int) string {
	runner := r.runner
	if !slices.Contains(runner.route.LastStages(), i) || !runner.service.Engine {
		return ""
	}
	if !rules.WorthLocality(runner.route.Stages[i].ResultBytes * int64(runner.stages[i].Items)) {
		return ""
	}
	target, ok := runner.chooser.chooseLocally(runner.results.inputBytes(), runner.chooser.tried)
	if !ok {
		return ""
	}
	return target.DataCentre
}
