package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// tier is the priority class of a candidate. A candidate in a lower tier is preferred to all
// candidates in higher tiers, regardless of cost.
type tier int

// Tiers of candidates.
const (
	// healthy candidates are used first.
	healthy tier = iota
	// outside candidates are not in the node's Subset.
	outside
	// connectionsFull candidates have no connection left in this node's share. A further
	// call would wait or be refused.
	connectionsFull
	// lapsed candidates may be gone. They vanished from the list during or soon after an
	// outage of the source (directory.Lapsed).
	lapsed
	// ejected candidates failed recently (outlier). They are only used if all others are
	// excluded or gone.
	ejected
)

// assessment is the result of a rule for one candidate. Costs of different rules have
// different units and are not comparable.
type assessment struct {
	tier tier
	cost float64
}

// before reports whether a is preferred to b.
func (a assessment) before(b assessment) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	return a.cost < b.cost
}

// allows reports whether a candidate may get another request now.
type allows func(directory.Target) bool

// best returns the index of the best candidate among the usable targets that are not
// excluded and may get a request, or false if there is none. Ties go to the lower index.
func best(now time.Time, targets []directory.Target, exclude []string, allowed allows, assess func(i int, c *directory.Target) assessment) (int, bool) {
	all := make([]ranked, len(targets))
	for i := range all {
		all[i].index = i
	}
	found, ok := bestOf(now, targets, all, exclude, allowed, func(r ranked, c *directory.Target) assessment { return assess(r.index, c) })
	return found.index, ok
}

// bestOf is like best but only considers the targets in among.
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

// choice is a selected candidate, identified by its index.
type choice struct {
	index int
	assessment
}

// targetAt returns targets[i] if found is true.
func targetAt(targets []directory.Target, i int, found bool) (directory.Target, bool) {
	if !found {
		return directory.Target{}, false
	}
	return targets[i], true
}

// Query describes a request for which a TargetTable selects a target.
type Query struct {
	// DataCentre is the data centre of the node.
	DataCentre string
	// Exclude lists the IDs of targets that must not be selected, for example because they
	// have been tried.
	Exclude []string
	// Key is the hash of the prompt's shared part. 0 means that there is none.
	Key uint64
	// SharedTokens is the length of the prompt's shared part in tokens.
	SharedTokens int
	// MaxInflight is the maximum number of concurrent calls from this node to one target.
	// 0 means no limit.
	MaxInflight int
	// InputBytes is the number of bytes of results that the call reads from each data
	// centre.
	InputBytes map[string]int64
	// Subset limits the targets of plain calls.
	Subset Subset
	// Limits limits the request rate of cold targets. GivesOut reports whether this node
	// assigns the requests of a cold target.
	Limits   *warmup.Limits
	GivesOut func(target string) bool
}

// allows returns a function that reports whether a target may get another request under the
// limits for cold targets.
func (q Query) allows(now time.Time) allows {
	return func(t directory.Target) bool {
		return q.Limits.Allows(now, t, func() bool { return q.GivesOut(t.ID) })
	}
}

// sent counts a request against the limit of the selected target, if found is true.
func (q Query) sent(now time.Time, t directory.Target, found bool) (directory.Target, bool) {
	if found {
		q.Limits.Sent(now, t)
	}
	return t, found
}

// tier returns the tier of a candidate in the given state. maxInflight is the maximum number
// of concurrent calls from this node to the candidate; 0 means no limit.
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
