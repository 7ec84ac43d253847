package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// batchShare is the part of a full call that a later stage is expected to have.
const batchShare = 0.6

// maxRemakes bounds how often one request's results are made again.
const maxRemakes = 2

// stageResults makes and holds the results of one request's stages, and frees
// each as soon as the stages that need it are done.
type stageResults struct {
	job *job

	mu      sync.Mutex
	results [][]batching.Result
	// users counts the later stages that still need the results.
	users []int
	// read says which stages have read their inputs.
	read []bool
	done []bool
	// lost says that the inputs were freed or are gone at their makers.
	lost bool
}

func newStageResults(j *job) *stageResults {
	n := len(j.route.Stages)
	r := &stageResults{job: j, results: make([][]batching.Result, n), users: make([]int, n), read: make([]bool, n), done: make([]bool, n)}
	for _, s := range j.route.Stages {
		for _, a := range s.After {
			r.users[a]++
		}
	}
	for _, last := range j.route.LastStages() {
		r.users[last]++
	}
	return r
}

// count returns how many items a stage of the request has.
func (r *stageResults) count(stage int) int {
	if stage >= len(r.job.req.Items) {
		return 0
	}
	return max(r.job.req.Items[stage], 0)
}

// make has all stages that are not done made, each as soon as the stages before
// it are done.
func (r *stageResults) make(ctx context.Context) *verdict.Error {
	stages := r.job.route.Stages
	if len(stages) == 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ready := make([]chan struct{}, len(stages))
	errs := make([]*verdict.Error, len(stages))
	for i := range stages {
		ready[i] = make(chan struct{})
	}
	var all sync.WaitGroup
	for i := range stages {
		all.Add(1)
		go func() {
			defer all.Done()
			defer close(ready[i])
			for _, a := range stages[i].After {
				<-ready[a]
				if errs[a] != nil {
					errs[i] = errs[a]
					return
				}
			}
			if errs[i] = r.makeStage(ctx, i); errs[i] != nil {
				cancel()
			}
		}()
	}
	all.Wait()
	return firstError(errs)
}

// firstError returns the error that is not a consequence of another's.
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

func (r *stageResults) makeStage(ctx context.Context, i int) *verdict.Error {
	r.mu.Lock()
	done := r.done[i]
	r.mu.Unlock()
	if done {
		return nil
	}
	if r.count(i) > 0 {
		if err := r.obtain(ctx, i); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.done[i] = true
	r.mu.Unlock()
	r.inputsRead(i)
	return nil
}

// inputsRead frees the inputs of a stage that has read them. A result that is
// freed too early is made again.
func (r *stageResults) inputsRead(i int) {
	r.mu.Lock()
	known := r.read[i]
	r.read[i] = true
	r.mu.Unlock()
	for _, a := range r.job.route.Stages[i].After {
		if known {
			r.freeUnused(a)
			continue
		}
		r.used(a)
	}
}

// obtain has a stage's items made. When an input is gone, the stages that made
// the inputs are made again first.
func (r *stageResults) obtain(ctx context.Context, i int) *verdict.Error {
	for {
		if err := r.obtainInputs(ctx, i); err != nil {
			return err
		}
		service, begun := r.job.route.Stages[i].Service, r.job.s.cfg.Now()
		results, err := r.job.s.cfg.Batcher.Run(ctx, service, r.group(i), func() { r.inputsRead(i) })
		took := r.job.s.cfg.Now().Sub(begun)
		if err == nil {
			r.job.decided(StageDone{Stage: i, Service: service, Items: len(results), Took: took, Targets: makers(results)})
			r.set(i, results)
			return nil
		}
		r.job.decided(StageFailed{Stage: i, Service: service, Items: r.count(i), Took: took, Err: err})
		if err.Reason() != verdict.ReasonInputGone {
			return err
		}
		if err := r.countRemake(); err != nil {
			return err
		}
		for _, a := range r.job.route.Stages[i].After {
			r.set(a, nil)
		}
	}
}

// makers returns the targets that made results, each once.
func makers(results []batching.Result) []string {
	var targets []string
	for _, r := range results {
		if !slices.Contains(targets, r.Target) {
			targets = append(targets, r.Target)
		}
	}
	return targets
}

// obtainInputs has the results made again that a stage needs and that are not
// held.
func (r *stageResults) obtainInputs(ctx context.Context, i int) *verdict.Error {
	for _, a := range r.job.route.Stages[i].After {
		if r.count(a) == 0 || r.held(a) {
			continue
		}
		if err := r.obtain(ctx, a); err != nil {
			return err
		}
		// The inputs of a result that is made again have no other use.
		for _, b := range r.job.route.Stages[a].After {
			r.freeUnused(b)
		}
	}
	return nil
}

// countRemake counts that results are made again, and ends it when that happens
// too often.
func (r *stageResults) countRemake() *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.job.outcome.Recomputed++
	if r.job.outcome.Recomputed > maxRemakes {
		return verdict.New(verdict.NotRun, verdict.ReasonInputGone, "results were lost too often")
	}
	return nil
}

func (r *stageResults) held(i int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[i] != nil
}

// set replaces the results of a stage and frees the old ones.
func (r *stageResults) set(i int, results []batching.Result) {
	r.mu.Lock()
	old := r.results[i]
	r.results[i] = results
	r.mu.Unlock()
	r.release(i, old)
}

// freeUnused frees the results of a stage that no later stage still needs.
func (r *stageResults) freeUnused(i int) {
	r.mu.Lock()
	unused := r.users[i] <= 0
	r.mu.Unlock()
	if unused {
		r.set(i, nil)
	}
}

func (r *stageResults) group(i int) Group {
	j := r.job
	stage := j.route.Stages[i]
	g := Group{
		Request: j.req.ID, Stage: i, Count: r.count(i), Bytes: stage.ResultBytes,
		Due: j.objective.Add(-j.lead - r.after(i)), Deadline: j.until.Add(-engineLead - r.after(i)), Priority: j.priority(),
	}
	if len(stage.After) == 0 {
		g.Source = j.req.Source
		g.DataCentre = r.nearConsumer(i)
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := make(map[string]int64)
	for _, a := range stage.After {
		for _, result := range r.results[a] {
			g.Inputs = append(g.Inputs, result.Handle)
			sizes[result.DataCentre] += j.route.Stages[a].ResultBytes * int64(g.Count)
		}
	}
	g.DataCentre = nearest(sizes)
	return g
}

// nearMatters is how many bytes make it worth waiting for a target close to
// them.
const nearMatters = 100_000

// nearest returns the data centre that holds the most bytes; empty when they do
// not matter.
func nearest(sizes map[string]int64) string {
	best, most := "", int64(nearMatters)
	for dc, bytes := range sizes {
		if bytes >= most {
			best, most = dc, bytes
		}
	}
	return best
}

// nearConsumer returns the data centre of the engine that will probably read a
// stage's results; empty when they are small or read by a later stage.
func (r *stageResults) nearConsumer(i int) string {
	j := r.job
	if !slices.Contains(j.route.LastStages(), i) || j.service.Engine == nil {
		return ""
	}
	if j.route.Stages[i].ResultBytes*int64(r.count(i)) < nearMatters {
		return ""
	}
	target, _ := j.choose()
	return target.DataCentre
}

// after estimates how long the stages that follow a stage take.
func (r *stageResults) after(i int) time.Duration {
	var longest time.Duration
	for k := i + 1; k < len(r.job.route.Stages); k++ {
		for _, a := range r.job.route.Stages[k].After {
			if a == i && r.count(k) > 0 {
				longest = max(longest, r.estimate(k)+r.after(k))
			}
		}
	}
	return longest
}

func (r *stageResults) estimate(i int) time.Duration {
	s := r.job.view.Catalog.Service(r.job.route.Stages[i].Service)
	if s == nil || s.Batch == nil {
		return 0
	}
	return callTime(s.Batch)
}

// callTime is about how long a call takes that is not quite full.
func callTime(b *catalog.Batch) time.Duration {
	return b.CallLatency + time.Duration(batchShare*float64(b.MaxItems)*float64(b.PerItem))
}

// used says that one of the users of a stage's results is done with them.
func (r *stageResults) used(i int) {
	r.mu.Lock()
	r.users[i]--
	r.mu.Unlock()
	r.freeUnused(i)
}

func (r *stageResults) release(i int, results []batching.Result) {
	if len(results) > 0 {
		r.job.s.cfg.Batcher.Release(r.job.route.Stages[i].Service, results)
	}
}

// inputs returns the handles that the request itself needs.
func (r *stageResults) inputs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var handles []string
	for _, last := range r.job.route.LastStages() {
		for _, result := range r.results[last] {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}

// bytes returns how many bytes of the request's inputs lie in each data centre.
func (r *stageResults) bytes() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sizes := make(map[string]int64)
	for _, last := range r.job.route.LastStages() {
		for _, result := range r.results[last] {
			sizes[result.DataCentre] += r.job.route.Stages[last].ResultBytes
		}
	}
	return sizes
}

// consumed frees the inputs once the request's target has read them.
func (r *stageResults) consumed() {
	if r.lost {
		return
	}
	r.lost = true
	for _, last := range r.job.route.LastStages() {
		r.used(last)
	}
}

// ensure has the inputs made again where they were freed or are gone.
func (r *stageResults) ensure(ctx context.Context) *verdict.Error {
	if !r.lost || len(r.job.route.Stages) == 0 {
		return nil
	}
	return r.remake(ctx)
}

// remake has everything made again, because a result is gone.
func (r *stageResults) remake(ctx context.Context) *verdict.Error {
	j := r.job
	if err := r.countRemake(); err != nil {
		return err
	}
	r.releaseAll()
	fresh := newStageResults(j)
	j.result = fresh
	return fresh.make(ctx)
}

// releaseAll frees what is still held.
func (r *stageResults) releaseAll() {
	for i := range r.results {
		r.mu.Lock()
		free := r.results[i]
		r.results[i] = nil
		r.mu.Unlock()
		r.release(i, free)
	}
}
