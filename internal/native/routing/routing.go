// Package routing chooses the target of one attempt from what a node knows of the
// targets of its pool.
//
// It owns the rule of choice and how an old load report counts; it keeps no state.
// It does no input or output and reads no clock: its caller (admission) gives it
// candidates with ages. A node's own calls are known exactly; all else is an
// estimate, and without reports the own calls alone decide. A wrong choice costs a
// wait at a loaded target or a refusal and a retry. See
// docs/decisions/0007-routing.md.
//
// balanced.go holds the rule of the product, baselines.go those that experiments
// compare it with.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How a candidate's load is estimated. A report's share of foreign load fades with
// its age, because many nodes that act on one old report would all choose one
// target.
const (
	// reportHalfLife is the age at which a report's foreign load counts half.
	reportHalfLife = 2 * time.Second
	// reportExpiry is the age past which a report counts nothing: its foreign load
	// counts 3 % by then. Derived from reportHalfLife.
	reportExpiry = 10 * time.Second
	// probeAfter is how long a node leaves a target alone that others seem to fill before
	// it tries the target all the same. Attainment with and without it differs by less
	// than the spread.
	probeAfter = time.Second
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
	// Foreign is the load of others at the time of the report, in calls.
	Foreign int
	// ReportAge is the age of the report; negative when there is none.
	ReportAge time.Duration
	// Idle is the time since this node last gave the target a call.
	Idle time.Duration
	// Slowness is the target's mean time relative to its pool's; 1 is average.
	Slowness float64
}

// Load estimates the calls at the target: the node's own and the fading share of
// those of others.
func (c Candidate) Load() float64 {
	return float64(c.InFlight) + c.foreign()
}

func (c Candidate) foreign() float64 {
	if c.ReportAge < 0 || c.ReportAge > reportExpiry {
		return 0
	}
	return float64(c.Foreign) * math.Exp2(-c.ReportAge.Seconds()/reportHalfLife.Seconds())
}

// Free says whether the target has a free slot by that estimate. Foreign load alone
// closes a target for probeAfter at most: the report may be wrong, and the target
// can refuse.
func (c Candidate) Free() bool {
	if c.Load() < float64(c.Slots) {
		return true
	}
	return c.InFlight == 0 && c.Idle > probeAfter
}

// Policy chooses one of the free candidates.
type Policy interface{ isPolicy() }

// Query is what one attempt asks for.
type Query struct {
	// Prefix is the hash of the text that the attempt starts with; 0 for none.
	Prefix uint64
	// Turn counts the choices of the pool, for RoundRobin.
	Turn uint64
}

// Hash hashes a name or prefix for use in candidates and queries.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Choose returns the index of the chosen candidate in cs, or -1 when none is
// free. Without a policy it chooses as Balanced.
func Choose(policy Policy, cs []Candidate, q Query, rng *rand.Rand) int {
	switch policy.(type) {
	case Random:
		return pickFree(cs, rng.IntN)
	case RoundRobin:
		return pickFree(cs, func(n int) int { return int(q.Turn % uint64(n)) })
	case LeastOutstanding:
		return fewestCalls(cs)
	case TwoChoices:
		return sampled(cs, rng)
	default:
		return balanced(cs, q, rng)
	}
}

// Constants of MurmurHash3's 64-bit finaliser, of which Weight is the first round.
const (
	// mixShift is in bits; its source is MurmurHash3.
	mixShift = 33
	// mixMultiplier is a factor; its source is MurmurHash3.
	mixMultiplier = 0xff51afd7ed558ccd
)

// Weight mixes two hashes for rendezvous hashing.
func Weight(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> mixShift
	x *= mixMultiplier
	x ^= x >> mixShift
	return x
}
