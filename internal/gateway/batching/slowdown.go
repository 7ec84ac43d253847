package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// slowdownWeight is the weight of the newest batch in a slowdown. Two batches make up
	// two thirds of it, so that a target that becomes slow is avoided after two of its
	// batches.
	slowdownWeight = 0.4
	// slowdownHalfLife is the time in which a slowdown loses half of its distance from 1.
	// A target that was five times as slow is tried again after some seconds. Half of
	// this time would send a slow target batches twice as often; twice this time would
	// leave a recovered target idle.
	slowdownHalfLife = 4 * time.Second
	// keptPerHalfLife is the fraction of the distance from 1 that is left after a
	// half-life, by its definition.
	keptPerHalfLife = 0.5
	// minSlowdown is the lower bound of the sample of one batch, so that an outlier, such
	// as an answer with refused items only, has no lasting effect.
	minSlowdown = 0.3
	// maxSlowdown is the upper bound for the same reason, such as for a batch that was
	// stuck for seconds.
	maxSlowdown = 20
)

// slowdown is an estimate of a target's speed: how many times as long as in the catalog its
// batches take. 1 is the speed in the catalog; more is slower. It is a moving average of what
// its batches show and, for targets that report their speed, what they report
// (targetspeed.Estimate). Create it with newSlowdown.
//
// It determines how long a batch should take at a target (expectedDuration), and with
// that which target is preferred, when a batch counts as stuck and how large the backlog
// is. Its samples are the times from the sending of batches to their answers; a batch
// that becomes stuck counts with the time that has passed. It decays towards 1, by half
// per half-life. Without samples it is 1. Slow targets are used less, so without the decay
// one would never be measured again.
//
// A value that is too high leaves a target idle and detects stuck batches late; one that
// is too low sends items to a slow target and retries them needlessly.
type slowdown struct {
	// factor is the value at updatedAt.
	factor    float64
	updatedAt time.Time
	reports   targetspeed.Estimate
	// cached is the result of at for cachedAt. A choice among idle targets compares each of
	// them with each busy one, and the estimate takes about 0.3 µs.
	cached   float64
	cachedAt time.Time
}

func newSlowdown() slowdown { return slowdown{factor: 1} }

// at returns the slowdown at a time.
func (s *slowdown) at(now time.Time) float64 {
	if !s.reports.Known() {
		return s.observed(now)
	}
	if !s.cachedAt.Equal(now) {
		s.cached, s.cachedAt = s.reports.At(now, s.observed(now)), now
	}
	return s.cached
}

// observed returns the slowdown at a time by the batches alone.
func (s *slowdown) observed(now time.Time) float64 {
	age := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || age <= 0 {
		return s.factor
	}
	kept := 1.0
	for age > slowdownHalfLife {
		kept *= keptPerHalfLife
		age -= slowdownHalfLife
	}
	// The decay within a half-life is linear.
	kept *= 1 - (1-keptPerHalfLife)*float64(age)/float64(slowdownHalfLife)
	return 1 + (s.factor-1)*kept
}

// observe adds a sample: how long a batch took, and its nominal duration.
func (s *slowdown) observe(now time.Time, took, nominal time.Duration) {
	newest := min(max(float64(took)/float64(nominal), minSlowdown), maxSlowdown)
	s.factor = s.observed(now)*(1-slowdownWeight) + newest*slowdownWeight
	s.updatedAt = now
	s.cachedAt = time.Time{}
}

// observeAnswer adds the sample of a batch that was answered, and the slowdown in the answer;
// 0 for none.
func (s *slowdown) observeAnswer(now time.Time, took, nominal time.Duration, reported float64) {
	s.reports = s.reports.WithAnswer(targetspeed.Answer{
		At: now, Reported: reported, Took: float64(took) / float64(nominal), Observed: s.observed(now),
	})
	s.observe(now, took, nominal)
}

// observeOverdue adds the sample of a batch that became stuck.
func (s *slowdown) observeOverdue(now time.Time, took, nominal time.Duration) {
	s.reports = s.reports.WithOverdue(now, float64(took)/float64(nominal))
	s.observe(now, took, nominal)
}

// recordReportedSlowdown records the slowdown in the answer to an inspection; 0 for none, which
// says nothing about the answers to batches.
func (t *target) recordReportedSlowdown(now time.Time, reported float64) {
	if reported > 0 {
		t.slowdown.reports = t.slowdown.reports.WithAnswer(targetspeed.Answer{At: now, Reported: reported})
		t.slowdown.cachedAt = time.Time{}
		t.speedClass = speedClassOf(t.slowdown.at(now))
	}
}

// nominalDuration returns how long a batch of n items should take by the catalog.
func nominalDuration(spec *catalog.Batch, n int) time.Duration {
	return spec.CallLatency + time.Duration(n)*spec.PerItem
}

// expectedDuration returns how long a batch of n items should take at this target.
func (t *target) expectedDuration(now time.Time, spec *catalog.Batch, n int) time.Duration {
	return saturate.Duration(float64(nominalDuration(spec, n)) * t.slowdown.at(now))
}

// expectedSingle returns how long a batch of one item should take at this target.
func (t *target) expectedSingle(now time.Time, spec *catalog.Batch) time.Duration {
	return t.expectedDuration(now, spec, 1)
}

// expectedFull returns how long a full batch should take at this target.
func (t *target) expectedFull(now time.Time, spec *catalog.Batch) time.Duration {
	return t.expectedDuration(now, spec, spec.MaxItems)
}
