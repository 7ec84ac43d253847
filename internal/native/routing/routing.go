// Package routing chooses the target for one call from what is known of a
// pool's targets. It does no input or output and reads no clock.
//
// A node's own calls in flight are known exactly; everything else is an
// estimate with an age. A report's share of foreign load fades with its age,
// because many nodes that act on one old report would all choose one target.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportHalfLife is the age at which a report's foreign load counts half.
	reportHalfLife = 2 * time.Second
	// reportExpiry is the age past which a report counts nothing.
	reportExpiry = 10 * time.Second
	// probeAfter is how long a node leaves a target alone that others seem to
	// fill, before it tries it all the same.
	probeAfter = time.Second
	// affinityBound is how far above the average load the preferred target of
	// a prefix may be before the prefix goes elsewhere.
	affinityBound = 1.25
	// localSpill is the load of the local data centre, as a share of its
	// slots, from which other data centres are considered too.
	localSpill = 0.9
	// samples is how many targets are compared.
	samples = 2
)

// Candidate is what a node knows of one target. It is immutable.
type Candidate struct {
	// Name names the target.
	Name string
	// Hash is the xxhash of the name.
	Hash uint64
	// Local is true in the node's own data centre.
	Local bool
	// Slots is how many calls the target works on at once.
	Slots int
	// InFlight counts this node's own calls.
	InFlight int
	// Foreign is the load of others at the time of the report.
	Foreign int
	// ReportAge is the age of the report; negative when there is none.
	ReportAge time.Duration
	// Idle is the time since this node last gave the target a call.
	Idle time.Duration
	// Slowness is the target's mean time relative to its pool's; 1 is average.
	Slowness float64
}

// Load estimates the calls at the target: the node's own and the fading share
// of others'.
func (c Candidate) Load() float64 {
	return float64(c.InFlight) + c.foreign()
}

func (c Candidate) foreign() float64 {
	if c.ReportAge < 0 || c.ReportAge > reportExpiry {
		return 0
	}
	return float64(c.Foreign) * math.Exp2(-c.ReportAge.Seconds()/reportHalfLife.Seconds())
}

// Free says whether the target has a free slot by that estimate. A foreign load
// closes a target only for a while: the report may be wrong, and the target can
// refuse.
func (c Candidate) Free() bool {
	if c.Load() < float64(c.Slots) {
		return true
	}
	return c.InFlight == 0 && c.Idle > probeAfter
}

// score is lower for a better target.
func (c Candidate) score() float64 {
	return (c.Load() + 1) / float64(c.Slots) * max(c.Slowness, 0.1)
}

// Policy chooses one of the free candidates.
type Policy interface{ isPolicy() }

// Balanced samples free candidates and takes the best, keeps a prefix at its
// preferred target while that is not overloaded, and stays in the data centre
// while it has room. It is the policy of the product.
type Balanced struct{}

// Random takes any free candidate. It is a baseline.
type Random struct{}

// RoundRobin takes the free candidates in turn. It is a baseline.
type RoundRobin struct{}

// LeastOutstanding takes the one with the fewest own calls. It is a baseline.
type LeastOutstanding struct{}

// TwoChoices samples two and takes the one with fewer own calls. It is a
// baseline.
type TwoChoices struct{}

func (Balanced) isPolicy()         {}
func (Random) isPolicy()           {}
func (RoundRobin) isPolicy()       {}
func (LeastOutstanding) isPolicy() {}
func (TwoChoices) isPolicy()       {}

// Query is what one call wants.
type Query struct {
	// Prefix is the hash of the text that the call starts with; 0 for none.
	Prefix uint64
	// Turn counts the calls of the pool, for RoundRobin.
	Turn uint64
}

// Hash hashes a name or prefix for use in candidates and queries.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Choose returns the index of the chosen candidate in cs, or -1 when none is
// free.
func Choose(policy Policy, cs []Candidate, q Query, rng *rand.Rand) int {
	switch policy.(type) {
	case Random:
		return pickFree(cs, rng.IntN)
	case RoundRobin:
		return pickFree(cs, func(n int) int { return int(q.Turn % uint64(n)) })
	case LeastOutstanding:
		return best(cs, ownCalls)
	case TwoChoices:
		return sampled(cs, rng, ownCalls)
	default:
		return balanced(cs, q, rng)
	}
}

func ownCalls(c Candidate) float64 { return float64(c.InFlight) }

// pickFree returns the free candidate that pick chooses among n.
func pickFree(cs []Candidate, pick func(n int) int) int {
	n := 0
	for i := range cs {
		if cs[i].Free() {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := pick(n)
	for i := range cs {
		if !cs[i].Free() {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// best returns the free candidate with the lowest cost.
func best(cs []Candidate, cost func(Candidate) float64) int {
	chosen := -1
	for i := range cs {
		if cs[i].Free() && (chosen < 0 || cost(cs[i]) < cost(cs[chosen])) {
			chosen = i
		}
	}
	return chosen
}

// sampled compares a few candidates and falls back to all of them when none of
// the few is free.
func sampled(cs []Candidate, rng *rand.Rand, cost func(Candidate) float64) int {
	if len(cs) == 0 {
		return -1
	}
	chosen := -1
	for range samples {
		i := rng.IntN(len(cs))
		if cs[i].Free() && (chosen < 0 || cost(cs[i]) < cost(cs[chosen])) {
			chosen = i
		}
	}
	if chosen >= 0 {
		return chosen
	}
	return pickFree(cs, rng.IntN)
}

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

// Weight mixes two hashes for rendezvous hashing; the multiplier and shifts are those of MurmurHash3's
// 64-bit finaliser.
func Weight(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
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

func better(cs []Candidate, chosen, i int) int {
	if !cs[i].Free() {
		return chosen
	}
	if chosen < 0 || cs[i].score() < cs[chosen].score() {
		return i
	}
	return chosen
}
