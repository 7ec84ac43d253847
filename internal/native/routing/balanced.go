package routing

import "math/rand/v2"

// Rule: which target of a pool an attempt gets.
//
// Inputs, in the order in which they count: which candidates are free (their slots
// against the node's own calls of this moment and the others' of the last report);
// the data centre, until the load of the own one reaches localSpill; the target that
// rendezvous hashing gives the prefix, while its load is within affinityBound of the
// average; the lowest score of two candidates drawn at random; the lowest score of
// all. A score is the load with this attempt over the slots, times the slowness.
// Without a prefix the third does not apply, without reports foreign load is 0,
// without finished attempts slowness is 1.
//
// Why so: docs/decisions/0007-routing.md. Always taking the least loaded target
// would send all nodes to one on the same old report; leaving the prefix's target
// costs the engine its prefix cache; leaving the data centre costs the distance.
const (
	// affinityBound is how far above the average load the preferred target of a prefix may
	// be before the attempt goes elsewhere.
	affinityBound = 1.25
	// localSpill is the load of the local data centre, as a share of its slots, from which
	// other data centres are considered too. Half the load instead gave no gain.
	localSpill = 0.9
	// minimumSlowness keeps a target whose times were far below the expected ones from
	// getting everything.
	minimumSlowness = 0.1
)

// Balanced samples free candidates and takes the best, keeps a prefix at its
// preferred target while that is not overloaded, and stays in the data centre
// while that has free slots. It is the policy of the product.
type Balanced struct{}

func (Balanced) isPolicy() {}

// score is lower for a better target.
func (c Candidate) score() float64 {
	return (c.Load() + 1) / float64(c.Slots) * max(c.Slowness, minimumSlowness)
}

// balanced returns the index of the chosen candidate, or -1 when none is free.
func balanced(cs []Candidate, q Query, rng *rand.Rand) int {
	local, rest := split(cs)
	near := local
	if len(local) == 0 || full(cs, local) {
		near = append(local, rest...)
	}
	if i := preferred(cs, near, q.Prefix); i >= 0 {
		return i
	}
	if i := bestOfSample(cs, near, rng); i >= 0 {
		return i
	}
	return bestOfSample(cs, rest, rng)
}

// split returns the indexes of the local candidates and of the others.
func split(cs []Candidate) (local, rest []int) {
	local = make([]int, 0, len(cs))
	for i := range cs {
		if cs[i].Local {
			local = append(local, i)
		} else {
			rest = append(rest, i)
		}
	}
	return local, rest
}

// full says whether the candidates at the indexes are close to their slots.
func full(cs []Candidate, indexes []int) bool {
	load, slots := totals(cs, indexes)
	return load >= localSpill*slots
}

// totals sums the loads and slots of the candidates at the indexes, in calls.
func totals(cs []Candidate, indexes []int) (load, slots float64) {
	for _, i := range indexes {
		load += cs[i].Load()
		slots += float64(cs[i].Slots)
	}
	return load, slots
}

// preferred returns the target that rendezvous hashing gives the prefix, or -1
// when there is no prefix or the target is not free or too loaded.
func preferred(cs []Candidate, indexes []int, prefix uint64) int {
	if prefix == 0 || len(indexes) == 0 {
		return -1
	}
	chosen := indexes[0]
	for _, i := range indexes {
		if Weight(prefix, cs[i].Hash) > Weight(prefix, cs[chosen].Hash) {
			chosen = i
		}
	}
	load, slots := totals(cs, indexes)
	bound := affinityBound*(load+1)/slots*float64(cs[chosen].Slots) + 1
	if !cs[chosen].Free() || cs[chosen].Load() > bound {
		return -1
	}
	return chosen
}

// bestOfSample compares a few of the candidates at the indexes by score, and
// all of them when none of the few is free.
func bestOfSample(cs []Candidate, indexes []int, rng *rand.Rand) int {
	if len(indexes) == 0 {
		return -1
	}
	chosen := -1
	for range samples {
		chosen = better(cs, chosen, indexes[rng.IntN(len(indexes))])
	}
	if chosen >= 0 {
		return chosen
	}
	for _, i := range indexes {
		chosen = better(cs, chosen, i)
	}
	return chosen
}

// better returns i when that candidate is free and has a lower score than chosen,
// which may be -1, and else chosen.
func better(cs []Candidate, chosen, i int) int {
	if !cs[i].Free() {
		return chosen
	}
	if chosen < 0 || cs[i].score() < cs[chosen].score() {
		return i
	}
	return chosen
}
