package membership

import (
	"maps"
	"slices"
	"time"
)

// Timeouts for silent members. They are multiples of the gateway's heartbeat interval
// (gossipInterval, 500 ms), and timeouts_test.go checks how they relate:
//
//	heartbeat 500 ms < suspicionTimeout 1.5 s < liveTimeout 2.5 s < dropTimeout 30 s
//
// A report may need several exchanges to reach every member, so liveTimeout allows five
// heartbeats. A suspicion lasts three, in which a running member is expected to be
// reported again; only liveTimeout decides whether it has failed. Members keep reporting a
// silent member until they no longer consider it live, so dropTimeout must be many times
// liveTimeout: such a report would make a member that is dropped earlier live again.
const (
	// liveTimeout is how long a member is considered live after it was last seen.
	// Doubling it doubles the time to detect a failed coordinator; halving it would take
	// members for failed that missed two rounds.
	liveTimeout = 2500 * time.Millisecond
	// suspicionTimeout is how long a member that failed a call is avoided, unless gossip
	// reports a newer heartbeat: three heartbeats.
	suspicionTimeout = 1500 * time.Millisecond
	// dropTimeout is how long a silent member stays in the roster: twelve times
	// liveTimeout.
	dropTimeout = 30 * time.Second
	// countTimeout replaces liveTimeout in Size if one exchange cannot report all members.
	// A randomly selected report about one of 300 members takes longer than 10 s to reach
	// one in 25 of them. If the count is too low, each node opens more connections to a
	// target than its share.
	countTimeout = 15 * time.Second
	// settleTime is the time from a member's first contact with another until its roster is
	// expected to match those of the others: 300 members agree on the eligible ones within
	// 3 s of a simultaneous start (TestManyMembersAgree).
	settleTime = 3 * time.Second
	// minSettledShare is the minimum share of the peak number of members that a settled
	// member sees. Without faults, a member of a fleet of 300 sees 0.47 of it at any
	// moment, as an exchange does not report all members. A share of one half would
	// therefore take it for partitioned.
	minSettledShare = 1.0 / 3
)

// isLive reports whether a member was last seen within liveTimeout, by this node's
// clock. A false positive costs calls to a failed member, each of which times out. A false
// negative hands the member's coordination to another one, so that two do the same work.
func isLive(now time.Time, e rosterEntry) bool {
	return now.Sub(e.lastSeen) <= liveTimeout
}

// Suspect excludes a member that failed a call from Serving for suspicionTimeout.
func (r *Roster) Suspect(now time.Time, address string) {
	r.invalidateCache()
	if e, known := r.others[address]; known {
		e.suspectedUntil = now.Add(suspicionTimeout)
		r.others[address] = e
	}
}

// Contacted records that a member answered this node. It does not end a suspicion.
func (r *Roster) Contacted(now time.Time, address string) {
	r.invalidateCache()
	if e, known := r.others[address]; known {
		e.lastSeen = now
		r.others[address] = e
	}
}

// LastContact returns the time at which a member was last seen; zero if it never was.
func (r *Roster) LastContact(address string) time.Time { return r.others[address].lastSeen }

// Prune drops the members that have been silent for longer than dropTimeout.
func (r *Roster) Prune(now time.Time) {
	r.invalidateCache()
	maps.DeleteFunc(r.others, func(_ string, e rosterEntry) bool { return now.Sub(e.lastSeen) > dropTimeout })
}

// Serving returns the members that accept work, possibly including this one, in the
// order of their addresses. These are the members that have a configuration, are not
// leaving, are live and not suspected.
func (r *Roster) Serving(now time.Time) []string {
	var list []string
	if r.self.Serving && !r.self.Leaving {
		list = append(list, r.self.Address)
	}
	for a, e := range r.others {
		if e.Serving && !e.Leaving && isLive(now, e) && !now.Before(e.suspectedUntil) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// minRoomShare is the share of the other members that must not be busy for HaveRoom: a caller that
// comes back at a member drawn at random is taken there more often than not.
const minRoomShare = 0.5

// HaveRoom reports whether the other members can take callers that this one turns away: at least
// minRoomShare of those that serve are not busy. Members of an earlier version never count as busy.
// A false positive turns callers away that nobody takes; a false negative refuses callers that
// others could serve.
func (r *Roster) HaveRoom(now time.Time) bool {
	others, room := 0, 0
	for _, a := range r.Serving(now) {
		if a == r.self.Address {
			continue
		}
		others++
		if !r.others[a].Busy {
			room++
		}
	}
	return others > 0 && float64(room) >= minRoomShare*float64(others)
}

// Settled reports whether this member's view of the fleet is complete enough to allocate a
// scarce resource, such as the requests that a cold target can handle. The member must have
// known others for settleTime and see minSettledShare of them, or know no others and have
// no seeds. A false positive lets both sides of a partition allocate the same resource; a
// false negative leaves the resource unused for a few seconds.
func (r *Roster) Settled(now time.Time) bool {
	if r.firstContact.IsZero() {
		return len(r.seeds) == 0
	}
	if now.Sub(r.firstContact) < settleTime {
		return false
	}
	return float64(len(r.Serving(now))) >= minSettledShare*float64(r.PeakSize())
}

// Size returns the number of running members, including this one: those that are live or,
// if one exchange cannot report all members, were last seen within countTimeout.
func (r *Roster) Size(now time.Time) int {
	timeout := liveTimeout
	if len(r.others) > maxReported {
		timeout = countTimeout
	}
	n := 1
	for _, e := range r.others {
		if now.Sub(e.lastSeen) <= timeout {
			n++
		}
	}
	return n
}

// PeakSize returns the highest Size after any Merge, at least 1. It never decreases, so
// that a node which loses contact with others does not claim their shares of a common
// budget (package retrybudget).
func (r *Roster) PeakSize() int { return max(r.peak, 1) }
