package membership

import (
	"maps"
	"slices"
	"time"
)

// How long a member's silence counts. The figures hang together with the gateway's
// heartbeat (gossipInterval, 500 ms), and timeouts_test.go holds their relations:
//
//	heartbeat 500 ms < suspectFor 1.5 s < liveFor 2.5 s < forgetAfter 30 s
//
// A report may take some exchanges to reach every member, so liveFor allows five
// heartbeats. A suspicion lasts three, in which a member that lives is expected to
// be reported again; whether it has died is left to liveFor. Members go on reporting
// a silent one until it is not live to them either, so forgetAfter must be many
// times liveFor: a member that is forgotten earlier would count as live again by
// such a report.
const (
	// liveFor is how long after its last sign of life a member counts as live. Twice
	// as long would have the death of a coordinator noticed twice as late, half as long
	// would have members count as dead that missed two rounds.
	liveFor = 2500 * time.Millisecond
	// suspectFor is how long a member that failed a call is passed over, unless it
	// gives a new sign of life by gossip: three heartbeats.
	suspectFor = 1500 * time.Millisecond
	// forgetAfter is how long a silent member stays known: twelve times liveFor.
	forgetAfter = 30 * time.Second
	// countedFor is how long after its last sign of life a member counts in Size where
	// one exchange does not name all members. Drawn at random, the report of one of 300
	// took longer than 10 s to reach one in 25 of them; a count that is too low has each
	// node open more connections to a target than its share.
	countedFor = 15 * time.Second
	// settleFor is how long after its first contact with another member a member takes
	// its roster for what others know too: 300 members agree on who is eligible within 3 s
	// of a start of all (TestManyMembersAgree).
	settleFor = 3 * time.Second
	// settledShare is the part of the members that it ever knew which a settled member
	// sees at least. Of 300 members that are calm one sees 0.47 of them at any moment, as an
	// exchange does not name all; with a half those would count as cut off.
	settledShare = 1.0 / 3
)

// live says whether a member gave a sign of life within liveFor, by this node's
// clock. A wrong yes costs calls to a member that has died, each a timeout; a wrong
// no moves what the member coordinates to another, and makes two of them do it.
func live(now time.Time, e rosterEntry) bool {
	return now.Sub(e.advanced) <= liveFor
}

// Suspect passes over a member that failed a call, for suspectFor.
func (r *Roster) Suspect(now time.Time, address string) {
	r.changed()
	if e, known := r.known[address]; known {
		e.suspectUntil = now.Add(suspectFor)
		r.known[address] = e
	}
}

// Contacted notes that a member answered this node. It does not end a suspicion.
func (r *Roster) Contacted(now time.Time, address string) {
	r.changed()
	if e, known := r.known[address]; known {
		e.advanced = now
		r.known[address] = e
	}
}

// LastContact returns when a member last gave a sign of life; zero for never.
func (r *Roster) LastContact(address string) time.Time { return r.known[address].advanced }

// Prune drops members that have been silent for longer than forgetAfter.
func (r *Roster) Prune(now time.Time) {
	r.changed()
	maps.DeleteFunc(r.known, func(_ string, e rosterEntry) bool { return now.Sub(e.advanced) > forgetAfter })
}

// Serving returns the members that take work, this one included when it does, in
// the order of their addresses: those that know a configuration, do not stop, are
// live and not suspected. It is empty when there are none.
func (r *Roster) Serving(now time.Time) []string {
	var list []string
	if r.self.Serving && !r.self.Leaving {
		list = append(list, r.self.Address)
	}
	for a, e := range r.known {
		if e.Serving && !e.Leaving && live(now, e) && !now.Before(e.suspectUntil) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// Settled says whether this member knows the others well enough to give out what is
// scarce, such as the requests of a cold target: it has known other members for settleFor
// and sees settledShare of them, or knows that there are none. A wrong yes lets two sides
// of a fleet that was cut apart give out the same thing; a wrong no leaves it unused for
// some seconds.
func (r *Roster) Settled(now time.Time) bool {
	if r.firstContact.IsZero() {
		return len(r.seeds) == 0
	}
	if now.Sub(r.firstContact) < settleFor {
		return false
	}
	return float64(len(r.Serving(now))) >= settledShare*float64(r.PeakSize())
}

// Size returns how many members run, this one included: those that are live, and of
// more than one exchange names those that gave a sign of life within countedFor.
func (r *Roster) Size(now time.Time) int {
	counted := liveFor
	if len(r.known) > maxGossip {
		counted = countedFor
	}
	n := 1
	for _, e := range r.known {
		if now.Sub(e.advanced) <= counted {
			n++
		}
	}
	return n
}

// PeakSize returns the most members that Size ever counted at once, this
// one included. It never falls, so that a node that loses sight of others does not
// take their shares of what all members share (package retrybudget).
func (r *Roster) PeakSize() int { return max(r.peak, 1) }
