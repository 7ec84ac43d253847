package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Coordinator returns the member that performs a task for all nodes, such as assembling the
// batches of a service or selecting the engines for its prompts. It returns an empty string
// if there are no members.
//
// The member with the highest rendezvous weight for name is selected. The name is that of the
// service, with a prefix for its prompts, so that a service may have different coordinators
// for the two tasks. members lists the addresses of the eligible members
// (membership.Roster.Eligible), which may be outdated by the delay of gossip. There is no
// election and no lease: while members disagree about which members are alive, two of them
// may coordinate the same service. That costs efficiency, such as smaller batches or a
// repeated prefill, but never a response. See docs/decisions/0011 and 0012.
func Coordinator(name string, members []string) string {
	coordinator, highest := "", uint64(0)
	key := xxhash.Sum64String(name)
	for _, m := range members {
		w := rendezvousWeight(key, m)
		if coordinator == "" || w > highest {
			coordinator, highest = m, w
		}
	}
	return coordinator
}

// Nearest returns up to n members with the highest rendezvous weights for a key, in that order.
func Nearest(key uint64, members []string, n int) []string {
	type weighted struct {
		member string
		weight uint64
	}
	top := make([]weighted, 0, n+1)
	for _, member := range members {
		w := weighted{member, rendezvousWeight(key, member)}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
		if at == n {
			continue
		}
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), n)]
	}
	list := make([]string, len(top))
	for i, w := range top {
		list[i] = w.member
	}
	return list
}

// Rank returns the number of members that precede member in the order for name, in which the
// Coordinator comes first, and the total number of members. Both are 0 if member is not in
// members.
func Rank(name string, members []string, member string) (before, total int) {
	if !slices.Contains(members, member) {
		return 0, 0
	}
	key := xxhash.Sum64String(name)
	own := rendezvousWeight(key, member)
	for _, m := range members {
		if rendezvousWeight(key, m) > own {
			before++
		}
	}
	return before, len(members)
}
