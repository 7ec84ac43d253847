package placement

import (
	"maps"
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
)

// Parameters of the target statistics.
const (
	// latencyWeight is the weight of the newest response in the average latency. The last five
	// responses make up two thirds of the average.
	latencyWeight = 0.2
	// failureWeight is the weight of the newest result in the failure rate. Two failures in
	// quick succession lead to an ejection (ejectionThreshold).
	failureWeight = 2 * latencyWeight
	// statsHalfLife is the half-life of a latency or failure rate, so that a target that was slow
	// or failed is tried again after a few seconds. Both are decayed to the time of each
	// selection: a target that is not called because of them would never improve otherwise.
	statsHalfLife = 3 * time.Second
	// maxLoadAge is the maximum age of a load report. After that only this node's own calls
	// are taken into account. A plain call takes about 20 ms, so that an older report does not
	// describe the current queue.
	maxLoadAge = 500 * time.Millisecond
	// defaultSlots is the number of concurrent calls assumed for a target if neither a report
	// nor the directory specifies it.
	defaultSlots = 4
)

// Load is the load that a target reported, in calls from all nodes.
type Load struct {
	// Running is the number of calls in progress.
	Running int
	// Waiting is the number of queued calls.
	Waiting int
	// Slots is the maximum number of concurrent calls. 0 means unknown.
	Slots int
}

// TargetTable holds the statistics that a node collects about each target incarnation from
// its own calls and from the load that responses report. It is not safe for concurrent use.
type TargetTable struct {
	targets map[directory.Incarnation]*stats
	// indexes holds the index of the engines of each service.
	indexes map[string]*engineIndex
	// usualSeconds is the usual response time of the targets of each service that report
	// their speed, in seconds.
	usualSeconds map[string]float64
}

// stats holds the statistics of one target.
type stats struct {
	// inflight is the number of calls in progress from this node.
	inflight int
	// latencySeconds is the moving average of response times in seconds. 0 means unknown.
	latencySeconds float64
	// failureRate is the moving average of failures, from 0 (none) to 1 (all calls fail).
	failureRate float64
	// updatedAt is the time of the last update of latencySeconds and failureRate, from which
	// on both decay.
	updatedAt time.Time
	// load is the last load report, and loadAt its time.
	load   Load
	loadAt time.Time
	// sentSinceLoad is the number of calls sent by this node since that report.
	sentSinceLoad int
	// calls and reports are the speed of a target that reports it.
	calls   targetspeed.Calls
	reports targetspeed.Estimate
	// service is the service of such a target.
	service string
	outlier outlier
}

// NewTargetTable returns an empty table.
func NewTargetTable() *TargetTable {
	return &TargetTable{targets: map[directory.Incarnation]*stats{}, indexes: map[string]*engineIndex{}, usualSeconds: map[string]float64{}}
}

func (t *TargetTable) statsOf(l directory.Incarnation) *stats {
	s := t.targets[l]
	if s == nil {
		s = &stats{}
		t.targets[l] = s
	}
	return s
}

// RecordStart records that a call is sent to a target.
func (t *TargetTable) RecordStart(l directory.Incarnation) {
	s := t.statsOf(l)
	s.inflight++
	s.sentSinceLoad++
	s.outlier.sent()
}

// RecordEnd records the end of a call and its duration. A call counts as failed only if the target
// is at fault: it did not respond, its response was incomplete or invalid, or its response
// reports a problem of the target. Earlier results are decayed first, so that they do not regain
// the weight that they lost while the target was not called.
func (t *TargetTable) RecordEnd(now time.Time, l directory.Incarnation, took time.Duration, failed bool) {
	s := t.statsOf(l)
	s.inflight--
	s.failureRate, s.latencySeconds = s.failureRateAt(now), s.latencyAt(now)
	s.updatedAt = now
	if s.latencySeconds == 0 {
		s.latencySeconds = took.Seconds()
	}
	s.latencySeconds += latencyWeight * (took.Seconds() - s.latencySeconds)
	result := 0.0
	if failed {
		result = 1
	}
	s.failureRate += failureWeight * (result - s.failureRate)
	s.outlier.ended(now, failed, s.failureRate)
}

// RecordLoad records the load that a target reported.
func (t *TargetTable) RecordLoad(now time.Time, l directory.Incarnation, load Load) {
	s := t.statsOf(l)
	s.load = load
	s.loadAt = now
	s.sentSinceLoad = 0
}

// Prune removes target incarnations that no longer exist and have no calls in progress, and the
// usual response times of services of which no target reports its speed: with such a time a target
// without results would not be tried first (knowsSpeed).
func (t *TargetTable) Prune(d *directory.Directory) {
	for l, s := range t.targets {
		if !d.IsCurrent(l) && s.inflight <= 0 {
			delete(t.targets, l)
		}
	}
	reporting := map[string]bool{}
	for _, s := range t.targets {
		if s.reports.Known() {
			reporting[s.service] = true
		}
	}
	maps.DeleteFunc(t.usualSeconds, func(service string, _ float64) bool { return !reporting[service] })
}

// latencyAt returns the average response time in seconds, decayed to now.
func (s *stats) latencyAt(now time.Time) float64 {
	return s.latencySeconds * decayFactor(now, s.updatedAt)
}

// failureRateAt returns the failure rate, decayed to now.
func (s *stats) failureRateAt(now time.Time) float64 {
	return s.failureRate * decayFactor(now, s.updatedAt)
}

// decayFactor returns the factor by which a value has decayed since updatedAt, given
// statsHalfLife. It returns 0 if the value was never set.
func decayFactor(now, updatedAt time.Time) float64 {
	if updatedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(updatedAt).Seconds() / statsHalfLife.Seconds())
}

// outstanding estimates the number of running and queued calls of the target. It is at least
// the number of calls from this node, and at least the sum of a recent report and the calls
// sent since.
func (s *stats) outstanding(now time.Time) float64 {
	own := float64(s.inflight)
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > maxLoadAge {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSinceLoad))
}

// slots returns the maximum number of concurrent calls of the target. It is the last reported
// value regardless of its age, otherwise the configured value, otherwise defaultSlots.
func (s *stats) slots(configured int32) float64 {
	switch {
	case s.load.Slots > 0:
		return float64(s.load.Slots)
	case configured > 0:
		return float64(configured)
	}
	return defaultSlots
}
