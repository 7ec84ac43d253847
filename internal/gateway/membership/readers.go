package membership

import (
	"slices"
	"time"
)

// How many members read the source.
const (
	// allRead is how many serving members all read: of so few the loss of some readers
	// would make changes late.
	allRead = 9
	// minReaders is how many of more members read at least, so that the loss of two
	// or three delays no change.
	minReaders = 4
	// membersPerReader is how many serving members there are for each further
	// reader, so that calls to the source hardly grow with the fleet.
	membersPerReader = 40
)

// IsReader says whether this member reads the source itself. Readers watch it; the
// others get what changed from members.
//
// All read while no more than allRead members serve. Of more members a few read:
// the eligible ones first, then the others, each by the hash of their address, which
// all members compute alike. Members that do not tell the source's epochs apart are
// passed over: they notice a restored source too late. Inputs are Serving and Eligible,
// as old as gossip. A member that knows nobody else reads. Too many readers cost calls
// to the source; too few make changes late, such as that a target drains. See
// docs/decisions/0011.
func (r *Roster) IsReader(now time.Time) bool {
	serving := r.Serving(now)
	if len(serving) <= allRead {
		return true
	}
	readers := minReaders + len(serving)/membersPerReader
	serving = r.tellingEpochs(serving)
	eligible := r.tellingEpochs(r.Eligible(now))
	if slices.Contains(eligible, r.self.Address) {
		return r.isAmongFirst(eligible, readers)
	}
	others := slices.DeleteFunc(serving, func(a string) bool { return slices.Contains(eligible, a) })
	return r.isAmongFirst(others, readers-len(eligible))
}

// tellingEpochs returns those of several members that tell the source's epochs apart.
func (r *Roster) tellingEpochs(members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(a string) bool {
		return a != r.self.Address && !r.known[a].Epochs
	})
}

// isAmongFirst says whether fewer than n of several members have a higher weight than
// this one.
func (r *Roster) isAmongFirst(members []string, n int) bool {
	higher := 0
	for _, a := range members {
		if r.weight(a) > r.ownWeight {
			higher++
		}
	}
	return higher < n
}

// FollowsReaders says whether this member leaves the source to others: it is no
// reader, and some live member that tells the source's epochs apart reports that the
// source answered it lately.
//
// Inputs are the reports of others, as old as gossip. A member that follows nobody
// reads itself, so that the loss of all readers costs calls to the source and no
// change. See docs/decisions/0011.
func (r *Roster) FollowsReaders(now time.Time) bool {
	if r.IsReader(now) {
		return false
	}
	for _, e := range r.known {
		if e.Hears && e.Epochs && live(now, e) {
			return true
		}
	}
	return false
}
