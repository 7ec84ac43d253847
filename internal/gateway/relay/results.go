package relay

import (
	"slices"
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
	// mustRead marks which stages have yet to read their inputs: for the first time, or again
	// since their own results were lost.
	mustRead []bool
	// attempts counts how often each stage began to be computed or lost its results.
	attempts []int
	// computing is full while a stage's results are computed for a reader that found them missing.
	computing []chan struct{}
	done      []bool
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
	r := &stageResults{
		runner: runner, results: make([][]batching.Result, n),
		mustRead: make([]bool, n), attempts: make([]int, n), computing: make([]chan struct{}, n), done: make([]bool, n),
	}
	for i := range r.mustRead {
		r.mustRead[i], r.computing[i] = true, make(chan struct{}, 1)
	}
	return r
}

// beginAttempt records that a stage begins to be computed, and returns the number of the attempt.
func (r *stageResults) beginAttempt(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustRead[i] = true
	r.attempts[i]++
	return r.attempts[i]
}

// inputsRead records that a stage has read its inputs, and releases those that have no
// other reader. A result that is released too early is recomputed. A report of an attempt that
// was followed by another one has no effect.
func (r *stageResults) inputsRead(i, attempt int) {
	r.mu.Lock()
	current := r.attempts[i] == attempt
	if current {
		r.mustRead[i] = false
	}
	r.mu.Unlock()
	if !current {
		return
	}
	for _, a := range r.runner.stages[i].After {
		r.releaseUnused(a)
	}
}

// readers counts the readers that still need a stage's results: later stages and the request
// itself. r.mu is held.
func (r *stageResults) readers(i int) int {
	n := 0
	for k, s := range r.runner.stages {
		if r.mustRead[k] && slices.Contains(s.After, i) {
			n++
		}
	}
	if r.inputState == inputsHeld && slices.Contains(r.runner.route.LastStages(), i) {
		n++
	}
	return n
}

// lose drops the results that an attempt read, which are missing at their targets, and reports
// whether they were still the latest ones: another reader may have found them missing before. The
// stage keeps its own inputs until it is computed again.
func (r *stageResults) lose(i, attempt int) bool {
	r.mu.Lock()
	latest := r.attempts[i] == attempt
	if latest {
		r.attempts[i]++
		r.mustRead[i] = true
	}
	r.mu.Unlock()
	if latest {
		r.set(i, nil)
	}
	return latest
}

// loseInputs drops the results that an attempt of a stage read. It returns an error if results were
// lost too often.
func (r *stageResults) loseInputs(inputs stageInputs) *verdict.Error {
	lost := false
	for a, attempt := range inputs.attempts {
		lost = r.lose(a, attempt) || lost
	}
	if !lost {
		return nil
	}
	return r.countRecompute()
}

// stageInputs are the results that one attempt of a stage reads.
type stageInputs struct {
	handles []string
	// attempts has the attempt that made the results of each stage with items.
	attempts map[int]int
	// bytes is their size in each data centre, for each item that reads them.
	bytes map[string]int64
}

// collect returns all results of some stages. It returns false if any is not held.
func (r *stageResults) collect(stages []int) (stageInputs, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := stageInputs{attempts: map[int]int{}, bytes: map[string]int64{}}
	complete := true
	for _, a := range stages {
		items := r.runner.stages[a].Items
		if items == 0 {
			continue
		}
		complete = complete && rules.AllInputs(items, len(r.results[a]))
		in.attempts[a] = r.attempts[a]
		for _, result := range r.results[a] {
			in.handles = append(in.handles, result.Handle)
			in.bytes[result.DataCentre] += r.runner.route.Stages[a].ResultBytes
		}
	}
	return in, complete
}

// countRecompute counts a recompute of results, and returns an error if there were too
// many.
func (r *stageResults) countRecompute() *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runner.recomputes++
	if !rules.MayRecompute(r.runner.recomputes) {
		return errLostTooOften()
	}
	return nil
}

func errLostTooOften() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonInputGone, "stage results were lost too often")
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

// made reports which stages have been computed.
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
	unused := rules.ReleaseResults(r.readers(i))
	r.mu.Unlock()
	if unused {
		r.set(i, nil)
	}
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

// inputHandles returns the handles of the request's own inputs. It returns false if any is not
// held.
func (r *stageResults) inputHandles() ([]string, bool) {
	in, complete := r.collect(r.runner.route.LastStages())
	return in.handles, complete
}

// inputBytes returns the size of the request's inputs in each data centre.
func (r *stageResults) inputBytes() map[string]int64 {
	in, _ := r.collect(r.runner.route.LastStages())
	return in.bytes
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
		r.releaseUnused(last)
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
