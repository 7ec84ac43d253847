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
	// modelRound and modelPartners are the interval between gossip rounds and the number of
	// partners in a round, as in the gateway. modelTimeout is how long a node waits for the
	// member that places prompts.
	modelRound    = 500 * time.Millisecond
	modelPartners = 2
	modelTimeout  = 60 * time.Millisecond
	// modelStep is the resolution of the simulated clock.
	modelStep = 20 * time.Millisecond
	// modelRequests is the number of requests that arrive in a step, which makes 200 a
	// second. Without the limit all of them would go to the cold target.
	modelRequests = 4
	// modelBound is the maximum number of requests that may reach the target in a second.
	modelBound = 20
	// maxDelay is the maximum delay from a node to the target, including the dial.
	maxDelay = 300 * time.Millisecond
)

// modelNode is a simulated node.
type modelNode struct {
	*membership.Roster
	address string
	limits  *warmup.Limits
	next    time.Time
	down    bool
	// frozen nodes neither act nor respond. side is the partition that the node is in; it
	// only reaches nodes in the same partition.
	frozen bool
	side   int
}

// arrival is a request that reached the cold target.
type arrival struct{ sent, at time.Time }

// model simulates a cluster whose nodes all prefer the same cold target.
type model struct {
	rnd      *rand.Rand
	now      time.Time
	nodes    []*modelNode
	at       map[string]*modelNode
	target   directory.Target
	arrivals []arrival
	// givers maps each member that assigned a request to the target to the time of its last
	// assignment.
	givers map[string]time.Time
	// mostGivers is the maximum number of members that assigned requests to the target
	// within a second.
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

// start resets a node to the state of a process that has just started, with an empty roster
// and full buckets.
func (m *model) start(n *modelNode) {
	last := len(m.nodes) - 1
	n.Roster = membership.NewRoster(n.address, m.now.UnixNano(), []string{m.nodes[0].address, m.nodes[last/2].address, m.nodes[last].address})
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	n.limits = warmup.New()
	n.limits.SetBound(margin.Bound(service))
	n.next = m.now.Add(time.Duration(m.rnd.Int64N(int64(modelRound))))
	n.down = false
}

// reaches reports whether a node gets responses from another node.
func (n *modelNode) reaches(other *modelNode) bool {
	return !other.down && !other.frozen && n.side == other.side
}

// run advances the simulated clock by d, with gossip and requests at all nodes.
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
	n.Forget(m.now)
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

// request simulates a prompt that arrives at a node. The node asks the member that places
// prompts according to its own roster, and sends the prompt to the engine it is assigned.
// Without a response in time the node chooses an engine on its own, but never a cold one.
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
	giver.limits.Sent(m.now, m.target)
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

// mostInASecond returns the maximum number of requests that were sent and arrived within the
// same second.
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

// fault applies a random fault, or ends earlier ones.
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

// TestBoundHolds verifies that a cold target never gets more requests in a second than the
// limit allows, summed over all nodes, while nodes repeatedly start, stop, freeze and are
// partitioned, and in the time after the last fault.
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
			t.Fatalf("%d requests assigned by up to %d members arrived in one second, want at most %d", most, m.mostGivers, modelBound)
		}
		mostGivers = max(mostGivers, m.mostGivers)
	})
	t.Logf("at most %d members assigned requests within a second", mostGivers)
}

// TestColdTargetIsUsed verifies that a cold target gets requests as long as there are no
// faults.
func TestColdTargetIsUsed(t *testing.T) {
	for _, size := range []int{1, 2, 7, 60} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			m := newModel(1, size)
			m.run(5 * time.Second)
			m.arrivals = nil
			m.run(10 * time.Second)
			// One member assigns 2.3 requests a second. The model drops half of them because
			// the response takes longer than modelTimeout.
			if n := len(m.arrivals); n < 5 {
				t.Fatalf("got %d requests in 10 s, want at least 5", n)
			}
		})
	}
}
