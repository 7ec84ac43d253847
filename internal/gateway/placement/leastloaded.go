package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Parameters of LeastLoaded.
const (
	// minLatencySeconds is the minimum latency assumed for a target, in seconds. It makes a
	// target that was never or not recently called as good as one that responds in 1 ms, so
	// that each target is tried.
	minLatencySeconds = 0.001
	// failurePenalty is the additional cost of a target on which all calls fail, as a multiple
	// of the cost of its latency and load. Without it a target that fails fast would be
	// preferred.
	failurePenalty = 4
	// otherDataCentreCostSeconds is the cost of a target in another data centre, in seconds.
	// It is about the round-trip time. A lower cost causes unnecessary traffic between data
	// centres; a higher cost causes requests to wait for a busy target nearby.
	otherDataCentreCostSeconds = 0.002
)

// LeastLoaded selects the target of a plain call that is expected to respond first. It returns
// false if no usable target is left.
//
// Targets are compared by tier, then by cost in seconds. The cost is the target's latency,
// times 1 plus the outstanding calls per slot, times 1
// plus failurePenalty times the failure rate, plus otherDataCentreCostSeconds if
// applicable. For a target that reports its speed, latency is the usual one of its service times
// its slowdown (expectedLatency), and only a random sample of those targets is compared (sample).
// Latency and failure rate only cover this node's own calls, and both decay with
// statsHalfLife. Outstanding calls include those of other nodes while the target's last report
// is not older than maxLoadAge.
//
// Without any statistics the first target of the list in the node's own data centre is
// selected. If there is a Subset, its targets come first. A poor selection costs the
// difference between the response times of two targets, or an attempt if the target fails.
// See docs/decisions/0011.
func (t *TargetTable) LeastLoaded(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	subset := q.Subset.mask(targets, q.DataCentre)
	scoreOf := func(cand candidate, c *directory.Target) score {
		s := t.statsOf(c.Incarnation())
		latencySeconds := max(t.expectedLatency(now, c.Service, s), minLatencySeconds)
		cost := latencySeconds * (1 + s.outstanding(now)/s.slots(c.Slots)) * (1 + failurePenalty*s.failureRateAt(now))
		if c.DataCentre != q.DataCentre {
			cost += otherDataCentreCostSeconds
		}
		tier := s.tierInSubset(now, c.State, q.MaxInflight, subset == nil || subset[cand.index])
		if slices.Contains(q.Prefer, c.ID) {
			cost = 0
		}
		return score{tier: tier, cost: cost}
	}
	chosen, found := bestAmong(now, targets, t.sample(now, targets, q, subset), q.Exclude, q.filter(now), scoreOf)
	target, found := targetAt(targets, chosen.index, found)
	return q.countSent(now, target, found)
}
