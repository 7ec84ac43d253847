package gateway

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// members guards the roster: what this node knows of all members by gossip. It
// owns the roster and its lock; it sends nothing.
type members struct {
	now  func() time.Time
	self string

	mu     sync.Mutex
	roster *membership.Roster
}

// newMembers returns the members of a node that knows only itself and its seeds.
// capacity is in thousandths of a core; 0 for unknown.
func newMembers(now func() time.Time, self string, incarnation int64, seeds []string, capacity int) *members {
	roster := membership.NewRoster(self, incarnation, seeds)
	roster.SetCapacity(capacity)
	return &members{now: now, self: self, roster: roster}
}

// setStatus sets what this node reports of itself. The status is read under the
// lock, so that of two concurrent calls the later one sees what is newer.
func (m *members) setStatus(status func() membership.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetStatus(status())
}

// setSeeds replaces the addresses at which members are looked for.
func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetSeeds(seeds)
}

// seeds returns the addresses at which members are looked for.
func (m *members) seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Seeds()
}

// coordinator returns the member that coordinates a service; empty when no
// member serves.
func (m *members) coordinator(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placement.Coordinator(service, m.roster.Eligible(m.now()))
}

// coldRolePrefix begins the name under which the member is chosen that gives out the requests
// of a cold target of a plain service.
const coldRolePrefix = "cold/"

// settled says whether this node gives out what is scarce (Roster.Settled).
func (m *members) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Settled(m.now())
}

// ownsRole says whether this node is the member that gives out what is scarce, by a name
// for it.
func (m *members) ownsRole(role string) bool {
	return m.settled() && m.coordinator(role) == m.self
}

// ownsColdTarget says whether this node gives out the requests of a cold target of a plain
// service.
func (m *members) ownsColdTarget(target string) bool { return m.ownsRole(coldRolePrefix + target) }

// rank returns how many of the members that may do something for all come before this node,
// by the name of it, and how many there are; 0 members when this node may not, or knows the
// others too little.
func (m *members) rank(role string) (before, members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if !m.roster.Settled(now) {
		return 0, 0
	}
	return placement.Rank(role, m.roster.Eligible(now), m.self)
}

// remoteCoordinator returns the member that coordinates a service; empty when that
// is this node, or when no member serves, so that each node does its own work.
func (m *members) remoteCoordinator(service string) string {
	if address := m.coordinator(service); address != m.self {
		return address
	}
	return ""
}

// suspect passes over a member that failed a call, for a while.
func (m *members) suspect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Suspect(m.now(), address)
}

// lastContact returns when a member last gave a sign of life; zero for never.
func (m *members) lastContact(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.LastContact(address)
}

// isReader says whether this node is one of those that watch the source for all.
func (m *members) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.IsReader(m.now())
}

// followsReaders says whether this node leaves the source to other members,
// which report what changes.
func (m *members) followsReaders() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.FollowsReaders(m.now())
}

// aheadMember is what a member knows beyond this node.
type aheadMember struct {
	// member is the member that knows most; empty for none.
	member string
	// version is that of the member's configuration.
	version int
	// followsReaders says whether this node leaves the source to others.
	followsReaders bool
}

// aheadOf returns what members know beyond a view.
func (m *members) aheadOf(v *view.View) aheadMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	newest := m.roster.Newest(now, v.CatalogVersion(), int64(v.Revision))
	return aheadMember{member: newest, version: m.roster.VersionOf(newest), followsReaders: m.roster.FollowsReaders(now)}
}

// beginRound starts a round of gossip: it raises this node's heartbeat, drops
// members that have been silent for long, and returns up to n partners and a
// seed.
func (m *members) beginRound(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Heartbeat()
	m.roster.Forget(now)
	return m.roster.Partners(now, n)
}

// report returns what to report to another member.
func (m *members) report() message.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Gossip(m.now())
}

// readsCompact says whether a member is known to read the compact form of gossip.
func (m *members) readsCompact(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.ReadsCompact(address)
}

// mergeReply merges the answer of a member that was called, which is a sign of life.
func (m *members) mergeReply(address string, in message.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Merge(now, in)
	m.roster.Contacted(now, address)
}

// mergeAndReport merges what a member reported and returns what to answer.
func (m *members) mergeAndReport(in message.Gossip) message.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Merge(now, in)
	return m.roster.Gossip(now)
}

// size returns how many members are known to live, this node included.
func (m *members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Size(m.now())
}

// peakSize returns the most members that were ever known to live at once.
func (m *members) peakSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.PeakSize()
}

// list returns all members that are known, for the state dump.
func (m *members) list() []message.GossipMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}
