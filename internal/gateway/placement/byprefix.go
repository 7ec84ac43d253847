package placement

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Weights of ByPrefix, in milliseconds of an engine's work. They differ from those
// of EngineChooser.Place for like things: this rule does not know what an engine
// has to prefill or has cached, and guesses the one from calls outstanding and the
// other from the rank for the session.
const (
	// fullCost is the cost of an engine whose slots are all in use, in proportion for
	// fewer or more calls: about the seconds that a request waits there for a slot.
	fullCost = 1500.0
	// failingCost is the cost of an engine that only fails, in proportion for one that
	// fails at times: more than any engine that is full, less than two of them.
	failingCost = 2 * fullCost
	// busyShare is the share of an engine's slots beyond which each call costs busyCost
	// besides: other nodes send it calls that this one does not know yet.
	busyShare = 0.75
	// busyCost is the cost of each call outstanding beyond busyShare of the slots, about a
	// third of a rank of a usual prompt.
	busyCost = 100.0
	// rankTokensCost is the cost of a thousand shared tokens for each rank that an engine
	// is behind the first for the session: it has probably to prefill them, in some 18 ms.
	// It replaced a flat cost of 60 a rank together with other changes; what it brings
	// alone was not measured.
	rankTokensCost = 250.0
	// minRankCost is the least cost of a rank, which keeps the sessions with short prompts
	// together too.
	minRankCost = 30.0
	// maxRanks bounds the ranks that count, so that a session whose first engines are busy
	// may go to any other.
	maxRanks = 3
)

// tokensPerUnit is the unit of the costs of tokens, in both rules for engines.
const tokensPerUnit = 1000

// ByPrefix chooses an engine when this node chooses on its own, because the
// service's coordinator did not answer. It returns false when no usable engine is
// left.
//
// The tier counts first (see tier). Within a tier the least cost wins: the calls
// outstanding for each slot, those beyond busyShare of the slots, failures, results
// that cross data centres, and the rank of the engine for the session, which all
// nodes compute alike without any exchange. Calls outstanding include those of other
// nodes while the engine's last report is not older than maxLoadAge; failures are
// of this node's own calls.
//
// Without any of this a session's prompts go to its first engine. A wrong answer
// costs a prompt that is prefilled twice, or one that waits behind others for its
// first event: when all nodes chose by this rule alone, one prompt in ten waited
// 1,000 ms from its last stage, where 270 ms was the median. See docs/decisions/0014.
func (t *TargetTable) ByPrefix(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	if len(targets) == 0 {
		return directory.Target{}, false
	}
	index := t.indexOf(targets)
	inputs := newTransfer(q.InputBytes)
	rankCost := max(rankTokensCost*float64(q.SharedTokens)/tokensPerUnit, minRankCost)
	assess := func(r ranked, c *directory.Target) assessment {
		s := t.of(c.Incarnation())
		cost := s.engineLoad(now, c.Slots)
		cost += inputs.cost(c.DataCentre)
		if q.Key != 0 {
			cost += rankCost * float64(min(r.rank, maxRanks))
		}
		return assessment{tier: s.tier(now, c.State, q.MaxInflight), cost: cost}
	}
	chosen, found := bestOf(now, targets, index.shortlist(q.Key), q.Exclude, q.allows(now), assess)
	if index.isLong() && (!found || chosen.tier != healthy) {
		chosen, found = bestOf(now, targets, index.all(q.Key), q.Exclude, q.allows(now), assess)
	}
	target, found := targetAt(targets, chosen.index, found)
	return q.sent(now, target, found)
}

// indexOf returns the index of a service's engines, of which there is one at least.
func (t *TargetTable) indexOf(engines []directory.Target) *engineIndex {
	service := engines[0].Service
	t.indexes[service] = t.indexes[service].of(engines)
	return t.indexes[service]
}

// engineLoad is the cost of an engine's load and failures, in milliseconds.
func (s *stats) engineLoad(now time.Time, configuredSlots int32) float64 {
	outstanding, slots := s.outstanding(now), s.slots(configuredSlots)
	cost := fullCost * outstanding / slots
	cost += busyCost * max(outstanding-busyShare*slots, 0)
	cost += failingCost * s.failing
	return cost
}
