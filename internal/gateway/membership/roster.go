package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Roster is the list of members that a gateway node keeps by gossip. Every
// member's heartbeat counter rises while it runs. What is reported of a member is
// ordered by its incarnation and then its counter, so that any order, loss or
// repetition of exchanges ends with the same roster.
//
// A Roster is not safe for concurrent use.
type Roster struct {
	self  message.GossipMember
	known map[string]rosterEntry
	seeds []string
	// ownWeight is this member's weight.
	ownWeight uint64
	// eligible is forgotten when the roster changes.
	eligible eligibleMembers
	// peak is the most members that Size ever counted at once.
	peak int
	// firstContact is when this member first heard from another; zero for never.
	firstContact time.Time
}

// rosterEntry is what is known of one other member.
type rosterEntry struct {
	message.GossipMember
	// advanced is when the member last gave a sign of life, by this node's clock:
	// its counter rose, or it answered this node.
	advanced time.Time
	// suspectUntil is until when the member is suspected; zero for never.
	suspectUntil time.Time
	// weight is the member's weight.
	weight uint64
}

// NewRoster returns the roster of a member that knows only itself and its seeds,
// the addresses of members to begin with. The incarnation rises with each start of
// the member.
func NewRoster(self string, incarnation int64, seeds []string) *Roster {
	r := &Roster{
		self:  message.GossipMember{Address: self, Incarnation: int(incarnation), Compact: true, Epochs: true},
		known: map[string]rosterEntry{}, ownWeight: weightOf(self),
	}
	r.SetSeeds(seeds)
	return r
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == r.self.Address })
}

// Seeds returns the seeds; the caller must not change them.
func (r *Roster) Seeds() []string { return r.seeds }

// Status is what a member reports of itself.
type Status struct {
	// Serving says that it knows a configuration, Leaving that it stops, and
	// ReachesSource that the source answered it lately.
	Serving, Leaving, ReachesSource bool
	// Version is that of its catalog, Revision that of its directory; 0 for none.
	Version, Revision int64
}

// SetStatus sets what this member reports of itself.
func (r *Roster) SetStatus(s Status) {
	r.changed()
	r.self.Serving = s.Serving
	r.self.Leaving = s.Leaving
	r.self.Hears = s.ReachesSource
	r.self.Version = int(s.Version)
	r.self.Revision = int(s.Revision)
}

// SetCapacity sets what this member can carry of the work that one member does for
// all, in thousandths of a core; 0 for unknown.
func (r *Roster) SetCapacity(capacity int) {
	r.changed()
	r.self.Capacity = capacity
}

// changed forgets what was derived from the roster.
func (r *Roster) changed() { r.eligible = eligibleMembers{} }

// Heartbeat raises this member's heartbeat counter.
func (r *Roster) Heartbeat() { r.self.Beat++ }

// Merge takes in the gossip of another member. A report that is newer than what is
// known is a sign of life, and ends a suspicion.
func (r *Roster) Merge(now time.Time, g message.Gossip) {
	r.changed()
	if r.firstContact.IsZero() {
		r.firstContact = now
	}
	for _, m := range g.Members {
		if m.Address == r.self.Address {
			r.refute(m)
			continue
		}
		old, known := r.known[m.Address]
		if known && compareMembers(m, old.GossipMember) <= 0 {
			continue
		}
		// A member of an earlier version passes reports on without what it does not know.
		m.Epochs = m.Epochs || old.Epochs && old.Incarnation == m.Incarnation
		e := rosterEntry{GossipMember: m, advanced: now, weight: old.weight}
		if !known {
			e.weight = weightOf(m.Address)
		}
		r.known[m.Address] = e
	}
	r.peak = max(r.peak, r.Size(now))
}

// refute raises this member's incarnation above one that is reported of an earlier
// start at the same address.
func (r *Roster) refute(m message.GossipMember) {
	if m.Incarnation > r.self.Incarnation {
		r.self.Incarnation = m.Incarnation + 1
	}
}

// compareMembers orders two reports of one member by age, the older first.
func compareMembers(a, b message.GossipMember) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Beat, b.Beat))
}

// CatalogVersion returns the version of the catalog that a member knows; 0 for unknown.
func (r *Roster) CatalogVersion(address string) int { return r.known[address].Version }

// SupportsCompact says whether a member reads the compact form of gossip.
func (r *Roster) SupportsCompact(address string) bool { return r.known[address].Compact }

// Members returns all that is known, this member first, for the state dump.
func (r *Roster) Members() []message.GossipMember {
	list := []message.GossipMember{r.self}
	for _, a := range slices.Sorted(maps.Keys(r.known)) {
		list = append(list, r.known[a].GossipMember)
	}
	return list
}
