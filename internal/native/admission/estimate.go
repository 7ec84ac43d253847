package admission

import (
	"math/bits"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// learnRate is the weight of a new observation in the moving means.
	learnRate = 0.1
	// sizeClasses bounds the classes of work size, one for each power of two.
	sizeClasses = 33
)

// estimator learns how long stages take, by the class of their work size.
type estimator struct {
	stages map[stageKey]*stageTimes
}

type stageKey struct {
	pipeline string
	stage    string
}

type stageTimes struct {
	classes [sizeClasses]movingMean
}

// movingMean is an exponentially weighted mean, in seconds.
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

func newEstimator() *estimator {
	return &estimator{stages: make(map[stageKey]*stageTimes)}
}

func sizeClass(size int) int { return min(bits.Len(uint(max(size, 0))), sizeClasses-1) }

// learn takes in the time of one successful attempt.
func (e *estimator) learn(p *bundle.PipelinePlan, stage, size int, took time.Duration) {
	key := stageKey{p.Name, p.Stages[stage].Name}
	t := e.stages[key]
	if t == nil {
		t = &stageTimes{}
		e.stages[key] = t
	}
	t.classes[sizeClass(size)].add(took.Seconds())
}

// estimate returns the expected time of a stage: the mean of its size class,
// else of the nearest class known, and never below the bundle's minimum.
func (e *estimator) estimate(p *bundle.PipelinePlan, stage, size int) time.Duration {
	spec := p.Stages[stage]
	least := time.Duration(spec.MinimumMs) * time.Millisecond
	t := e.stages[stageKey{p.Name, spec.Name}]
	if t == nil {
		return least
	}
	return max(least, t.nearest(sizeClass(size)))
}

func (t *stageTimes) nearest(class int) time.Duration {
	for d := range sizeClasses {
		for _, c := range [2]int{class - d, class + d} {
			if c >= 0 && c < sizeClasses && t.classes[c].seen {
				return time.Duration(t.classes[c].mean * float64(time.Second))
			}
		}
	}
	return 0
}
