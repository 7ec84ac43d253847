package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Coordinator returns the member that does something for all nodes: that assembles
// the batches of a service, or chooses the engines for its prompts. It returns an
// empty string when there are no members.
//
// The member with the highest rendezvous weight for the name wins. The name is that
// of the service, with a prefix for its prompts, so that one service may have two
// coordinators for the two kinds of work. Members are the addresses of the eligible
// ones (membership.Roster.Eligible), which are as old as gossip. There is no election and no lease: while members disagree about
// who lives, two may coordinate one service. That costs work, such as batches that
// could have been fuller or a prompt that is prefilled twice, never an answer. See
// docs/decisions/0011 and 0012.
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

// Rank returns how many members come before one for a name, in the order whose first is the
// Coordinator, and how many there are; 0 of 0 when it is not among them.
func Rank(name string, members []string, member string) (before, of int) {
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
