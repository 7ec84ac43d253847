package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
)

const (
	// usualWeight is the weight of the newest response in the usual response time of a service.
	// It is low because the speed of a single target must not change what is usual.
	usualWeight = 0.05
	// maxUsualRatio bounds a sample of the usual response time, as a multiple of it. Without the
	// bound, one call of 30 s made a service whose calls take 20 ms seem five times as fast as usual
	// for about 90 calls.
	maxUsualRatio = 5
	// SampleSize is the number of targets that report their speed among which a node chooses
	// (Query.Sample).
	SampleSize = 3
)

// RecordSpeed records how long the answer of a target of a plain service took, and the slowdown
// that it reported; 0 for none. It does nothing for targets that report nothing. An answer that took
// no time by the clock is no sample of what is usual: a ratio to 0 is not a number.
func (t *TargetTable) RecordSpeed(now time.Time, service string, l directory.Incarnation, took time.Duration, slowdown float64) {
	s := t.statsOf(l)
	if took <= 0 || (slowdown == 0 && !s.reports.Known()) {
		return
	}
	usual := t.usualSeconds[service]
	if usual == 0 {
		usual = took.Seconds() / max(slowdown, 1)
	}
	ratio := took.Seconds() / usual
	s.reports = s.reports.WithAnswer(targetspeed.Answer{At: now, Reported: slowdown, Took: ratio, Observed: s.calls.At(now)})
	if !s.reports.Known() {
		// A report that is not believed must not make known what is usual for the service.
		s.calls = targetspeed.Calls{}
		return
	}
	s.service = service
	s.calls = s.calls.With(now, ratio)
	t.usualSeconds[service] = usual + usualWeight*(min(took.Seconds()/s.slowdownAt(now), maxUsualRatio*usual)-usual)
}

// slowdownAt returns how many times the usual response time a target takes.
func (s *stats) slowdownAt(now time.Time) float64 { return s.reports.At(now, s.calls.At(now)) }

// knowsSpeed reports whether a target reports its speed, or has no results yet and belongs to a
// service whose targets report it. Such a target is expected to be as fast as usual: if it were
// tried first, as targets of other services are, all nodes would try it at once.
func (t *TargetTable) knowsSpeed(service string, s *stats) bool {
	return s.reports.Known() || (s.updatedAt.IsZero() && t.usualSeconds[service] > 0)
}

// expectedLatency returns the response time of a target in seconds: the usual one of the
// service times its slowdown (knowsSpeed), or the average of its calls.
func (t *TargetTable) expectedLatency(now time.Time, service string, s *stats) float64 {
	if !t.knowsSpeed(service, s) {
		return s.latencyAt(now)
	}
	return t.usualSeconds[service] * s.slowdownAt(now)
}

// sample returns the targets among which LeastLoaded chooses: all that report nothing, are cold
// or are preferred, and a random sample of the others of the lowest tier.
//
// Nodes that know the same choose the same target if they all take the best one, and it is
// overloaded before any of them learns of that. A sample that is too small often has no good
// target; one that is too large leads to the same choice at many nodes.
func (t *TargetTable) sample(now time.Time, targets []directory.Target, q Query, subset []bool) []candidate {
	list := make([]candidate, 0, len(targets))
	var drawn []candidate
	lowest, seen := tierHealthy, 0
	for i := range targets {
		c := &targets[i]
		s := t.statsOf(c.Incarnation())
		if q.Sample == 0 || !t.knowsSpeed(c.Service, s) || now.Before(c.ColdUntil) || slices.Contains(q.Prefer, c.ID) {
			list = append(list, candidate{index: i})
			continue
		}
		if slices.Contains(q.Exclude, c.ID) || !c.Usable(now) || !hasVersion(*c, q.Version) {
			continue
		}
		tier := s.tierInSubset(now, c.State, q.MaxInflight, subset == nil || subset[i])
		if seen == 0 || tier < lowest {
			lowest, seen, drawn = tier, 0, drawn[:0]
		}
		if tier > lowest {
			continue
		}
		seen++
		if len(drawn) < q.Sample {
			drawn = append(drawn, candidate{index: i})
		} else if k := q.Random(seen); k < q.Sample {
			drawn[k] = candidate{index: i}
		}
	}
	return append(list, drawn...)
}

// Speeds describes the targets that report their speed.
func (t *TargetTable) Speeds(now time.Time) []targetspeed.View {
	var list []targetspeed.View
	for l, s := range t.targets {
		if s.reports.Known() {
			list = append(list, s.reports.View(now, l.String(), s.calls.At(now)))
		}
	}
	return list
}
