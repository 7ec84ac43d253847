package relay

import (
	"sync"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// stageResults holds the results of one run of a request's stages, and releases each as
// soon as it is no longer needed.
type stageResults struct {
	runner *stageRunner

	mu      sync.Mutex
	results [][]batching.Result
	// readers counts the readers of each stage's results that still need them: later stages
	// and the request itself.
	readers []int
	// read tells which stages have read their inputs.
	read []bool
	done []bool
	// inputState is the state of the request's own inputs.
	inputState inputState
}

// inputState is the state of a request's inputs.
type inputState int

const (
	// inputsHeld means that the inputs are held, as far as this node knows.
	inputsHeld inputState = iota
	// inputsReleasedEarly means that they were released when the engine should have fetched
	// them.
	inputsReleasedEarly
	// inputsReleasedAfterRead means that they were released after the engine had read them.
	inputsReleasedAfterRead
	// inputsLost means that they are missing at their targets.
	inputsLost
)

func newStageResults(runner *stageRunner) *stageResults {
	n := len(runner.stages)
	r := &stageResults{runner: runner, results: make([][]batching.Result, n), readers: make([]int, n), read: make([]bool, n), done: make([]bool, n)}
	for _, s := range runner.stages {
		for _, a := range s.After {
			r.readers[a]++
		}
	}
	for _, last := range runner.route.LastStages() {
		r.readers[last]++
	}
	return r
}

// inputsRead records that a stage has read its inputs, and releases those that have no
// other reader. A result that is released too early is recomputed.
func (r *stageResults) inputsRead(i int) {
	r.mu.Lock()
	known := r.read[i]
	r.read[i] = true
	r.mu.Unlock()
	for _, a := range r.runner.stages[i].After {
		if known {
			r.releaseUnused(a)
			continue
		}
		r.readerDone(a)
	}
}

// countRecompute counts a recompute of results, and returns an error if there were too
// many.
func (r *stageResults) countRecompute() *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runner.recomputes++
	if !rules.MayRecompute(r.runner.recomputes) {
		return verdict.New(verdict.NotRun, verdict.ReasonInputGone, "stage results were lost too often")
	}
	return nil
}

// recomputes returns how often results were recomputed.
func (r *stageResults) recomputes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runner.recomputes
}

func (r *stageResults) held(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[i] != nil
}

// made tells which stages have been computed.
func (r *stageResults) made() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	made := make([]bool, len(r.done))
	for i, done := range r.done {
		made[i] = done && r.runner.stages[i].Items > 0
	}
	return made
}

// set replaces the results of a stage and releases the old ones.
func (r *stageResults) set(i int, results []batching.Result) {
	r.mu.Lock()
	old := r.results[i]
	r.results[i] = results
	r.mu.Unlock()
	r.release(i, old)
}

// releaseUnused releases the results of a stage if they have no more readers.
func (r *stageResults) releaseUnused(i int) {
	r.mu.Lock()
	unused := rules.ReleaseResults(r.readers[i])
	r.mu.Unlock()
	if unused {
		r.set(i, nil)
	}
}

// readerDone records that one of the readers of a stage's results has read them.
func (r *stageResults) readerDone(i int) {
	r.mu.Lock()
	r.readers[i]--
	r.mu.Unlock()
	r.releaseUnused(i)
}

func (r *stageResults) release(i int, results []batching.Result) {
	if len(results) > 0 {
		r.runner.batcher.Release(r.runner.route.Stages[i].Service, results)
	}
}

// releaseAll releases all results that are still held.
func (r *stageResults) releaseAll() {
	for i := range r.results {
		r.set(i, nil)
	}
}

// inputHandles returns the handles of the request's own inputs.
func (r *stageResults) inputHandles() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var handles []string
	for _, last := range r.runner.route.LastStages() {
		for _, result := range r.results[last] {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}

// inputBytes returns the size of the request's inputs in each data centre.
func (r *stageResults) inputBytes() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := make(map[string]int64)
	for _, last := range r.runner.route.LastStages() {
		for _, result := range r.results[last] {
			sizes[result.DataCentre] += r.runner.route.Stages[last].ResultBytes
		}
	}
	return sizes
}

// releaseInputs releases the inputs if they are still held. state is their new state: the
// request's target has read them, or should have.
func (r *stageResults) releaseInputs(state inputState) {
	r.mu.Lock()
	held := r.inputState == inputsHeld
	if held {
		r.inputState = state
	}
	r.mu.Unlock()
	if !held {
		return
	}
	for _, last := range r.runner.route.LastStages() {
		r.readerDone(last)
	}
}

// markInputsLost records that the inputs are missing at their targets.
func (r *stageResults) markInputsLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inputState = inputsLost
}

// holdsInputs reports whether the inputs are held.
func (r *stageResults) holdsInputs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inputState == inputsHeld
}

// wereReleasedEarly reports whether the inputs were released before the target was known to
// have read them.
func (r *stageResults) wereReleasedEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inputState == inputsReleasedEarly
}
