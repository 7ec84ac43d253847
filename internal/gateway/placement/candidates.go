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
	// tierHealthy candidates are used first.
	tierHealthy tier = iota
	// tierOutsideSubset candidates are not in the node's Subset.
	tierOutsideSubset
	// tierConnectionsFull candidates have no connection left in this node's share. A further
	// call would wait or be refused.
	tierConnectionsFull
	// tierLapsed candidates may be gone. They vanished from the list during or soon after an
	// outage of the source (directory.Lapsed).
	tierLapsed
	// tierEjected candidates failed recently (outlier). They are only used if no candidate of
	// another tier can be used.
	tierEjected
)

// score is the result of a rule for one candidate. Costs of different rules have
// different units and are not comparable.
type score struct {
	tier tier
	cost float64
}

// less reports whether s is preferred to other.
func (s score) less(other score) bool {
	if s.tier != other.tier {
		return s.tier < other.tier
	}
	return s.cost < other.cost
}

// filter reports whether a candidate may get another request now.
type filter func(directory.Target) bool

// bestAmong returns the best candidate in among that is usable, is not excluded and may get a
// request, or false if there is none. Ties go to the earlier one.
func bestAmong(
	now time.Time, targets []directory.Target, among []candidate, exclude []string, allow filter, scoreOf func(cand candidate, c *directory.Target) score,
) (chosen choice, found bool) {
	for _, cand := range among {
		c := &targets[cand.index]
		if slices.Contains(exclude, c.ID) || !c.Usable(now) || !allow(*c) {
			continue
		}
		if s := scoreOf(cand, c); !found || s.less(chosen.score) {
			chosen, found = choice{index: cand.index, score: s}, true
		}
	}
	return chosen, found
}

// choice is a selected candidate, identified by its index.
type choice struct {
	index int
	score
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
	// Version is the software version that the target must have; the zero value for any.
	Version directory.Version
	// Prefer lists the IDs of targets that LeastLoaded selects first if they are healthy,
	// whatever their cost.
	Prefer []string
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
	// Subset holds the targets that the node prefers for plain calls.
	Subset Subset
	// Sample is the number of targets that LeastLoaded compares among those that report their
	// speed, drawn by Random, which returns a number from 0 to n-1. 0 means all of them.
	Sample int
	Random func(n int) int
	// Limiter limits the request rate of cold targets. MayAssign reports whether this node
	// assigns the requests of a cold target.
	Limiter   *warmup.Limiter
	MayAssign func(target string) bool
}

// filter returns a function that reports whether a target has the required version and may get
// another request under the limits for cold targets.
func (q Query) filter(now time.Time) filter {
	return func(t directory.Target) bool {
		return hasVersion(t, q.Version) && q.Limiter.Allows(now, t, func() bool { return q.MayAssign(t.ID) })
	}
}

// hasVersion reports whether a target has a required software version, which is the zero value
// for any.
func hasVersion(t directory.Target, required directory.Version) bool {
	return !required.Known() || t.Version == required
}

// countSent counts a request against the limit of the selected target, if found is true.
func (q Query) countSent(now time.Time, t directory.Target, found bool) (directory.Target, bool) {
	if found {
		q.Limiter.Take(now, t)
	}
	return t, found
}

// tier returns the tier of a candidate in the given state. maxInflight is the maximum number
// of concurrent calls from this node to the candidate; 0 means no limit.
func (s *stats) tier(now time.Time, state directory.State, maxInflight int) tier {
	switch {
	case s.outlier.ejected(now):
		return tierEjected
	case state == directory.Lapsed:
		return tierLapsed
	case maxInflight > 0 && s.inflight >= maxInflight:
		return tierConnectionsFull
	}
	return tierHealthy
}

// tierInSubset is like tier for a candidate that may be outside of the node's Subset.
func (s *stats) tierInSubset(now time.Time, state directory.State, maxInflight int, inSubset bool) tier {
	tier := s.tier(now, state, maxInflight)
	if !inSubset {
		tier = max(tier, tierOutsideSubset)
	}
	return tier
}
