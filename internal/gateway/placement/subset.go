package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Subset limits a node to some of a service's targets. The zero value limits nothing.
type Subset struct {
	// Node is the node's own name, by which it gets other targets than its fellows.
	Node string
	// Size is how many targets; 0 for all.
	Size int
}

// contains says of each target whether it is in the subset; nil when all are.
//
// Targets of the node's own data centre come first, then the order that rendezvous
// hashing gives the node, so that nodes spread over targets without an exchange, and a
// target that comes or goes changes little. All targets count, in whatever state: one
// that fails is passed over by its tier, not by another subset.
func (s Subset) contains(targets []directory.Target, dataCentre string) []bool {
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
