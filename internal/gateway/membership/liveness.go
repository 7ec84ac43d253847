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
	// liveFor is how long after its last sign of life a member counts as live.
	// Not measured (commit 72a0bc2).
	liveFor = 2500 * time.Millisecond
	// suspectFor is how long a member that failed a call is passed over, unless it
	// gives a new sign of life by gossip. Not measured (commit 72a0bc2).
	suspectFor = 1500 * time.Millisecond
	// forgetAfter is how long a silent member stays known. Not measured (commit
	// 72a0bc2).
	forgetAfter = 30 * time.Second
)

// live says whether a member gave a sign of life within liveFor, by this node's
// clock. A wrong yes costs calls to a member that has died, each a timeout; a wrong
// no moves what the member coordinates to another, and makes two of them do it.
func live(now time.Time, e rosterEntry) bool {
	return now.Sub(e.advanced) <= liveFor
}

// Suspect passes over a member that failed a call, for suspectFor.
func (r *Roster) Suspect(now time.Time, address string) {
	if e, known := r.known[address]; known {
		e.suspectUntil = now.Add(suspectFor)
		r.known[address] = e
	}
}

// Contacted notes that a member answered this node. It does not end a suspicion.
func (r *Roster) Contacted(now time.Time, address string) {
	if e, known := r.known[address]; known {
		e.advanced = now
		r.known[address] = e
	}
}

// LastContact returns when a member last gave a sign of life; zero for never.
func (r *Roster) LastContact(address string) time.Time { return r.known[address].advanced }

// Forget drops members that have been silent for longer than forgetAfter.
func (r *Roster) Forget(now time.Time) {
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

// Size returns how many members are live, this one included.
func (r *Roster) Size(now time.Time) int {
	n := 1
	for _, e := range r.known {
		if live(now, e) {
			n++
		}
	}
	return n
}

// PeakSize returns the most members that were ever known to be live at once, this
// one included. It never falls, so that a node that loses sight of others does not
// take their shares of what all members share (package retrybudget).
func (r *Roster) PeakSize() int { return max(r.peak, 1) }
