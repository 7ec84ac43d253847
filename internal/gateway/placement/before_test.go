// The code before the rules were parted, for TestSameDecisions alone.

package placement_test

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/backoff"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// latencyWeight is the weight of the newest answer in a learnt latency.
	latencyWeight = 0.2
	// forgetAfter is how long a learnt latency or failure keeps half its weight.
	forgetAfter = 3 * time.Second
	// loadAge is how long a told load counts.
	loadAge = 500 * time.Millisecond
	// ejectAt is the share of failures at which a target is left alone.
	ejectAt = 0.6
	// defaultSlots is assumed of a target that does not tell its slots.
	defaultSlots = 4
)

// ejection is how long a target is left alone; afterwards one request tries it.
var ejection = backoff.Doubling{First: time.Second, Max: 4 * time.Second}

// Load is what a target told of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// stats is what a node learnt of one target.
type stats struct {
	inflight int
	// latency is the learnt time of an answer, in seconds; 0 for unknown.
	latency  float64
	failing  float64
	learntAt time.Time
	load     Load
	loadAt   time.Time
	// sentSince counts what was sent since the load was told.
	sentSince    int
	ejectedUntil time.Time
	ejections    int
	// probing is true while one request tries an ejected target.
	probing bool
}

// TargetTable is what a node learnt of all targets. It is not safe for concurrent use.
type TargetTable struct {
	targets map[string]*stats
}

// NewTargetTable returns an empty table.
func NewTargetTable() *TargetTable { return &TargetTable{targets: map[string]*stats{}} }

func (t *TargetTable) of(id string) *stats {
	s := t.targets[id]
	if s == nil {
		s = &stats{}
		t.targets[id] = s
	}
	return s
}

// Sent counts a request that is being sent.
func (t *TargetTable) Sent(id string) {
	s := t.of(id)
	s.inflight++
	s.sentSince++
	if !s.ejectedUntil.IsZero() {
		s.probing = true
	}
}

// Ended counts the end of a request. A failure is the target's own: no answer,
// a broken one, or one that says that the target is in trouble.
func (t *TargetTable) Ended(now time.Time, id string, took time.Duration, failed bool) {
	s := t.of(id)
	s.inflight--
	s.decay(now)
	if s.latency == 0 {
		s.latency = took.Seconds()
	}
	s.latency += latencyWeight * (took.Seconds() - s.latency)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failing += 2 * latencyWeight * (outcome - s.failing)
	s.judge(now, failed)
}

// judge ejects a target that keeps failing and lets it back after a success.
func (s *stats) judge(now time.Time, failed bool) {
	s.probing = false
	if !failed {
		s.ejectedUntil = time.Time{}
		s.ejections = 0
		return
	}
	if s.failing < ejectAt && s.ejections == 0 {
		return
	}
	s.ejectedUntil = now.Add(ejection.After(s.ejections))
	s.ejections++
}

// Eject leaves a target alone at once, for a failure that proves that it is down.
func (t *TargetTable) Eject(now time.Time, id string) {
	s := t.of(id)
	s.failing = 1
	s.learntAt = now
	s.judge(now, true)
}

// Ejected returns the targets that are left alone now.
func (t *TargetTable) Ejected(now time.Time, targets []directory.Target) []string {
	var list []string
	for _, c := range targets {
		if s, known := t.targets[c.ID]; known && !s.available(now) {
			list = append(list, c.ID)
		}
	}
	return list
}

// Report takes in a target's own word of its load.
func (t *TargetTable) Report(now time.Time, id string, load Load) {
	s := t.of(id)
	s.load = load
	s.loadAt = now
	s.sentSince = 0
}

// Inflight returns how many requests of this node a target works on.
func (t *TargetTable) Inflight(id string) int { return t.of(id).inflight }

// Prune forgets targets that are not in the directory and have no request.
func (t *TargetTable) Prune(d *directory.Directory) {
	for id, s := range t.targets {
		if _, known := d.Target(id); !known && s.inflight <= 0 {
			delete(t.targets, id)
		}
	}
}

// decay moves what was learnt towards nothing as it ages.
func (s *stats) decay(now time.Time) {
	if !s.learntAt.IsZero() {
		keep := math.Exp2(-now.Sub(s.learntAt).Seconds() / forgetAfter.Seconds())
		s.failing *= keep
	}
	s.learntAt = now
}

// outstanding estimates what the target has to do.
func (s *stats) outstanding(now time.Time) float64 {
	own := float64(s.inflight)
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > loadAge {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSince))
}

func (s *stats) slots(t directory.Target) float64 {
	switch {
	case s.load.Slots > 0:
		return float64(s.load.Slots)
	case t.Slots > 0:
		return float64(t.Slots)
	}
	return defaultSlots
}

// available says whether the target may be chosen while there are others.
func (s *stats) available(now time.Time) bool {
	if s.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(s.ejectedUntil) && !s.probing
}

// Query asks for a target.
type Query struct {
	// DataCentre is where the node is.
	DataCentre string
	// Exclude names targets that were tried.
	Exclude []string
	// Key is the hash of the prompt's shared part; 0 for none.
	Key uint64
	// SharedTokens is how long the prompt's shared parts are.
	SharedTokens int
	// MaxInflight bounds this node's requests at one target; 0 for no bound.
	MaxInflight int
	// InputBytes is how many bytes of results lie in each data centre.
	InputBytes map[string]int64
}

// LeastLoaded chooses the target that should answer first: the one with the least
// learnt latency for its load.
func (t *TargetTable) LeastLoaded(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	return t.choose(now, targets, q, func(s *stats, c directory.Target) float64 {
		cost := s.latency * math.Exp2(-now.Sub(s.learntAt).Seconds()/forgetAfter.Seconds())
		cost = max(cost, 0.001) * (1 + s.outstanding(now)/s.slots(c)) * (1 + 4*s.failing)
		if c.DataCentre != q.DataCentre {
			cost += 0.002
		}
		return cost
	})
}

// Weights of the parts of an engine's cost, in milliseconds of its work.
const (
	// loadCost is the cost of a full engine.
	loadCost = 1500.0
	// overloadCost is added for each request beyond three quarters of the slots.
	overloadCost = 100.0
	// prefixCost is the cost of a thousand shared tokens that are read again, for
	// each place that an engine is behind in the order of engines for the part.
	prefixCost = 250.0
	// minPrefixCost keeps short prompts together too.
	minPrefixCost = 30.0
	// maxPlaces bounds the places that count.
	maxPlaces = 3
	// pullCost is the cost of a megabyte of results that crosses data centres.
	pullCost = 60.0
)

// ByPrefix chooses an engine: the first in the order of engines for the key,
// unless load, failures or results elsewhere speak for another.
func (t *TargetTable) ByPrefix(now time.Time, targets []directory.Target, q Query) (directory.Target, bool) {
	places := rank(targets, q.Key)
	var total int64
	for _, bytes := range q.InputBytes {
		total += bytes
	}
	again := max(prefixCost*float64(q.SharedTokens)/1000, minPrefixCost)
	return t.choose(now, targets, q, func(s *stats, c directory.Target) float64 {
		out, slots := s.outstanding(now), s.slots(c)
		cost := loadCost * out / slots
		cost += overloadCost * max(out-0.75*slots, 0)
		cost += 2 * loadCost * s.failing
		cost += pullCost * float64(total-q.InputBytes[c.DataCentre]) / 1e6
		if q.Key != 0 {
			cost += again * float64(min(places[c.ID], maxPlaces))
		}
		return cost
	})
}

// choose returns the target of the least cost among those not excluded; ejected
// targets are taken only when there are no others.
func (t *TargetTable) choose(now time.Time, targets []directory.Target, q Query, cost func(*stats, directory.Target) float64) (directory.Target, bool) {
	var best directory.Target
	bestCost, bestRank := math.Inf(1), math.MaxInt
	for _, c := range targets {
		if excluded(q.Exclude, c.ID) || !c.Usable(now) {
			continue
		}
		s := t.of(c.ID)
		r := 0
		switch {
		case !s.available(now):
			r = 3
		case c.State == directory.Lapsed:
			r = 2
		case q.MaxInflight > 0 && s.inflight >= q.MaxInflight:
			r = 1
		}
		k := cost(s, c)
		if r < bestRank || (r == bestRank && k < bestCost) {
			best, bestCost, bestRank = c, k, r
		}
	}
	return best, bestRank != math.MaxInt
}

func excluded(list []string, id string) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// rank returns the place of each target in the order for a key, by rendezvous
// hashing.
func rank(targets []directory.Target, key uint64) map[string]int {
	weights := make([]uint64, len(targets))
	for i, t := range targets {
		weights[i] = mix(key ^ xxhash.Sum64String(t.ID))
	}
	places := make(map[string]int, len(targets))
	for i, t := range targets {
		for _, w := range weights {
			if w > weights[i] {
				places[t.ID]++
			}
		}
	}
	return places
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Coordinator returns the member that a name belongs to, by rendezvous hashing; empty
// when there are no members.
func Coordinator(name string, members []string) string {
	owner, best := "", uint64(0)
	key := xxhash.Sum64String(name)
	for _, m := range members {
		w := mix(key ^ xxhash.Sum64String(m))
		if owner == "" || w > best {
			owner, best = m, w
		}
	}
	return owner
}
