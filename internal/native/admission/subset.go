package admission

import (
	"cmp"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
)

// Rule: which targets of a pool a node uses.
//
// A node uses the first subset targets of a pool in its own order: those of its
// data centre first, each part by rendezvous hashing with the node's seed, so that
// nodes spread over all targets. While fewer than half of subset are in service it
// doubles the number in use, and it does not go back until the next bundle.
//
// Inputs: the pool's targets in the bundle, and which of those in use are leaving
// or ejected now. Why so: connections, load reports and the cost of a decision must
// not grow with the pool (docs/decisions/0007-routing.md). Too few targets put a
// node's load on some; too many cost connections and bytes of reports.
const (
	// subset is how many targets of a pool a node uses while they are in service. A
	// decision takes 3.6 µs among 3,000 targets in place of 313 µs, and 50 nodes use more
	// than 600 of 1,000 targets.
	subset = 32
	// widenFactor is by how much the targets in use grow, and the part of subset (one over
	// it) that must be in service.
	widenFactor = 2
	// localFirst is the bit of a preference that puts targets of the node's data
	// centre before all others: the highest.
	localFirst = 1 << 63
)

// widen lets the node use more targets while too few of those in use are in
// service.
func (p *pool) widen(now time.Time) {
	for len(p.targets) < len(p.all) && widenFactor*p.inService(now) < min(subset, len(p.all)) {
		p.targets = p.all[:min(len(p.all), widenFactor*max(1, len(p.targets)))]
	}
}

// byPreference orders targets for this node, the most preferred first.
func (c *Core) byPreference(a, b *target) int {
	return cmp.Compare(c.preference(b), c.preference(a))
}

func (c *Core) preference(t *target) uint64 {
	w := routing.Weight(c.cfg.Seed, t.hash)
	if t.spec.DataCentre == c.cfg.DataCentre {
		return w | localFirst
	}
	return w
}
