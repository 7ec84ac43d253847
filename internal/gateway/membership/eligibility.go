package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// eligibleShare is the minimum capacity of an eligible member, relative to the
	// strongest member. If members' capacities differ by a factor of ten and the weak ones
	// coordinate too, these fall behind and are taken for lost (docs/decisions/0012).
	eligibleShare = 0.5
	// maxEligible limits the eligible members. Each exchange reports all of them (see
	// Gossip), so that hundreds of members agree on them within two or three rounds. If the
	// reported members were all selected at random, hundreds would practically never agree,
	// even without faults (TestManyMembersAgree). The limit leaves two fifths of an exchange
	// for the other members, and suffices to give each of a dozen coordinated services its
	// own member.
	maxEligible = 24
	// eligibleCacheTTL is how long the list of eligible members is cached while the roster
	// does not change. Every group of items and every prompt needs the list, which takes
	// 0.1 ms to compute among 300 members. It is short compared to a heartbeat.
	eligibleCacheTTL = 50 * time.Millisecond
)

// eligibleCache caches the eligible members as of a time.
type eligibleCache struct {
	list []string
	at   time.Time
}

// Eligible returns the members that may do work which one member does for the fleet,
// in the order of their addresses. These are the Serving members with at least
// eligibleShare of the strongest one's capacity, limited to the maxEligible with the
// highest weight. The list is empty if no member serves.
//
// Capacities are in thousandths of a core and as old as the last gossip. A missing one
// counts as 0, so all members are eligible if none reports one. If the strong members
// fail together, the strongest of the others take over once those are no longer live.
// While members disagree about the list, two of them may coordinate one service, and
// each sends batches to targets that work for the other. See docs/decisions/0012.
//
// The caller must not modify the list.
func (r *Roster) Eligible(now time.Time) []string {
	age := now.Sub(r.eligible.at)
	if r.eligible.list == nil || age < 0 || age >= eligibleCacheTTL {
		r.eligible = eligibleCache{list: r.selectEligible(r.Serving(now)), at: now}
	}
	return r.eligible.list
}

// selectEligible returns the given members that have at least eligibleShare of the
// strongest one's capacity, at most maxEligible of them, in the order given. It reuses
// the slice.
func (r *Roster) selectEligible(members []string) []string {
	maxCapacity := 0
	for _, a := range members {
		maxCapacity = max(maxCapacity, r.capacity(a))
	}
	minCapacity := saturate.Int(eligibleShare * float64(maxCapacity))
	members = slices.DeleteFunc(members, func(a string) bool { return r.capacity(a) < minCapacity })
	return r.topByWeight(members, maxEligible)
}

// capacity returns the capacity of a member in thousandths of a core; 0 if unknown.
func (r *Roster) capacity(address string) int {
	if address == r.self.Address {
		return r.self.Capacity
	}
	return r.others[address].Capacity
}

// topByWeight returns the n members with the highest weights, in the order given. It
// reuses the slice.
func (r *Roster) topByWeight(members []string, n int) []string {
	if len(members) <= n {
		return members
	}
	weights := make([]uint64, len(members))
	for i, a := range members {
		weights[i] = r.weight(a)
	}
	slices.Sort(weights)
	minWeight := weights[len(weights)-n]
	return slices.DeleteFunc(members, func(a string) bool { return r.weight(a) < minWeight })
}

// weight returns the weight by which a member is selected as eligible or as a reader.
func (r *Roster) weight(address string) uint64 {
	if address == r.self.Address {
		return r.ownWeight
	}
	return r.others[address].weight
}

// weightOf computes a member's weight from its address, with the same result at every
// member.
func weightOf(address string) uint64 { return xxhash.Sum64String("reader/" + address) }
