package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// eligibleShare is the share of the strongest member's capacity from which on a member
	// is eligible. No other share was measured; without the rule weak members that
	// coordinate fall behind and are taken for lost, which cost 0.08 and 0.27 of worth in
	// two fleets of some 80 whose members differ by ten times (docs/decisions/0012).
	eligibleShare = 0.5
	// maxEligible bounds the eligible members. Each exchange names all of them
	// (Gossip), so that hundreds of members agree on them within two or three rounds;
	// named at random, 300 members agreed at no moment of ten calm seconds
	// (TestManyMembersAgree). It leaves two fifths of an exchange for the other
	// members, and gives each of a dozen coordinated services a member of its own.
	maxEligible = 24
	// eligibleFor is how long the eligible members are remembered while the roster does
	// not change, since each group of items and each prompt asks for them: among 300
	// members they take 0.1 ms to find. It is short beside a heartbeat.
	eligibleFor = 50 * time.Millisecond
)

// eligibleMembers remembers the eligible members as of a time.
type eligibleMembers struct {
	list []string
	at   time.Time
}

// Eligible returns the members that may do work which one member does for all, in
// the order of their addresses: those of Serving with at least eligibleShare of the
// strongest one's capacity, and of these the first maxEligible by their weight. It
// is empty when nobody serves.
//
// Inputs are the capacities that members report, in thousandths of a core, as old as
// gossip. A member that reports none counts as 0, so that of members which all
// report none everyone is eligible. When the strong members are lost together, the
// strongest of those that are left take over as soon as they count as silent. While
// members disagree about who is eligible, two may coordinate one service, and each
// sends batches to targets that work for the other. See docs/decisions/0012.
//
// The caller must not change the list.
func (r *Roster) Eligible(now time.Time) []string {
	age := now.Sub(r.eligible.at)
	if r.eligible.list == nil || age < 0 || age >= eligibleFor {
		r.eligible = eligibleMembers{list: r.strongest(r.Serving(now)), at: now}
	}
	return r.eligible.list
}

// strongest returns those of several members that have at least eligibleShare of the
// strongest one's capacity, at most maxEligible, in the order given.
func (r *Roster) strongest(members []string) []string {
	most := 0
	for _, a := range members {
		most = max(most, r.capacity(a))
	}
	least := int(eligibleShare * float64(most))
	members = slices.DeleteFunc(members, func(a string) bool { return r.capacity(a) < least })
	return r.firstByWeight(members, maxEligible)
}

func (r *Roster) capacity(address string) int {
	if address == r.self.Address {
		return r.self.Capacity
	}
	return r.known[address].Capacity
}

// firstByWeight returns the n members with the highest weight, in the order given.
func (r *Roster) firstByWeight(members []string, n int) []string {
	if len(members) <= n {
		return members
	}
	weights := make([]uint64, len(members))
	for i, a := range members {
		weights[i] = r.weight(a)
	}
	slices.Sort(weights)
	least := weights[len(weights)-n]
	return slices.DeleteFunc(members, func(a string) bool { return r.weight(a) < least })
}

// weight is the weight of a member among those that might be eligible or read the
// source.
func (r *Roster) weight(address string) uint64 {
	if address == r.self.Address {
		return r.ownWeight
	}
	return r.known[address].weight
}

// weightOf computes a member's weight; all members compute it alike.
func weightOf(address string) uint64 { return xxhash.Sum64String("reader/" + address) }
