package membership

import (
	"slices"
	"time"
)

// eligibleShare is the share of the strongest member's capacity from which on a
// member is eligible. Commit 3bf0bbd; the table in docs/MEASUREMENTS.md, "work for
// all at members with the capacity", gives the rule's worth, no other share was run.
const eligibleShare = 0.5

// Eligible returns the members that may do work which one member does for all, in
// the order of their addresses: those of Serving with at least eligibleShare of the
// strongest one's capacity. It is empty when nobody serves.
//
// Inputs are the capacities that members report, in thousandths of a core, as old as
// gossip. A member that reports none counts as 0, so that of members which all
// report none everyone is eligible. A weak member that coordinates falls behind, is
// taken for lost, and others coordinate beside it: with the rule the worth of grown
// days rose from 0.556 and 0.273 to 0.639 and 0.547. See docs/decisions/0012.
func (r *Roster) Eligible(now time.Time) []string {
	serving := r.Serving(now)
	strongest := 0
	for _, a := range serving {
		strongest = max(strongest, r.capacity(a))
	}
	least := int(eligibleShare * float64(strongest))
	return slices.DeleteFunc(serving, func(a string) bool { return r.capacity(a) < least })
}

func (r *Roster) capacity(address string) int {
	if address == r.self.Address {
		return r.self.Capacity
	}
	return r.known[address].Capacity
}
