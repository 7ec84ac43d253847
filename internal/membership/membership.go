// Package membership holds what a node knows of its peers and of leaving
// targets. It does no input or output and reads no clock.
//
// Leaving marks form a set that only grows within the life of an incarnation,
// so any order, loss or repetition of exchange ends the same. Peers are known
// from settings, the platform's lagging list and other peers; a peer's own word
// is newer than the list.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/routing"
)

const (
	// liveFor is how long after its last word a peer counts as live.
	liveFor = 5 * time.Second
	// forgetAfter is how long a peer that never answers stays known.
	forgetAfter = 10 * time.Minute
	// readers is how many nodes of a data centre read the configuration service.
	readers = 2
	// maxPeersTold bounds the peers named in one exchange.
	maxPeersTold = 32
	// MaxMarks bounds the leaving marks held; the oldest go first.
	MaxMarks = 4096
)

// Peer is what is known of one peer.
type Peer struct {
	Address     string
	Incarnation string
	DataCentre  string
	Bundle      int
	Digest      string
	Leaving     bool
	// Heard is when its last word came; zero for never.
	Heard time.Time
	// Added is when it became known.
	Added time.Time
}

// live says whether the peer spoke lately and is not leaving.
func (p Peer) live(now time.Time) bool {
	return !p.Leaving && !p.Heard.IsZero() && now.Sub(p.Heard) <= liveFor
}

// View is what a node knows. It is immutable.
type View struct {
	self       string
	dataCentre string
	peers      map[string]Peer
	marks      []message.LeavingMark
	known      map[message.LeavingMark]bool
}

// New returns the view of a node that knows nobody.
func New(self, dataCentre string) View {
	return View{self: self, dataCentre: dataCentre, peers: map[string]Peer{}, known: map[message.LeavingMark]bool{}}
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

// WithWord takes in a peer's own word, and returns the leaving marks that are
// news.
func (v View) WithWord(now time.Time, ex message.Exchange) (View, []message.LeavingMark) {
	if ex.Node != v.self {
		v.peers = maps.Clone(v.peers)
		old := v.peers[ex.Node]
		added := old.Added
		if added.IsZero() {
			added = now
		}
		v.peers[ex.Node] = Peer{
			Address: ex.Node, Incarnation: ex.Incarnation, DataCentre: ex.DataCentre,
			Bundle: ex.Bundle, Digest: ex.Digest, Leaving: leavingFor(old, ex), Heard: now, Added: added,
		}
	}
	v = v.WithAddresses(now, ex.Peers)
	return v.WithMarks(ex.Marks)
}

// leavingFor keeps a leaving mark for the incarnation that gave it.
func leavingFor(old Peer, ex message.Exchange) bool {
	return ex.Leaving || (old.Leaving && old.Incarnation == ex.Incarnation)
}

// WithMarks adds leaving marks and returns those that are news.
func (v View) WithMarks(marks []message.LeavingMark) (View, []message.LeavingMark) {
	var news []message.LeavingMark
	for _, m := range marks {
		if !v.known[m] && !slices.Contains(news, m) {
			news = append(news, m)
		}
	}
	if len(news) == 0 {
		return v, nil
	}
	v.marks = append(slices.Clone(v.marks), news...)
	if len(v.marks) > MaxMarks {
		v.marks = v.marks[len(v.marks)-MaxMarks:]
	}
	v.known = make(map[message.LeavingMark]bool, len(v.marks))
	for _, m := range v.marks {
		v.known[m] = true
	}
	return v, news
}

// WithTime forgets peers that never answer.
func (v View) WithTime(now time.Time) View {
	for a, p := range v.peers {
		last := p.Heard
		if last.IsZero() {
			last = p.Added
		}
		if now.Sub(last) > forgetAfter {
			v.peers = maps.Clone(v.peers)
			delete(v.peers, a)
		}
	}
	return v
}

// Marks returns the leaving marks; the caller must not change them.
func (v View) Marks() []message.LeavingMark { return v.marks }

// Peers returns the peers in the order of their addresses.
func (v View) Peers() []Peer {
	list := make([]Peer, 0, len(v.peers))
	for _, a := range slices.Sorted(maps.Keys(v.peers)) {
		list = append(list, v.peers[a])
	}
	return list
}

// Told returns the addresses to name in an exchange: live peers, at random when
// there are many.
func (v View) Told(now time.Time, rng *rand.Rand) []string {
	var live []string
	for _, p := range v.Peers() {
		if p.live(now) {
			live = append(live, p.Address)
		}
	}
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), maxPeersTold)]
}

// Sample returns up to n peers at random.
func (v View) Sample(n int, rng *rand.Rand) []Peer {
	list := v.Peers()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}

// Live counts the nodes that spoke lately and are not leaving, this one included.
func (v View) Live(now time.Time) int {
	n := 1
	for _, p := range v.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// Reads says whether this node is among the readers of the configuration
// service: the first of its data centre by rank among the nodes that it has
// heard lately. Nodes that do not hear each other each become one, so a
// partition leaves readers on both sides.
func (v View) Reads(now time.Time) bool {
	own := routing.Hash(v.self)
	above := 0
	for _, p := range v.peers {
		if p.DataCentre == v.dataCentre && p.live(now) && routing.Hash(p.Address) > own {
			above++
		}
	}
	return above < readers
}
