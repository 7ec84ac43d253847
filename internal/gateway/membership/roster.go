package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/message"
)

// Roster is a gateway node's list of members, maintained by gossip. Each running member
// increments its heartbeat counter. Reports about a member are ordered by its incarnation
// and then its counter, so the result does not depend on the order, loss or repetition of
// exchanges.
//
// A Roster is not safe for concurrent use.
type Roster struct {
	self   message.GossipMember
	others map[string]rosterEntry
	seeds  []string
	// ownWeight caches weightOf this member's address.
	ownWeight uint64
	// eligible is invalidated when the roster changes.
	eligible eligibleCache
	// peak is the highest Size after any Merge.
	peak int
	// firstContact is the time of the first gossip from another member; zero for none.
	firstContact time.Time
	// retryWindow and firstProcess are as in SetRetryWindow.
	retryWindow  time.Duration
	firstProcess bool
	own          ownHistory
	// unassigned is when a member that does not assign streams to versions was last heard of; zero
	// for never.
	unassigned time.Time
	// ages holds the ages of views that members reported.
	ages ViewAges
}

// rosterEntry is the state of one other member.
type rosterEntry struct {
	message.GossipMember
	// lastSeen is the last time, by this node's clock, at which a report with a higher
	// incarnation or counter arrived, or the member answered this node.
	lastSeen time.Time
	// suspectedUntil is the end of the member's suspicion; zero for none.
	suspectedUntil time.Time
	// weight caches weightOf the member's address.
	weight  uint64
	history history
}

// NewRoster returns the roster of a member that knows only itself and its seeds, the
// addresses of the members to contact first. The incarnation must increase with each
// start of the member.
func NewRoster(self string, incarnation int64, seeds []string) *Roster {
	r := &Roster{
		self:   message.GossipMember{Address: self, Incarnation: int(incarnation), Compact: true, Epochs: true, Counts: true, Assigns: true},
		others: map[string]rosterEntry{}, ownWeight: weightOf(self),
	}
	r.SetSeeds(seeds)
	return r
}

// SetSeeds replaces the seeds. This member's own address is ignored.
func (r *Roster) SetSeeds(seeds []string) {
	r.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == r.self.Address })
}

// Seeds returns the seeds. The caller must not modify the slice.
func (r *Roster) Seeds() []string { return r.seeds }

// Status is the state that a member reports about itself.
type Status struct {
	// Serving is set if the member has a configuration, Leaving if it is shutting down,
	// and ReachesSource if the source answered it recently.
	Serving, Leaving, ReachesSource bool
	// Version is the version of its catalog, and Revision that of its directory; 0 for
	// none.
	Version, Revision int64
	// Spent is what the member spent of the retry budget in the last window.
	Spent retrybudget.Spent
	// Busy is set if the member lately had more work than it can do.
	Busy bool
	// ViewAgeMs is for how long its view has not been confirmed by the source, in milliseconds; 0 if it
	// has none.
	ViewAgeMs int
}

// SetStatus sets the state that this member reports about itself.
func (r *Roster) SetStatus(s Status) {
	r.invalidateCache()
	r.self.Serving = s.Serving
	r.self.Leaving = s.Leaving
	r.self.Hears = s.ReachesSource
	r.self.Version = int(s.Version)
	r.self.Revision = int(s.Revision)
	r.self.Busy = s.Busy
	r.self.ViewAgeMs = s.ViewAgeMs
	r.self.Service, r.self.Retries, r.self.Firsts = s.Spent.Service, s.Spent.Retries, s.Spent.FirstAttempts
}

// SetCapacity sets this member's capacity for work that one member does for the fleet,
// in thousandths of a core; 0 if unknown.
func (r *Roster) SetCapacity(capacity int) {
	r.invalidateCache()
	r.self.Capacity = capacity
}

// invalidateCache invalidates what was derived from the roster.
func (r *Roster) invalidateCache() { r.eligible = eligibleCache{} }

// Heartbeat increments this member's heartbeat counter.
func (r *Roster) Heartbeat() { r.self.Beat++ }

// Merge merges the gossip of another member. A report that is newer than the known one
// updates lastSeen and ends a suspicion.
func (r *Roster) Merge(now time.Time, g message.Gossip) {
	r.invalidateCache()
	if r.firstContact.IsZero() {
		r.firstContact = now
	}
	for _, m := range g.Members {
		if m.Address == r.self.Address {
			r.refute(m)
			continue
		}
		old, known := r.others[m.Address]
		if known && compareMembers(m, old.GossipMember) <= 0 {
			continue
		}
		// Members of an earlier version forward reports without the fields that they do not
		// know.
		if same := old.Incarnation == m.Incarnation; same {
			m.Epochs = m.Epochs || old.Epochs
			m.Assigns = m.Assigns || old.Assigns
			if old.Counts && !m.Counts {
				m.Counts, m.Service, m.Retries, m.Firsts = true, old.Service, old.Retries, old.Firsts
			}
		}
		e := rosterEntry{GossipMember: m, lastSeen: now, weight: old.weight, history: old.history}
		switch {
		case !known:
			e.weight = weightOf(m.Address)
			e.history = history{firstSeen: now, known: true}
		case old.Incarnation != m.Incarnation:
			e.history = historyAfter(now, old, r.retryWindow)
		}
		r.others[m.Address] = e
		r.ages.Put(now, time.Duration(m.ViewAgeMs)*time.Millisecond)
		if !m.Assigns {
			r.unassigned = now
		}
	}
	r.peak = max(r.peak, r.Size(now))
}

// AllAssign reports whether all members that this one heard of within a time, and knows well enough,
// assign new streams to software versions.
func (r *Roster) AllAssign(now time.Time, within time.Duration) bool {
	return r.Settled(now) && (r.unassigned.IsZero() || now.Sub(r.unassigned) > within)
}

// refute raises this member's incarnation above that of a report from an earlier start at
// the same address.
func (r *Roster) refute(m message.GossipMember) {
	if m.Incarnation > r.self.Incarnation {
		r.self.Incarnation = m.Incarnation + 1
	}
}

// compareMembers orders two reports about one member by age, the older one first.
func compareMembers(a, b message.GossipMember) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Beat, b.Beat))
}

// CatalogVersion returns the version of a member's catalog; 0 if unknown.
func (r *Roster) CatalogVersion(address string) int { return r.others[address].Version }

// SupportsCompact reports whether a member supports the compact encoding of gossip.
func (r *Roster) SupportsCompact(address string) bool { return r.others[address].Compact }

// Members returns all known members, this one first and the others in the order of their
// addresses, for the state dump.
func (r *Roster) Members() []message.GossipMember {
	list := []message.GossipMember{r.self}
	for _, a := range slices.Sorted(maps.Keys(r.others)) {
		list = append(list, r.others[a].GossipMember)
	}
	return list
}
