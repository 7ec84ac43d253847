package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Subset describes the targets of a service that a node prefers for plain calls. It uses the
// others only if no target of the subset is healthy (tierOutsideSubset). The zero value
// includes all targets.
type Subset struct {
	// Node is the name of the node. Different nodes get different subsets.
	Node string
	// Size is the number of targets in the subset. 0 means all targets.
	Size int
}

// mask returns for each target whether it is in the subset, or nil if all are.
//
// Targets in the node's own data centre come first, followed by the others. Within each group
// targets are ordered by rendezvous hashing with the name of the node, so that nodes spread
// over the targets without communication, and adding or removing a target changes at most one
// target of each subset. Targets are included regardless of their state: a failing target is
// avoided by its tier, not by a different subset.
func (s Subset) mask(targets []directory.Target, dataCentre string) []bool {
	if s.Size <= 0 || s.Size >= len(targets) {
		return nil
	}
	ranks := rendezvousRanks(targets, xxhash.Sum64String(s.Node))
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
		if targets[i].DataCentre != dataCentre {
			ranks[i] += len(targets)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	in := make([]bool, len(targets))
	for _, i := range order[:s.Size] {
		in[i] = true
	}
	return in
}
