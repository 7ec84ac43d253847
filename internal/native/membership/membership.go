// Package membership holds what a node knows of its peers and of leaving
// targets, and decides which nodes of a data centre read the configuration service.
//
// It owns the node's view: peers, leaving marks and readers. It relies on its caller
// for the exchanges with peers, the platform's list of instances and the time; it
// does no input or output and reads no clock. Without exchanges peers are no longer
// live after liveFor and are dropped after forgetAfter, and the node reads the
// service itself; without the platform's list the number of nodes is estimated from
// the peers that sent an exchange lately.
//
// Leaving marks form a set that only grows within the life of an incarnation, so any
// order, loss or repetition of exchanges ends the same. Peers are known from
// settings, the platform's lagging list and other peers; a peer's own exchange goes
// before the list. See docs/decisions/0006-membership.md; readers.go holds the rule
// of the readers.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Rule: which peers are live, and what one exchange names.
//
// Inputs: the age of each peer's last exchange and whether it is leaving; the age of
// each leaving mark. Why so: the exchange must not grow with the fleet
// (docs/decisions/0006-membership.md). A peer that counts as live too long is named
// to others in vain; a mark that is passed on too shortly leaves nodes to learn of a
// leaving target by its refusal.
const (
	// liveFor is how long after its last exchange a peer counts as live: five rounds of
	// exchange.
	liveFor = 5 * time.Second
	// forgetAfter is how long a peer that never answers stays known.
	forgetAfter = 10 * time.Minute
	// countedFor is how long after its last exchange a peer counts for the size of the
	// fleet.
	countedFor = time.Minute
	// maxPeersNamed bounds the peers that one exchange names. With the other bounds of
	// control traffic a node sends 3,656 to 3,844 bytes a second at 5 to 30 nodes, in
	// place of 47,853.
	maxPeersNamed = 4
	// maxMarksNamed bounds the leaving marks that one exchange names. See maxPeersNamed.
	maxMarksNamed = 32
	// passMarkFor is how long a leaving mark is passed on after it became known. The
	// exchange spreads it to all nodes in a few rounds; a node that starts later has the
	// target's own report.
	passMarkFor = 30 * time.Second
	// MaxMarks bounds the leaving marks held; the oldest go first. It bounds memory.
	MaxMarks = 4096
	// nearRatio makes one in nearRatio samples of peers come from the node's own data
	// centre alone.
	nearRatio = 2
)

// Peer is what is known of one peer.
type Peer struct {
	// Address is its IP number and port for peers.
	Address string
	// Incarnation, DataCentre, Bundle and Leaving are those of its last exchange;
	// Bundle is the number of its newest bundle.
	Incarnation string
	DataCentre  string
	Bundle      int
	Leaving     bool
	// LastExchange is when its last exchange was received; zero for never.
	LastExchange time.Time
	// Added is when it became known.
	Added time.Time
}

// lastSign is when the last exchange of the peer was received, or when it became known.
func (p Peer) lastSign() time.Time {
	if p.LastExchange.IsZero() {
		return p.Added
	}
	return p.LastExchange
}

// exchangedWithin says whether the peer's last exchange is at most d old and the peer is
// not leaving.
func (p Peer) exchangedWithin(now time.Time, d time.Duration) bool {
	return !p.Leaving && !p.LastExchange.IsZero() && now.Sub(p.LastExchange) <= d
}

// View is what a node knows. It is immutable.
type View struct {
	self       string
	dataCentre string
	// peers holds the known peers by address.
	peers map[string]Peer
	// marks holds the leaving marks, the newest last.
	marks []message.LeavingMark
	// listed is how many instances the platform lists; 0 before it did.
	listed int
	// readers says when each reader of this data centre was last known to read.
	readers map[string]time.Time
	// shortSince is since when fewer readers than wanted are known; zero when enough
	// are.
	shortSince time.Time
	// reading is true while this node is a reader.
	reading bool
	// markedAt says when each mark became known.
	markedAt map[message.LeavingMark]time.Time
}

// New returns the view of a node at the address self that knows no peer.
func New(self, dataCentre string) View {
	return View{
		self: self, dataCentre: dataCentre, peers: map[string]Peer{},
		markedAt: map[message.LeavingMark]time.Time{}, readers: map[string]time.Time{},
	}
}

// WithAddresses adds peers known by address only.
func (v View) WithAddresses(now time.Time, addresses []string) View {
	v.peers = maps.Clone(v.peers)
	for _, a := range addresses {
		if _, known := v.peers[a]; !known && a != v.self {
			v.peers[a] = Peer{Address: a, Added: now}
		}
	}
	return v
}

// WithExchange returns the view after an exchange received from a peer, and the leaving
// marks that were not known.
func (v View) WithExchange(now time.Time, ex message.Exchange) (View, []message.LeavingMark) {
	if ex.Node != v.self {
		v.peers = maps.Clone(v.peers)
		old := v.peers[ex.Node]
		added := old.Added
		if added.IsZero() {
			added = now
		}
		v.peers[ex.Node] = Peer{
			Address: ex.Node, Incarnation: ex.Incarnation, DataCentre: ex.DataCentre,
			Bundle: ex.Bundle, Leaving: leavingFor(old, ex), LastExchange: now, Added: added,
		}
	}
	if ex.DataCentre == v.dataCentre {
		v = v.withReaders(now, ex.Readers)
	}
	v = v.WithAddresses(now, ex.Peers)
	return v.WithMarks(now, ex.Marks)
}

// leavingFor says whether the peer is leaving: once an incarnation has said so, it
// stays leaving, whatever older exchanges arrive later.
func leavingFor(old Peer, ex message.Exchange) bool {
	return ex.Leaving || (old.Leaving && old.Incarnation == ex.Incarnation)
}

// WithMarks adds leaving marks and returns those that were not known.
func (v View) WithMarks(now time.Time, marks []message.LeavingMark) (View, []message.LeavingMark) {
	var added []message.LeavingMark
	for _, m := range marks {
		if _, known := v.markedAt[m]; !known && !slices.Contains(added, m) {
			added = append(added, m)
		}
	}
	if len(added) == 0 {
		return v, nil
	}
	v.marks = append(slices.Clone(v.marks), added...)
	if len(v.marks) > MaxMarks {
		v.marks = v.marks[len(v.marks)-MaxMarks:]
	}
	markedAt := make(map[message.LeavingMark]time.Time, len(v.marks))
	for _, m := range v.marks {
		markedAt[m] = now
		if at, known := v.markedAt[m]; known {
			markedAt[m] = at
		}
	}
	v.markedAt = markedAt
	return v, added
}

// WithTime drops peers without an exchange for forgetAfter.
func (v View) WithTime(now time.Time) View {
	for a, p := range v.peers {
		if now.Sub(p.lastSign()) > forgetAfter {
			v.peers = maps.Clone(v.peers)
			delete(v.peers, a)
		}
	}
	return v
}

// Marks returns the leaving marks; the caller must not change them.
func (v View) Marks() []message.LeavingMark { return v.marks }

// FreshMarks returns the newest marks that are still passed on.
func (v View) FreshMarks(now time.Time) []message.LeavingMark {
	var fresh []message.LeavingMark
	for i := len(v.marks) - 1; i >= 0 && len(fresh) < maxMarksNamed; i-- {
		if now.Sub(v.markedAt[v.marks[i]]) <= passMarkFor {
			fresh = append(fresh, v.marks[i])
		}
	}
	return fresh
}

// Peers returns the peers in the order of their addresses.
func (v View) Peers() []Peer {
	list := make([]Peer, 0, len(v.peers))
	for _, a := range slices.Sorted(maps.Keys(v.peers)) {
		list = append(list, v.peers[a])
	}
	return list
}

// NamedPeers returns the addresses to name in an exchange: live peers, at random when
// there are many.
func (v View) NamedPeers(now time.Time, rng *rand.Rand) []string {
	var live []string
	for _, p := range v.Peers() {
		if p.exchangedWithin(now, liveFor) {
			live = append(live, p.Address)
		}
	}
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), maxPeersNamed)]
}

// Sample returns up to n peers at random. One in nearRatio times they are of this
// data centre where such are known, so that its readers become known in it at a rate
// that does not fall as the fleet grows.
func (v View) Sample(n int, rng *rand.Rand) []Peer {
	list := v.Peers()
	if near := slices.DeleteFunc(slices.Clone(list), v.elsewhere); len(near) > 0 && rng.IntN(nearRatio) == 0 {
		list = near
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}

func (v View) elsewhere(p Peer) bool { return p.DataCentre != v.dataCentre }

// WithList returns the view with the platform's lagging list of instances that are
// not leaving, this node among them.
func (v View) WithList(now time.Time, addresses []string) View {
	v.listed = len(addresses)
	return v.WithAddresses(now, addresses)
}

// Size estimates how many nodes there are, this one included: as many as the
// platform lists, or as sent an exchange within countedFor where it lists none.
func (v View) Size(now time.Time) int {
	if v.listed > 0 {
		return v.listed
	}
	n := 1
	for _, p := range v.peers {
		if p.exchangedWithin(now, countedFor) {
			n++
		}
	}
	return n
}
