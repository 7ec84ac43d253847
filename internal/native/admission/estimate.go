package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Rule: how long a stage takes.
//
// It gives the expected time of one attempt of a stage. Inputs, in the order in
// which they count: the mean time of the node's own successful attempts of that
// stage with work of the same size class (input bytes, or the most tokens of an
// engine, by powers of two; an exponentially weighted mean, so old attempts fade
// with the number of attempts and not with time); else the mean of the nearest
// class, the smaller one first; and never less than the bundle's minimumMs.
// Without any attempt it is that minimum.
//
// Failed attempts do not count: how long a failure took says nothing about the
// work. Why so: docs/decisions/0008-holding-and-refusing.md. An estimate that is
// too low admits requests that end late; one that is too high refuses requests
// that fit.
const (
	// learnRate is the weight of a new observation in the moving means, a share.
	learnRate = 0.1
	// sizeClasses is how many classes of work size there are: one for each power of
	// two up to 4 GiB, derived from the bits of a size.
	sizeClasses = 33
)

// estimator learns how long stages take, by the class of their work size.
type estimator map[stageKey]*stageTimes

type stageKey struct {
	pipeline string
	stage    string
}

// stageTimes holds the mean time of each class of work size, in seconds.
type stageTimes [sizeClasses]movingMean

// movingMean is an exponentially weighted mean.
type movingMean struct {
	seen bool
	mean float64
}

func (m *movingMean) add(x float64) {
	if !m.seen {
		m.seen = true
		m.mean = x
		return
	}
	m.mean += learnRate * (x - m.mean)
}

func sizeClass(size int) int { return min(bits.Len(uint(max(size, 0))), sizeClasses-1) }

// learn counts the time of one successful attempt.
func (e estimator) learn(p *bundle.PipelinePlan, stage, size int, took time.Duration) {
	key := stageKey{p.Name, p.Stages[stage].Name}
	t := e[key]
	if t == nil {
		t = &stageTimes{}
		e[key] = t
	}
	t[sizeClass(size)].add(took.Seconds())
}

// estimate returns the expected time of a stage with work of size.
func (e estimator) estimate(p *bundle.PipelinePlan, stage, size int) time.Duration {
	spec := p.Stages[stage]
	least := time.Duration(spec.MinimumMs) * time.Millisecond
	t := e[stageKey{p.Name, spec.Name}]
	if t == nil {
		return least
	}
	return max(least, t.nearest(sizeClass(size)))
}

// nearest returns the mean of the class, or of the nearest one that was seen.
func (t *stageTimes) nearest(class int) time.Duration {
	for d := range sizeClasses {
		for _, c := range [2]int{class - d, class + d} {
			if c >= 0 && c < sizeClasses && t[c].seen {
				return saturate.Duration(t[c].mean * float64(time.Second))
			}
		}
	}
	return 0
}

// workSize is the work of a stage for a request with size bytes of input.
func workSize(p *bundle.PipelinePlan, stage, size int) int {
	if tokens := p.Stages[stage].MaxTokens; tokens > 0 {
		return tokens
	}
	return size
}

// learn counts a successful attempt for its stage and for its target's slowness.
func (c *Core) learn(it *item, t *target, took time.Duration) {
	if it.expected > 0 {
		t.slowness.add(took.Seconds() / it.expected.Seconds())
	}
	c.times.learn(it.Pipeline, it.Stage, it.Size, took)
}

// remaining predicts, for each stage of a request, the time from its submission to
// the end of the pipeline: its own wait and time, and the longest of the stages
// that need it. A pool that is not in the bundle adds no wait.
func (c *Core) remaining(now time.Time, organisation string, p *bundle.PipelinePlan, size int, deadline time.Time) []time.Duration {
	left := make([]time.Duration, len(p.Stages))
	for _, i := range slices.Backward(p.Order) {
		left[i] = c.times.estimate(p, i, workSize(p, i, size)) + remainingAfter(p, i, left)
		if pl := c.pools[p.Stages[i].Pool]; pl != nil {
			left[i] += pl.wait(now, c.shedder.nodes, organisation, c.weight(organisation), deadline.Add(-left[i]))
		}
	}
	return left
}

// remainingAfter returns the longest time left among the stages that need stage i.
func remainingAfter(p *bundle.PipelinePlan, i int, left []time.Duration) time.Duration {
	var longest time.Duration
	for j, s := range p.Stages {
		if slices.Contains(s.Needs, p.Stages[i].Name) {
			longest = max(longest, left[j])
		}
	}
	return longest
}
