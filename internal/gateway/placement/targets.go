package placement

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// How what was learnt of a target ages.
const (
	// latencyWeight is the weight of the newest answer in the average latency, a share:
	// five answers make up two thirds of it.
	latencyWeight = 0.2
	// failureWeight is the weight of the newest outcome in the average of failures, a
	// share: two failures in a row lead to ejection.
	failureWeight = 2 * latencyWeight
	// halfLife is the time in which a learnt latency or average of failures loses half its
	// weight, so that a target that was slow is tried again after some seconds. A latency
	// ages by the time of each choice; failures age only when the next call ends, so a
	// target that failed keeps its average while it is not called.
	halfLife = 3 * time.Second
	// maxLoadAge is how long a reported load counts; after that only this node's own calls
	// do. A plain call takes some 20 ms, so that an older report says nothing of the
	// queue.
	maxLoadAge = 500 * time.Millisecond
	// defaultSlots is the number of calls at a time assumed of a target for which neither
	// a report nor the directory gives one.
	defaultSlots = 4
)

// Load is what a target reported of itself, in calls of all nodes.
type Load struct {
	// Running is how many calls the target works on.
	Running int
	// Waiting is how many calls wait at the target.
	Waiting int
	// Slots is how many calls the target works on at a time; 0 for unknown.
	Slots int
}

// TargetTable is what a node learnt of all targets, by its own calls and by what
// answers reported, by their lives. It is not safe for concurrent use.
type TargetTable struct {
	targets map[directory.Incarnation]*stats
	// indexes are those of the engines of each service.
	indexes map[string]*engineIndex
}

// stats is what a node learnt of one target.
type stats struct {
	// inflight is how many calls of this node the target works on.
	inflight int
	// latency is the average time of an answer, in seconds; 0 for unknown.
	latency float64
	// failing is the average of failures, from 0 for none to 1 for nothing else.
	failing float64
	// learntAt is when latency and failing were last added to.
	learntAt time.Time
	// load is what the target last reported, at loadAt.
	load   Load
	loadAt time.Time
	// sentSinceLoad counts this node's calls since that report.
	sentSinceLoad int
	outlier       outlier
}

// NewTargetTable returns an empty table.
func NewTargetTable() *TargetTable {
	return &TargetTable{targets: map[directory.Incarnation]*stats{}, indexes: map[string]*engineIndex{}}
}

func (t *TargetTable) of(l directory.Incarnation) *stats {
	s := t.targets[l]
	if s == nil {
		s = &stats{}
		t.targets[l] = s
	}
	return s
}

// RecordStart counts a call that is being sent to a target.
func (t *TargetTable) RecordStart(l directory.Incarnation) {
	s := t.of(l)
	s.inflight++
	s.sentSinceLoad++
	s.outlier.sent()
}

// RecordEnd counts the end of a call that took some time. A failure is the target's
// own: no answer, a broken one, or one that says that the target is in trouble.
func (t *TargetTable) RecordEnd(now time.Time, l directory.Incarnation, took time.Duration, failed bool) {
	s := t.of(l)
	s.inflight--
	s.failing *= remainingWeight(now, s.learntAt)
	s.learntAt = now
	if s.latency == 0 {
		s.latency = took.Seconds()
	}
	s.latency += latencyWeight * (took.Seconds() - s.latency)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failing += failureWeight * (outcome - s.failing)
	s.outlier.ended(now, failed, s.failing)
}

// RecordLoad takes in the load that a target reported.
func (t *TargetTable) RecordLoad(now time.Time, l directory.Incarnation, load Load) {
	s := t.of(l)
	s.load = load
	s.loadAt = now
	s.sentSinceLoad = 0
}

// Prune forgets lives that have ended, of which no call is left.
func (t *TargetTable) Prune(d *directory.Directory) {
	for l, s := range t.targets {
		if !d.IsCurrent(l) && s.inflight <= 0 {
			delete(t.targets, l)
		}
	}
}

// remainingWeight is the share of its weight that something learnt earlier still
// has, by halfLife; 0 when it was never learnt.
func remainingWeight(now, learntAt time.Time) float64 {
	if learntAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(learntAt).Seconds() / halfLife.Seconds())
}

// outstanding estimates how many calls the target has to work on: at least those
// of this node, and all that a fresh report and the calls since add up to.
func (s *stats) outstanding(now time.Time) float64 {
	own := float64(s.inflight)
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > maxLoadAge {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSinceLoad))
}

// slots returns how many calls the target works on at a time: as it last reported,
// however long ago, else as configured, else defaultSlots.
func (s *stats) slots(configured int32) float64 {
	switch {
	case s.load.Slots > 0:
		return float64(s.load.Slots)
	case configured > 0:
		return float64(configured)
	}
	return defaultSlots
}
