package membership

import (
	"slices"
	"time"
)

// Number of members that read the source.
const (
	// maxAllReaders is the largest number of serving members of which all read. If only some
	// of so few members read, the loss of some readers would delay changes.
	maxAllReaders = 9
	// minReaders is the minimum number of readers in a larger fleet, so that the loss of
	// two or three delays no change.
	minReaders = 4
	// membersPerExtraReader is the number of serving members per additional reader. It
	// keeps the calls to the source nearly independent of the size of the fleet.
	membersPerExtraReader = 40
)

// IsReader reports whether this member reads the source itself. Readers watch the
// source; the others get changes from other members.
//
// All members read as long as no more than maxAllReaders serve. In a larger fleet only some
// do: the eligible members come first, then the others, each ordered by a hash of the
// address that every member computes alike. Members that do not distinguish the source's
// epochs are skipped, because they detect a restored source too late. A member that knows
// no others reads. The result is as old as the last gossip. Too many readers increase the
// calls to the source; too few delay changes, such as that a target is draining. See
// docs/decisions/0011.
func (r *Roster) IsReader(now time.Time) bool {
	serving := r.Serving(now)
	if len(serving) <= maxAllReaders {
		return true
	}
	readers := minReaders + len(serving)/membersPerExtraReader
	serving = r.withEpochs(serving)
	eligible := r.withEpochs(r.Eligible(now))
	if slices.Contains(eligible, r.self.Address) {
		return r.isInTop(eligible, readers)
	}
	others := slices.DeleteFunc(serving, func(a string) bool { return slices.Contains(eligible, a) })
	return r.isInTop(others, readers-len(eligible))
}

// withEpochs returns the given members that distinguish the source's epochs.
func (r *Roster) withEpochs(members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(a string) bool {
		return a != r.self.Address && !r.others[a].Epochs
	})
}

// isInTop reports whether fewer than n of the given members have a higher weight
// than this one.
func (r *Roster) isInTop(members []string, n int) bool {
	higher := 0
	for _, a := range members {
		if r.weight(a) > r.ownWeight {
			higher++
		}
	}
	return higher < n
}

// FollowsReaders reports whether this member leaves the source to others: it is not a
// reader, and a live member that distinguishes the source's epochs reports recent
// contact with the source.
//
// A member that follows no reader reads the source itself, so the loss of all readers
// costs calls to the source but loses no changes. See docs/decisions/0011.
func (r *Roster) FollowsReaders(now time.Time) bool {
	if r.IsReader(now) {
		return false
	}
	for _, e := range r.others {
		if e.Hears && e.Epochs && isLive(now, e) {
			return true
		}
	}
	return false
}
