package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

const (
	// slowdownWeight is the weight of the newest batch in a learnt slowdown, as a
	// fraction: two batches make up two thirds of it, so that a target that turns slow is
	// passed over after two of its batches.
	slowdownWeight = 0.4
	// slowdownHalfLife is the time in which a learnt slowdown loses half of its distance
	// from 1: a target that was five times as slow is tried again after some seconds. Half
	// of it sends a slow target a batch twice as often; twice as long leaves a target idle
	// that has recovered.
	slowdownHalfLife = 4 * time.Second
	// decayPerHalfLife is what a half-life leaves, by its definition.
	decayPerHalfLife = 0.5
	// minSlowdown is the least that one batch may teach, as a factor of the catalog's
	// time, so that a single odd measurement, such as an answer of refused items, does not
	// decide for long.
	minSlowdown = 0.3
	// maxSlowdown is the most, for the same reason: a batch that was stuck for seconds.
	maxSlowdown = 20
)

// slowdown is the learnt speed of one target: how many times as long as the
// catalog says its batches take. 1 is as fast as the catalog says, more is
// slower. Create it with newSlowdown.
//
// It decides how long a batch should take at a target (expectedDuration), and through
// that which target is preferred, when a batch counts as stuck and how large the
// backlog is. Its input is the time that batches took, from their sending to
// their answer; a batch that counts as stuck teaches the time that it has
// outlasted. What was learnt counts less with its age: after one half-life half
// of its distance from 1 is left. Without a measurement it is 1. Targets do not
// report their speed, and one that was slow is used less, so without the ageing
// it would never be measured again.
//
// A value that is too high leaves a target idle and detects a stuck batch late;
// one that is too low sends items to a slow target and retries them for nothing.
type slowdown struct {
	// factor is the value at learntAt.
	factor    float64
	updatedAt time.Time
}

func newSlowdown() slowdown { return slowdown{factor: 1} }

// at returns the slowdown as of now.
func (s *slowdown) at(now time.Time) float64 {
	age := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || age <= 0 {
		return s.factor
	}
	kept := 1.0
	for age > slowdownHalfLife {
		kept *= decayPerHalfLife
		age -= slowdownHalfLife
	}
	// Within a half-life it is linear.
	kept *= 1 - (1-decayPerHalfLife)*float64(age)/float64(slowdownHalfLife)
	return 1 + (s.factor-1)*kept
}

// observe takes in a batch that took a time and should have taken another by the
// catalog.
func (s *slowdown) observe(now time.Time, took, nominal time.Duration) {
	newest := min(max(float64(took)/float64(nominal), minSlowdown), maxSlowdown)
	s.factor = s.at(now)*(1-slowdownWeight) + newest*slowdownWeight
	s.updatedAt = now
}

// nominalDuration returns how long a batch of n items should take by the catalog.
func nominalDuration(spec *catalog.Batch, n int) time.Duration {
	return spec.CallLatency + time.Duration(n)*spec.PerItem
}

// expectedDuration returns how long a batch of n items should take at this target.
func (t *target) expectedDuration(now time.Time, spec *catalog.Batch, n int) time.Duration {
	return time.Duration(float64(nominalDuration(spec, n)) * t.slowdown.at(now))
}

// expectedSingle returns how long a batch of one item should take at this target.
func (t *target) expectedSingle(now time.Time, spec *catalog.Batch) time.Duration {
	return t.expectedDuration(now, spec, 1)
}

// expectedFull returns how long a full batch should take at this target.
func (t *target) expectedFull(now time.Time, spec *catalog.Batch) time.Duration {
	return t.expectedDuration(now, spec, spec.MaxItems)
}
