// Package membership holds what a gateway knows of its members by gossip: who
// is alive, what each knows of the store, and which of them take on work that
// one member does for all. It owns the roster and does no input or output; the
// gateway exchanges the messages and guards the roster with a lock. A member
// that falls silent counts as lost until it is heard directly or by others.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// rosterLive is how long after its last sign of life a member counts as live.
	rosterLive = 2500 * time.Millisecond
	// rosterForget is how long a silent member stays known.
	rosterForget = 30 * time.Second
	// suspectFor is how long a member that failed a call is passed over, unless
	// it gives a new sign of life.
	suspectFor = 1500 * time.Millisecond
	// allRead is how many members all look at the source often. Of more members
	// minReaders do, and one for each membersPerReader.
	allRead          = 9
	minReaders       = 4
	membersPerReader = 40
	// maxGossip bounds the members told in one exchange.
	maxGossip = 40
	// dutyShare is the part of the strongest member's capacity from which on a
	// member does the work that one node does for all.
	dutyShare = 0.5
)

// rosterEntry is what is known of one member.
type rosterEntry struct {
	message.GossipMember
	// advanced is when the member's beat last rose, by this node's clock.
	advanced     time.Time
	suspectUntil time.Time
}

// Roster is the list of members that a gateway node keeps by gossip. Every
// member's beat rises while it runs; a member whose beat has not risen for some
// time is taken for dead. What is told of a member is ordered by incarnation and
// beat, so any order, loss or repetition of exchange ends the same.
//
// A Roster is not safe for concurrent use.
type Roster struct {
	self  message.GossipMember
	known map[string]rosterEntry
	seeds []string
	// most is the most members that were ever known to live at once.
	most int
}

// NewRoster returns the roster of a member that knows only itself and the
// addresses to begin with.
func NewRoster(self string, incarnation int64, seeds []string) *Roster {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == self })
	return &Roster{
		self:  message.GossipMember{Address: self, Incarnation: int(incarnation)},
		known: map[string]rosterEntry{},
		seeds: seeds,
	}
}

// SetSeeds replaces the addresses to begin with.
func (r *Roster) SetSeeds(seeds []string) {
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == r.self.Address })
}

// Status is what a member tells of itself.
type Status struct {
	// Serving says that it knows a configuration, Leaving that it stops, and Hears
	// that it has heard the source lately.
	Serving, Leaving, ReachesSource bool
	// Version and Revision are those of what it knows.
	Version, Revision int64
}

// SetStatus sets what this member tells of itself.
func (r *Roster) SetStatus(s Status) {
	r.self.Serving = s.Serving
	r.self.Leaving = s.Leaving
	r.self.Hears = s.ReachesSource
	r.self.Version = int(s.Version)
	r.self.Revision = int(s.Revision)
}

// FollowsReaders says whether this member leaves the source to others: it is not one of
// those that look at it, and a live member has heard it lately.
func (r *Roster) FollowsReaders(now time.Time) bool {
	if r.IsReader(now) {
		return false
	}
	for _, e := range r.known {
		if e.Hears && r.live(now, e) {
			return true
		}
	}
	return false
}

// SetCapacity sets what this member can carry of the work that one node does for
// all, in thousandths of a core; 0 for unknown.
func (r *Roster) SetCapacity(capacity int) { r.self.Capacity = capacity }

// Heartbeat raises this member's beat.
func (r *Roster) Heartbeat() { r.self.Beat++ }

// Merge takes in what another member told.
func (r *Roster) Merge(now time.Time, g message.Gossip) {
	for _, m := range g.Members {
		if m.Address == r.self.Address {
			r.refute(m)
			continue
		}
		old, known := r.known[m.Address]
		if known && compareMembers(m, old.GossipMember) <= 0 {
			continue
		}
		r.known[m.Address] = rosterEntry{GossipMember: m, advanced: now}
	}
	r.most = max(r.most, r.Size(now))
}

// refute outbids what is told of an earlier life at this address.
func (r *Roster) refute(m message.GossipMember) {
	if m.Incarnation > r.self.Incarnation {
		r.self.Incarnation = m.Incarnation + 1
	}
}

func compareMembers(a, b message.GossipMember) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Beat, b.Beat)
}

// Suspect passes a member over that failed a call.
func (r *Roster) Suspect(now time.Time, address string) {
	if e, known := r.known[address]; known {
		e.suspectUntil = now.Add(suspectFor)
		r.known[address] = e
	}
}

// Contacted notes a direct sign of life of a member.
func (r *Roster) Contacted(now time.Time, address string) {
	if e, known := r.known[address]; known {
		e.advanced = now
		r.known[address] = e
	}
}

// LastContact returns when a member last gave a sign of life; zero for never.
func (r *Roster) LastContact(address string) time.Time { return r.known[address].advanced }

// Forget drops members that have been silent for long.
func (r *Roster) Forget(now time.Time) {
	maps.DeleteFunc(r.known, func(_ string, e rosterEntry) bool { return now.Sub(e.advanced) > rosterForget })
}

// Gossip returns what to tell another member.
func (r *Roster) Gossip(now time.Time) message.Gossip {
	others := make([]message.GossipMember, 0, len(r.known))
	for _, e := range r.known {
		if r.live(now, e) || e.Leaving {
			others = append(others, e.GossipMember)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxGossip)]
	return message.Gossip{Members: append([]message.GossipMember{r.self}, others...)}
}

func (r *Roster) live(now time.Time, e rosterEntry) bool {
	return now.Sub(e.advanced) <= rosterLive
}

// Partners returns up to n members to exchange with, at random, and one seed
// that is not known as live, so that parts which lost each other meet again.
func (r *Roster) Partners(now time.Time, n int) []string {
	var live, other []string
	for a, e := range r.known {
		if r.live(now, e) {
			live = append(live, a)
		}
	}
	for _, s := range r.seeds {
		if !slices.Contains(live, s) {
			other = append(other, s)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	partners := live[:min(len(live), n)]
	if len(other) > 0 {
		partners = append(partners, other[rand.N(len(other))])
	}
	return partners
}

// Serving returns the members that take work, this one included when it does,
// in the order of their addresses.
func (r *Roster) Serving(now time.Time) []string {
	var list []string
	if r.self.Serving && !r.self.Leaving {
		list = append(list, r.self.Address)
	}
	for a, e := range r.known {
		if e.Serving && !e.Leaving && r.live(now, e) && !now.Before(e.suspectUntil) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// Eligible returns the members of Serving that are strong enough to work for all
// the others: those with at least half of the strongest one's capacity.
func (r *Roster) Eligible(now time.Time) []string {
	serving := r.Serving(now)
	strongest := 0
	for _, a := range serving {
		strongest = max(strongest, r.capacity(a))
	}
	least := int(dutyShare * float64(strongest))
	return slices.DeleteFunc(serving, func(a string) bool { return r.capacity(a) < least })
}

func (r *Roster) capacity(address string) int {
	if address == r.self.Address {
		return r.self.Capacity
	}
	return r.known[address].Capacity
}

// Size returns how many members are known to live, this one included.
func (r *Roster) Size(now time.Time) int {
	n := 1
	for _, e := range r.known {
		if r.live(now, e) {
			n++
		}
	}
	return n
}

// PeakSize returns the most members that were ever known to live at once, this one
// included.
func (r *Roster) PeakSize() int { return max(r.most, 1) }

// IsReader says whether this member is one of those that look at the source often,
// strong ones first. The others are told by gossip when it has news that they
// have not heard.
func (r *Roster) IsReader(now time.Time) bool {
	serving := r.Serving(now)
	if len(serving) <= allRead {
		return true
	}
	readers := minReaders + len(serving)/membersPerReader
	strong := r.Eligible(now)
	if !slices.Contains(strong, r.self.Address) {
		if len(strong) >= readers {
			return false
		}
		readers -= len(strong)
		strong = slices.DeleteFunc(serving, func(a string) bool { return slices.Contains(strong, a) })
	}
	ahead := 0
	own := readerRank(r.self.Address)
	for _, a := range strong {
		if readerRank(a) > own {
			ahead++
		}
	}
	return ahead < readers
}

func readerRank(address string) uint64 { return xxhash.Sum64String("reader/" + address) }

// Newest returns the live member that knows the newest configuration and
// revision, when it knows more than this one; empty for none.
func (r *Roster) Newest(now time.Time, version, revision int64) string {
	newest := ""
	bestVersion, bestRevision := int(version), int(revision)
	for a, e := range r.known {
		if !r.live(now, e) || e.Version < bestVersion {
			continue
		}
		if e.Version > bestVersion || e.Revision > bestRevision {
			newest, bestVersion, bestRevision = a, e.Version, e.Revision
		}
	}
	return newest
}

// VersionOf returns the version that a member knows; 0 for unknown.
func (r *Roster) VersionOf(address string) int { return r.known[address].Version }

// Members returns all that is known, for the state dump.
func (r *Roster) Members() []message.GossipMember {
	list := []message.GossipMember{r.self}
	for _, a := range slices.Sorted(maps.Keys(r.known)) {
		list = append(list, r.known[a].GossipMember)
	}
	return list
}
