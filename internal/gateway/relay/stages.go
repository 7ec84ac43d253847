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

// stageWork runs the stages of one request.
type stageWork struct {
	*resolved
	batcher Batcher
	now     func() time.Time
	decided func(Decision)
	chooser *chooser
	// recomputes counts how often results were recomputed. It is guarded by the mutex of
	// results.
	recomputes int
	// results are those of the latest run. A recompute replaces them, so that a late report
	// of an earlier run has no effect.
	results *stageResults
}

func newStageWork(r *resolved, cfg *Config, decided func(Decision), c *chooser) *stageWork {
	w := &stageWork{resolved: r, batcher: cfg.Batcher, now: cfg.Now, decided: decided, chooser: c}
	w.results = newStageResults(w)
	return w
}

// ensure recomputes the request's inputs if they were released or lost.
func (w *stageWork) ensure(ctx context.Context) *verdict.Error {
	if w.results.holdsInputs() || len(w.stages) == 0 {
		return nil
	}
	if err := w.results.countRecompute(); err != nil {
		return err
	}
	w.results.releaseAll()
	w.results = newStageResults(w)
	return w.results.run(ctx)
}

// run runs all stages that are not done, each as soon as the stages that it depends on are
// done. If a stage fails, the others are cancelled.
func (r *stageResults) run(ctx context.Context) *verdict.Error {
	stages := r.work.stages
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

// firstError returns the error that caused the others, which are cancellations.
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
	if r.work.stages[i].Items > 0 {
		if err := r.compute(ctx, i); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.done[i] = true
	r.mu.Unlock()
	r.inputsRead(i)
	return nil
}

// compute gets the results of a stage's items. If an input is missing at its target, the
// stages that it comes from are recomputed first.
func (r *stageResults) compute(ctx context.Context, i int) *verdict.Error {
	for {
		if err := r.computeInputs(ctx, i); err != nil {
			return err
		}
		err := r.runItems(ctx, i)
		if err == nil || err.Reason() != verdict.ReasonInputGone {
			return err
		}
		if err := r.countRecompute(); err != nil {
			return err
		}
		for _, a := range r.work.stages[i].After {
			r.set(a, nil)
		}
	}
}

// runItems runs a stage's items and stores their results.
func (r *stageResults) runItems(ctx context.Context, i int) *verdict.Error {
	w := r.work
	service, begun := w.route.Stages[i].Service, w.now()
	results, err := w.batcher.Run(ctx, service, r.group(i), func() { r.inputsRead(i) })
	took := w.now().Sub(begun)
	if err != nil {
		w.decided(StageFailed{Stage: i, Service: service, Items: w.stages[i].Items, Took: took, Err: err})
		return err
	}
	w.decided(StageDone{Stage: i, Service: service, Items: len(results), Took: took, Targets: targetsOf(results)})
	r.set(i, results)
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

// computeInputs computes the results that a stage needs and that are not held.
func (r *stageResults) computeInputs(ctx context.Context, i int) *verdict.Error {
	for _, a := range r.work.stages[i].After {
		if !rules.NeedsInput(r.work.stages[a].Items, r.held(a)) {
			continue
		}
		if err := r.compute(ctx, a); err != nil {
			return err
		}
		// The inputs of a recomputed result have no other use.
		for _, b := range r.work.stages[a].After {
			r.releaseUnused(b)
		}
	}
	return nil
}

// group returns the items of a stage with their times, inputs and preferred data centre.
func (r *stageResults) group(i int) Group {
	w := r.work
	times := w.times.Stage(w.stages.Following(i))
	g := Group{
		Digest:  w.stageDigest(i),
		Request: w.req.ID, Stage: i, Count: w.stages[i].Items, Bytes: w.route.Stages[i].ResultBytes,
		Due: times.Due, Deadline: times.Deadline, Priority: w.priority(),
	}
	if len(w.stages[i].After) == 0 {
		g.Source = w.req.Source
		g.DataCentre = r.nearEngine(i)
		return g
	}
	g.ReadTime = rules.InputsReadTime(rules.LongestTransfer(r.transfers(w.stages[i].After)))
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := make(map[string]int64)
	for _, a := range w.stages[i].After {
		for _, result := range r.results[a] {
			g.Inputs = append(g.Inputs, result.Handle)
			sizes[result.DataCentre] += w.route.Stages[a].ResultBytes * int64(g.Count)
		}
	}
	g.DataCentre = rules.NearestDataCentre(sizes)
	return g
}

// nearEngine returns the data centre of the engine that will probably read the results of
// a first stage; empty if they are small or are read by a later stage.
func (r *stageResults) nearEngine(i int) string {
	w := r.work
	if !slices.Contains(w.route.LastStages(), i) || !w.service.Engine {
		return ""
	}
	if !rules.WorthNearness(w.route.Stages[i].ResultBytes * int64(w.stages[i].Items)) {
		return ""
	}
	target, ok := w.chooser.own(w.results.bytes(), w.chooser.tried)
	if !ok {
		return ""
	}
	return target.DataCentre
}
