package placement

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Figures of LeastLoaded.
const (
	// minLatency is the latency assumed of a target at least, in seconds: one that was
	// never called, or not lately, is as good as one that answers in 1 ms, so that each is
	// tried.
	minLatency = 0.001
	// failurePenalty is how many times its latency a target that only fails costs beyond
	// one that never does. A target that fails fast would look good without it.
	failurePenalty = 4
	// otherDataCentreCost is the cost of a target in another data centre, in seconds:
	// about the way there and back. Less spends bytes between data centres for nothing,
	// more waits for a near target that is busy.
	otherDataCentreCost = 0.002
)

// LeastLoaded chooses the target of a plain call: the one that should answer
// first. It returns false when no usable target is left.
//
// The tier counts first (see tier). Within a tier the least cost wins, in seconds:
// the latency of the target's answers, which loses weight by halfLife, times 1 plus
// the calls outstanding for each slot, times 1 plus failurePenalty for its failures;
// then otherDataCentreCost. Latency and failures are of this node's own calls, and
// failures do not age until the next one ends; the calls outstanding include those of
// other nodes while the target's last report is not older than maxLoadAge.
//
// Without any of this the first target of the node's own data centre in the order
// given is chosen. A wrong answer costs the difference of two targets' waiting
// times, and an attempt when the target fails. See docs/decisions/0011.
func (t *TargetTable) LeastLoaded(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	subset := q.Subset.contains(targets, q.DataCentre)
	i, found := best(now, targets, q.Exclude, q.allows(now), func(i int, c *directory.Target) assessment {
		s := t.of(c.Incarnation())
		latency := max(s.latency*remainingWeight(now, s.learntAt), minLatency)
		cost := latency * (1 + s.outstanding(now)/s.slots(c.Slots)) * (1 + failurePenalty*s.failing)
		if c.DataCentre != q.DataCentre {
			cost += otherDataCentreCost
		}
		level := s.tier(now, c.State, q.MaxInflight)
		if subset != nil && !subset[i] {
			level = max(level, outside)
		}
		return assessment{tier: level, cost: cost}
	})
	target, found := targetAt(targets, i, found)
	return q.sent(now, target, found)
}
