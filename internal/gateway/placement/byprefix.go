package placement

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Weights of ByPrefix, in milliseconds of an engine's work. They differ from the corresponding
// weights of EngineChooser.Place because this rule does not know the backlog and the cache
// state of engines. It estimates the former from the outstanding calls, and the latter from
// the rank for the session.
const (
	// fullCost is the cost of an engine whose slots are all in use. The cost is proportional
	// to the number of calls. It is about the time that a request waits there for a slot.
	fullCost = 1500.0
	// failureCost is the cost of an engine on which all calls fail. The cost is proportional
	// to the failure rate. It exceeds the cost of a full engine, but not that of an engine
	// with twice as many calls.
	failureCost = 2 * fullCost
	// busyShare is the fraction of an engine's slots beyond which each call also costs
	// busyCost, because other nodes send calls that this node does not know of yet.
	busyShare = 0.75
	// busyCost is the cost of each outstanding call beyond busyShare of the slots. It is about
	// a third of the cost of a rank for a typical prompt.
	busyCost = 100.0
	// rankCostPerUnit is the cost of a thousand shared tokens for each rank that an engine is
	// behind the first engine of the session. The engine probably has to prefill them, which
	// takes about 18 ms.
	rankCostPerUnit = 250.0
	// minRankCost is the minimum cost of a rank. It keeps sessions with short prompts on one
	// engine too.
	minRankCost = 30.0
	// maxRanks is the rank from which on the cost no longer increases, so that a session whose
	// first engines are busy may go to any other engine.
	maxRanks = 3
)

// tokensPerUnit is the number of tokens to which token costs apply, in both rules for engines.
const tokensPerUnit = 1000

// ByPrefix selects an engine if this node selects on its own because the coordinator of the
// service did not respond. It returns false if no usable engine is left.
//
// Engines are compared by tier, then by cost. The cost includes the outstanding calls per
// slot, the calls beyond busyShare of the slots, failures, results that cross data centres,
// and the rank of the engine for the session, which all nodes compute identically without
// communication. Outstanding calls include those of other nodes while the engine's last
// report is not older than maxLoadAge. Failures only cover this node's own calls.
//
// Without any statistics the prompts of a session go to its first engine. A poor selection
// results in a repeated prefill, or in a prompt that waits behind others for its first event.
// If all nodes use only this rule, one prompt in ten waits 1,000 ms or more from the end of the
// preceding step of its request to its first event, with a median of 270 ms. See
// docs/decisions/0014.
//
// If there are many engines, only a shortlist is scored (engineIndex). All engines are scored
// if no engine of the shortlist is healthy (tierHealthy).
func (t *TargetTable) ByPrefix(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	if len(targets) == 0 {
		return directory.Target{}, false
	}
	index := t.indexOf(targets)
	inputs := newInputLocation(q.InputBytes)
	rankCost := max(rankCostPerUnit*float64(q.SharedTokens)/tokensPerUnit, minRankCost)
	scoreOf := func(cand candidate, c *directory.Target) score {
		s := t.statsOf(c.Incarnation())
		cost := s.loadCost(now, c.Slots)
		cost += inputs.cost(c.DataCentre)
		if q.Key != 0 {
			cost += rankCost * float64(min(cand.rank, maxRanks))
		}
		return score{tier: s.tier(now, c.State, q.MaxInflight), cost: cost}
	}
	chosen, found := bestAmong(now, targets, index.shortlist(q.Key), q.Exclude, q.filter(now), scoreOf)
	if index.needsShortlist() && (!found || chosen.tier != tierHealthy) {
		chosen, found = bestAmong(now, targets, index.all(q.Key), q.Exclude, q.filter(now), scoreOf)
	}
	target, found := targetAt(targets, chosen.index, found)
	return q.countSent(now, target, found)
}

// indexOf returns the index of the engines of a service. engines must not be empty.
func (t *TargetTable) indexOf(engines []directory.Target) *engineIndex {
	service := engines[0].Service
	t.indexes[service] = t.indexes[service].forEngines(engines)
	return t.indexes[service]
}

// loadCost returns the cost of an engine's load and failures, in milliseconds.
func (s *stats) loadCost(now time.Time, configuredSlots int32) float64 {
	outstanding, slots := s.outstanding(now), s.slots(configuredSlots)
	cost := fullCost * outstanding / slots
	cost += busyCost * max(outstanding-busyShare*slots, 0)
	cost += failureCost * s.failureRateAt(now)
	return cost
}
