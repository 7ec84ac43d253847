package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// tier says how well a candidate may be used at all. A candidate of a lower tier
// goes before all of a higher one, whatever their costs.
type tier int

// Tiers of candidates.
const (
	// healthy candidates are used first.
	healthy tier = iota
	// outside candidates are not in the node's Subset.
	outside
	// connectionsFull candidates have this node's share of their connections in
	// use: a call more waits or is refused there.
	connectionsFull
	// lapsed candidates may be gone; the source could not say (directory.Lapsed).
	lapsed
	// ejected candidates failed lately (outlier); only used when all others are
	// excluded or gone.
	ejected
)

// assessment is what a rule says of one candidate. Costs of different rules have
// different units and are never compared.
type assessment struct {
	tier tier
	cost float64
}

// before says whether a goes before b.
func (a assessment) before(b assessment) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.cost < b.cost
}

// allows says whether a candidate may get one more request now.
type allows func(directory.Target) bool

// best returns the candidate that goes before all others, among the usable targets
// that are not excluded and may get a request, by its index; of two alike the earlier
// one. It returns false when there is none.
func best(now time.Time, targets []directory.Target, exclude []string, allowed allows, assess func(i int, c *directory.Target) assessment) (int, bool) {
	all := make([]ranked, len(targets))
	for i := range all {
		all[i].index = i
	}
	found, ok := bestOf(now, targets, all, exclude, allowed, func(r ranked, c *directory.Target) assessment { return assess(r.index, c) })
	return found.index, ok
}

// bestOf is best among some of the targets.
func bestOf(
	now time.Time, targets []directory.Target, among []ranked, exclude []string, allowed allows, assess func(r ranked, c *directory.Target) assessment,
) (chosen choice, found bool) {
	for _, r := range among {
		c := &targets[r.index]
		if slices.Contains(exclude, c.ID) || !c.Usable(now) || !allowed(*c) {
			continue
		}
		if a := assess(r, c); !found || a.before(chosen.assessment) {
			chosen, found = choice{index: r.index, assessment: a}, true
		}
	}
	return chosen, found
}

// choice is a chosen candidate by its index.
type choice struct {
	index int
	assessment
}

// targetAt returns a candidate by its index; false when none was found.
func targetAt(targets []directory.Target, i int, found bool) (directory.Target, bool) {
	if !found {
		return directory.Target{}, false
	}
	return targets[i], true
}

// Query asks a TargetTable for a target.
type Query struct {
	// DataCentre is where the node is.
	DataCentre string
	// Exclude names targets that must not be chosen, such as those that were tried.
	Exclude []string
	// Key is the hash of the prompt's shared part; 0 for none.
	Key uint64
	// SharedTokens is the length of the prompt's shared part, in tokens.
	SharedTokens int
	// MaxInflight bounds this node's calls at one target; 0 for no bound.
	MaxInflight int
	// InputBytes is how many bytes of results the call reads from each data centre.
	InputBytes map[string]int64
	// Subset limits the targets of plain calls.
	Subset Subset
	// Limiter bound what cold targets get, and GivesOut says whether this node gives out
	// the requests of one that is cold.
	Limiter   *warmup.Limiter
	MayAssign func(target string) bool
}

// allows returns whether targets may get one more request by the limits of cold ones.
func (q Query) allows(now time.Time) allows {
	return func(t directory.Target) bool {
		return q.Limiter.Allows(now, t, func() bool { return q.MayAssign(t.ID) })
	}
}

// sent counts a request that a target gets now.
func (q Query) sent(now time.Time, t directory.Target, found bool) (directory.Target, bool) {
	if found {
		q.Limiter.Take(now, t)
	}
	return t, found
}

// tier returns the tier of a candidate in a state, of which this node may use
// maxInflight calls at a time; 0 for no bound.
func (s *stats) tier(now time.Time, state directory.State, maxInflight int) tier {
	switch {
	case s.outlier.ejected(now):
		return ejected
	case state == directory.Lapsed:
		return lapsed
	case maxInflight > 0 && s.inflight >= maxInflight:
		return connectionsFull
	}
	return healthy
}
