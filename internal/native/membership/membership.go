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
)

const (
	// liveFor is how long after its last word a peer counts as live.
	liveFor = 5 * time.Second
	// forgetAfter is how long a peer that never answers stays known.
	forgetAfter = 10 * time.Minute
	// spokeLately is how far back peers count for the size of the fleet.
	spokeLately = time.Minute
	// maxPeersTold and maxMarksTold bound what one exchange names.
	maxPeersTold = 4
	maxMarksTold = 32
	// tellFor is how long a leaving mark is passed on after it was learnt. The
	// exchange spreads it to everybody in a few rounds; a node that starts later
	// has the target's own word.
	tellFor = 30 * time.Second
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
	// listed is how many instances the platform lists; 0 before it did.
	listed int
	// readers says when each reader of this data centre was last known to read.
	readers map[string]time.Time
	// wanting is since when fewer readers than wanted are known; zero when enough
	// are.
	wanting time.Time
	reading bool
	// learnt says when each mark became known.
	learnt map[message.LeavingMark]time.Time
}

// New returns the view of a node that knows nobody.
func New(self, dataCentre string) View {
	return View{self: self, dataCentre: dataCentre, peers: map[string]Peer{}, learnt: map[message.LeavingMark]time.Time{}, readers: map[string]time.Time{}}
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
	if ex.DataCentre == v.dataCentre {
		v = v.withReaders(now, ex.Readers)
	}
	v = v.WithAddresses(now, ex.Peers)
	return v.WithMarks(now, ex.Marks)
}

// leavingFor keeps a leaving mark for the incarnation that gave it.
func leavingFor(old Peer, ex message.Exchange) bool {
	return ex.Leaving || (old.Leaving && old.Incarnation == ex.Incarnation)
}

// WithMarks adds leaving marks and returns those that are news.
func (v View) WithMarks(now time.Time, marks []message.LeavingMark) (View, []message.LeavingMark) {
	var news []message.LeavingMark
	for _, m := range marks {
		if _, known := v.learnt[m]; !known && !slices.Contains(news, m) {
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
	learnt := make(map[message.LeavingMark]time.Time, len(v.marks))
	for _, m := range v.marks {
		learnt[m] = now
		if at, known := v.learnt[m]; known {
			learnt[m] = at
		}
	}
	v.learnt = learnt
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

// FreshMarks returns the newest marks that are still passed on.
func (v View) FreshMarks(now time.Time) []message.LeavingMark {
	var fresh []message.LeavingMark
	for i := len(v.marks) - 1; i >= 0 && len(fresh) < maxMarksTold; i-- {
		if now.Sub(v.learnt[v.marks[i]]) <= tellFor {
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

// Sample returns up to n peers at random. Every other time they are of this data
// centre where such are known, so that news of its readers spreads in it at a
// pace that does not fall as the fleet grows.
func (v View) Sample(n int, rng *rand.Rand) []Peer {
	list := v.Peers()
	if near := slices.DeleteFunc(slices.Clone(list), v.elsewhere); len(near) > 0 && rng.IntN(2) == 0 {
		list = near
	}
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}

func (v View) elsewhere(p Peer) bool { return p.DataCentre != v.dataCentre }

// WithList takes in the platform's lagging list of instances that are not
// leaving, this node among them.
func (v View) WithList(now time.Time, addresses []string) View {
	v.listed = len(addresses)
	return v.WithAddresses(now, addresses)
}

// Size estimates how many nodes there are, this one included: as many as the
// platform lists, or as spoke within the last minute where it lists none.
func (v View) Size(now time.Time) int {
	if v.listed > 0 {
		return v.listed
	}
	n := 1
	for _, p := range v.peers {
		if !p.Leaving && !p.Heard.IsZero() && now.Sub(p.Heard) <= spokeLately {
			n++
		}
	}
	return n
}
