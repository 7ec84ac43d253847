package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// members guards the roster: what this node knows of all members by gossip. It owns the
// roster and its lock, and sends nothing.
type members struct {
	now  func() time.Time
	self string

	mu     sync.Mutex
	roster *membership.Roster
}

// setRetryWindow sets for how long a retry counts, and whether no process of this node ran before.
func (m *members) setRetryWindow(window time.Duration, firstProcess bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetRetryWindow(window, firstProcess)
}

// earlierSpent returns what earlier processes of this node may have spent of the retry budget
// within its window, and whether that is known.
func (m *members) earlierSpent() (spent retrybudget.Spent, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.EarlierSpent()
}

// newMembers returns the members of a node that knows only itself and its seeds. capacity is
// in thousandths of a core; 0 if unknown.
func newMembers(now func() time.Time, self string, incarnation int64, seeds []string, capacity int) *members {
	roster := membership.NewRoster(self, incarnation, seeds)
	roster.SetCapacity(capacity)
	return &members{now: now, self: self, roster: roster}
}

// setStatus sets the status that this node reports. status is called with the lock held, so
// that the later of two concurrent calls sets the newer status.
func (m *members) setStatus(status func() membership.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetStatus(status())
}

// setSeeds replaces the seed addresses.
func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetSeeds(seeds)
}

// seeds returns the seed addresses.
func (m *members) seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Seeds()
}

// coordinator returns the member that coordinates a service; empty if no member serves.
func (m *members) coordinator(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placement.Coordinator(service, m.roster.Eligible(m.now()))
}

// coldRolePrefix is the prefix of the role of the member that sends requests to a cold target
// of a plain service.
const coldRolePrefix = "cold/"

// settled reports whether this node knows the other members well enough to own a role
// (Roster.Settled).
func (m *members) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Settled(m.now())
}

// ownsRole reports whether this node is the one member that owns a role, such as sending
// requests to a cold target.
func (m *members) ownsRole(role string) bool {
	return m.settled() && m.coordinator(role) == m.self
}

// ownsColdTarget reports whether this node is the member that sends requests to a cold target
// of a plain service.
func (m *members) ownsColdTarget(target string) bool { return m.ownsRole(coldRolePrefix + target) }

// rank returns how many of the members that are eligible for a role come before this node,
// and how many there are; 0 members if this node is not eligible or does not know the others
// well enough.
func (m *members) rank(role string) (before, members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if !m.roster.Settled(now) {
		return 0, 0
	}
	return placement.Rank(role, m.roster.Eligible(now), m.self)
}

// allAssign reports whether all members assign new streams to software versions, and did for as long
// as a stream may last.
func (m *members) allAssign() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.AllAssign(m.now(), maxOriginKeep)
}

// worstViewAge returns the greatest age of a view that a member reported since a time.
func (m *members) worstViewAge(since time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.WorstViewAge(since)
}

// remoteCoordinator returns the other member that coordinates a service; empty if it is this
// node, or if no member serves and each node does its own work.
func (m *members) remoteCoordinator(service string) string {
	if address := m.coordinator(service); address != m.self {
		return address
	}
	return ""
}

// haveRoom reports whether the other members can take callers that this node turns away.
func (m *members) haveRoom() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.HaveRoom(m.now())
}

// suspect marks a member that failed a call as suspected, so that it is skipped for a while.
func (m *members) suspect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.Suspect(m.now(), address)
}

// lastContact returns when a member was last known to be alive; zero if never.
func (m *members) lastContact(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.LastContact(address)
}

// isReader reports whether this node is one of the readers, which watch the source for all.
func (m *members) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.IsReader(m.now())
}

// followsReaders reports whether this node leaves the source to the readers, which report
// what changes.
func (m *members) followsReaders() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.FollowsReaders(m.now())
}

// aheadMember describes a member that is ahead of this node.
type aheadMember struct {
	// member is the address of the member that is furthest ahead; empty if none is ahead.
	member string
	// version is the version of the member's catalog.
	version int
	// followsReaders is whether this node leaves the source to the readers.
	followsReaders bool
}

// aheadOf returns the member that is furthest ahead of a view.
func (m *members) aheadOf(v *view.View) aheadMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	newest := m.roster.Newest(now, v.CatalogVersion(), int64(v.Revision))
	return aheadMember{member: newest, version: m.roster.CatalogVersion(newest), followsReaders: m.roster.FollowsReaders(now)}
}

// beginRound starts a gossip round: it increments this node's heartbeat, drops members that
// have been silent for long, and returns up to n partners and a seed.
func (m *members) beginRound(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Heartbeat()
	m.roster.Prune(now)
	return m.roster.Partners(now, n)
}

// report returns the gossip to send to another member.
func (m *members) report() message.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Gossip(m.now())
}

// readsCompact reports whether a member is known to decode the compact form of gossip.
func (m *members) readsCompact(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.SupportsCompact(address)
}

// mergeReply merges the reply of a member that was called, which proves that it is alive.
func (m *members) mergeReply(address string, in message.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Merge(now, in)
	m.roster.Contacted(now, address)
	if in.Earlier != nil {
		m.roster.SetEarlier(*in.Earlier)
	}
}

// mergeAndReport merges a member's report and returns the gossip to answer with.
func (m *members) mergeAndReport(in message.Gossip) message.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.roster.Merge(now, in)
	out := m.roster.Gossip(now)
	if len(in.Members) > 0 {
		out.Earlier = m.roster.Earlier(now, in.Members[0].Address)
	}
	return out
}

// size returns the number of live members, including this node.
func (m *members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Size(m.now())
}

// peakSize returns the highest number of members that were ever known to be live at once.
func (m *members) peakSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.PeakSize()
}

// others returns the other members that serve and that are accepted, ordered by a hash of
// this node and the member, so that nodes prefer different members.
func (m *members) others(accept func(member string) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.DeleteFunc(m.roster.Serving(m.now()), func(member string) bool {
		return member == m.self || !accept(member)
	})
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(m.self+"/"+a), xxhash.Sum64String(m.self+"/"+b))
	})
	return list
}

// nearest returns up to n of the members that serve and that are accepted, this node excluded,
// in the order of their rendezvous weights for a key. Members that know the same members agree
// on the order.
func (m *members) nearest(key uint64, n int, accept func(member string) bool) []string {
	m.mu.Lock()
	serving := m.roster.Serving(m.now())
	m.mu.Unlock()
	others := slices.DeleteFunc(serving, func(member string) bool { return member == m.self || !accept(member) })
	return placement.Nearest(key, others, n)
}

// list returns all known members, for the state dump.
func (m *members) list() []message.GossipMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Members()
}
