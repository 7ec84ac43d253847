package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

const (
	// modelRound and modelPartners are the gateway's interval of gossip and its partners in
	// a round; modelTimeout is how long it waits for the member that places prompts.
	modelRound    = 500 * time.Millisecond
	modelPartners = 2
	modelTimeout  = 60 * time.Millisecond
	// modelStep is the resolution of the simulated time.
	modelStep = 20 * time.Millisecond
	// modelRequests is how many requests come in a step: 200 a second, all of which would go
	// to the cold target.
	modelRequests = 4
	// modelBound is the most that may arrive in a second.
	modelBound = 20
	// maxDelay bounds the way from a node to the target, dialling included.
	maxDelay = 300 * time.Millisecond
)

// modelNode is a node of the model.
type modelNode struct {
	*membership.Roster
	address string
	limits  *warmup.Limiter
	next    time.Time
	down    bool
	// frozen nodes neither act nor answer; side is the part of a cut fleet that the node
	// reaches.
	frozen bool
	side   int
}

// arrival is a request at the cold target.
type arrival struct{ sent, at time.Time }

// model is a fleet whose nodes would all like to send to one target that is cold.
type model struct {
	rnd      *rand.Rand
	now      time.Time
	nodes    []*modelNode
	at       map[string]*modelNode
	target   directory.Target
	arrivals []arrival
	// givers are the members that gave the target a request, with the time of the last.
	givers map[string]time.Time
	// mostGivers is the most members that gave it requests within a second.
	mostGivers int
}

func newModel(seed uint64, size int) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, seed)), now: start, at: map[string]*modelNode{}, givers: map[string]time.Time{},
		target: directory.Target{ID: "engine", Service: "s", ColdUntil: start.Add(time.Hour)},
	}
	for i := range size {
		n := &modelNode{address: fmt.Sprintf("10.0.0.%d:80", i)}
		m.nodes = append(m.nodes, n)
		m.at[n.address] = n
	}
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

// start gives a node an empty roster and full buckets, as a process has after its start.
func (m *model) start(n *modelNode) {
	last := len(m.nodes) - 1
	n.Roster = membership.NewRoster(n.address, m.now.UnixNano(), []string{m.nodes[0].address, m.nodes[last/2].address, m.nodes[last].address})
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	n.limits = warmup.NewLimiter()
	n.limits.SetBound(margin.Bound(service))
	n.next = m.now.Add(time.Duration(m.rnd.Int64N(int64(modelRound))))
	n.down = false
}

// reaches says whether one node gets an answer of another.
func (n *modelNode) reaches(other *modelNode) bool {
	return !other.down && !other.frozen && n.side == other.side
}

// run lets time pass, with requests at all nodes.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		for _, n := range m.nodes {
			if !n.down && !n.frozen && !m.now.Before(n.next) {
				m.gossip(n)
			}
		}
		for range modelRequests {
			m.request(m.nodes[m.rnd.IntN(len(m.nodes))])
		}
	}
}

func (m *model) gossip(n *modelNode) {
	n.next = m.now.Add(modelRound)
	n.Heartbeat()
	n.Prune(m.now)
	for _, address := range n.Partners(m.now, modelPartners) {
		partner := m.at[address]
		if !n.reaches(partner) {
			continue
		}
		partner.Merge(m.now, n.Gossip(m.now))
		n.Merge(m.now, partner.Gossip(m.now))
		n.Contacted(m.now, address)
	}
}

// request is a prompt that comes to a node: it asks the member that places prompts, by
// its own roster, and sends the prompt where that says. Without an answer in time the node
// chooses alone, and then never a cold target.
func (m *model) request(n *modelNode) {
	if n.down || n.frozen {
		return
	}
	giver := m.at[placement.Coordinator("prompts/s", n.Eligible(m.now))]
	if giver == nil || !n.reaches(giver) {
		return
	}
	took := time.Duration(m.rnd.Int64N(int64(2 * modelTimeout)))
	if !giver.limits.Allows(m.now, m.target, func() bool { return giver.Settled(m.now) }) {
		return
	}
	giver.limits.Take(m.now, m.target)
	if took > modelTimeout {
		return
	}
	m.gave(giver)
	sent := m.now.Add(took)
	m.arrivals = append(m.arrivals, arrival{sent: sent, at: sent.Add(time.Duration(m.rnd.Int64N(int64(maxDelay))))})
}

func (m *model) gave(n *modelNode) {
	m.givers[n.address] = m.now
	lately := 0
	for _, last := range m.givers {
		if m.now.Sub(last) < time.Second {
			lately++
		}
	}
	m.mostGivers = max(m.mostGivers, lately)
}

// mostInASecond returns the most requests that were sent and arrived within one second.
func (m *model) mostInASecond() int {
	slices.SortFunc(m.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	most := 0
	for i, last := range m.arrivals {
		n := 0
		for j := i; j >= 0 && last.at.Sub(m.arrivals[j].at) < time.Second; j-- {
			if last.at.Sub(m.arrivals[j].sent) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// fault changes the fleet.
func (m *model) fault(t *rapid.T) {
	some := func(label string, most int) []*modelNode {
		share := rapid.IntRange(1, most).Draw(t, label)
		list := slices.Clone(m.nodes)
		m.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:max(len(list)*share/10, 1)]
	}
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		for _, n := range some("ended tenths", 10) {
			m.start(n)
		}
	case 1:
		for _, n := range some("down tenths", 6) {
			n.down = true
		}
	case 2:
		for _, n := range m.nodes {
			if n.down {
				m.start(n)
			}
		}
	case 3:
		sides := rapid.IntRange(2, 4).Draw(t, "sides")
		for _, n := range m.nodes {
			n.side = m.rnd.IntN(sides)
		}
	case 4:
		for _, n := range some("alone tenths", 6) {
			n.side = 1 + m.rnd.IntN(len(m.nodes))
		}
	case 5:
		for _, n := range m.nodes {
			n.side, n.frozen = 0, false
		}
	case 6:
		asked := m.nodes[m.rnd.IntN(len(m.nodes))]
		if giver := m.at[placement.Coordinator("prompts/s", asked.Eligible(m.now))]; giver != nil {
			giver.frozen = true
		}
	}
}

// TestBoundHolds holds that a target which is cold for a long time gets no more from all
// nodes in any second than it bears, while nodes start, end, freeze and are cut off from
// each other in series, and that it gets its share again once they are calm.
func TestBoundHolds(t *testing.T) {
	mostGivers := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 60).Draw(t, "nodes"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			m.fault(t)
		}
		m.run(4 * time.Second)
		if most := m.mostInASecond(); most > modelBound {
			t.Fatalf("%d requests arrived in a second, given out by %d members, where %d may", most, m.mostGivers, modelBound)
		}
		mostGivers = max(mostGivers, m.mostGivers)
	})
	t.Logf("at most %d members gave out requests within a second", mostGivers)
}

// TestColdTargetIsUsed holds that a cold target gets requests while nothing happens.
func TestColdTargetIsUsed(t *testing.T) {
	for _, size := range []int{1, 2, 7, 60} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			m := newModel(1, size)
			m.run(5 * time.Second)
			m.arrivals = nil
			m.run(10 * time.Second)
			// One member gives out 2.3 a second, half of which the model loses for an answer
			// after modelTimeout.
			if n := len(m.arrivals); n < 5 {
				t.Fatalf("%d requests in 10 s", n)
			}
		})
	}
}
