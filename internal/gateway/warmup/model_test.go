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
	// modelGossipInterval and modelGossipPartners are the interval between gossip rounds and
	// the number of partners in a round, as in the gateway. modelPlaceTimeout is how long a
	// node waits for the member that places prompts.
	modelGossipInterval = 500 * time.Millisecond
	modelGossipPartners = 2
	modelPlaceTimeout   = 60 * time.Millisecond
	// modelStep is the resolution of the simulated clock.
	modelStep = 20 * time.Millisecond
	// modelRequestsPerStep is the number of requests that arrive in a step, which makes 200 a
	// second. Without the limit all of them would go to the cold target.
	modelRequestsPerStep = 4
	// maxRequestsPerSecond is the maximum number of requests that may reach the target in a
	// second.
	maxRequestsPerSecond = 20
	// maxDelay is the maximum delay from a node to the target, including the dial.
	maxDelay = 300 * time.Millisecond
)

// modelNode is a simulated node.
type modelNode struct {
	*membership.Roster
	address    string
	limiter    *warmup.Limiter
	nextGossip time.Time
	down       bool
	// frozen nodes neither act nor respond. partition is the network partition of the node. It
	// only reaches nodes in the same partition.
	frozen    bool
	partition int
}

// arrival is a request that reached the cold target.
type arrival struct{ sent, at time.Time }

// model simulates a cluster whose nodes all prefer the same cold target.
type model struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*modelNode
	byAddress map[string]*modelNode
	target    directory.Target
	arrivals  []arrival
	// assigners maps each member that assigned a request to the target to the time of its last
	// assignment.
	assigners map[string]time.Time
	// maxConcurrentAssigners is the maximum number of members that assigned requests to the
	// target within a second.
	maxConcurrentAssigners int
}

func newModel(seed uint64, size int) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, seed)), now: start, byAddress: map[string]*modelNode{}, assigners: map[string]time.Time{},
		target: directory.Target{ID: "engine", Service: "s", ColdUntil: start.Add(time.Hour)},
	}
	for i := range size {
		n := &modelNode{address: fmt.Sprintf("10.0.0.%d:80", i)}
		m.nodes = append(m.nodes, n)
		m.byAddress[n.address] = n
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
	n.limiter = warmup.NewLimiter()
	n.limiter.SetBound(margin.Bound(service))
	n.nextGossip = m.now.Add(time.Duration(m.rng.Int64N(int64(modelGossipInterval))))
	n.down = false
}

// reaches reports whether a node gets responses from another node.
func (n *modelNode) reaches(other *modelNode) bool {
	return !other.down && !other.frozen && n.partition == other.partition
}

// run advances the simulated clock by d, with gossip and requests at all nodes.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		for _, n := range m.nodes {
			if !n.down && !n.frozen && !m.now.Before(n.nextGossip) {
				m.gossip(n)
			}
		}
		for range modelRequestsPerStep {
			m.request(m.nodes[m.rng.IntN(len(m.nodes))])
		}
	}
}

func (m *model) gossip(n *modelNode) {
	n.nextGossip = m.now.Add(modelGossipInterval)
	n.Heartbeat()
	n.Prune(m.now)
	for _, address := range n.Partners(m.now, modelGossipPartners) {
		partner := m.byAddress[address]
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
	placer := m.byAddress[placement.Coordinator("prompts/s", n.Eligible(m.now))]
	if placer == nil || !n.reaches(placer) {
		return
	}
	delay := time.Duration(m.rng.Int64N(int64(2 * modelPlaceTimeout)))
	if !placer.limiter.Allows(m.now, m.target, func() bool { return placer.Settled(m.now) }) {
		return
	}
	placer.limiter.Take(m.now, m.target)
	if delay > modelPlaceTimeout {
		return
	}
	m.recordAssignment(placer)
	sent := m.now.Add(delay)
	m.arrivals = append(m.arrivals, arrival{sent: sent, at: sent.Add(time.Duration(m.rng.Int64N(int64(maxDelay))))})
}

func (m *model) recordAssignment(n *modelNode) {
	m.assigners[n.address] = m.now
	recent := 0
	for _, last := range m.assigners {
		if m.now.Sub(last) < time.Second {
			recent++
		}
	}
	m.maxConcurrentAssigners = max(m.maxConcurrentAssigners, recent)
}

// maxInOneSecond returns the maximum number of requests that were both sent and arrived within
// the same second.
func (m *model) maxInOneSecond() int {
	slices.SortFunc(m.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	highest := 0
	for i, last := range m.arrivals {
		n := 0
		for j := i; j >= 0 && last.at.Sub(m.arrivals[j].at) < time.Second; j-- {
			if last.at.Sub(m.arrivals[j].sent) < time.Second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// fault applies a random fault, or ends earlier ones.
func (m *model) fault(t *rapid.T) {
	sample := func(label string, most int) []*modelNode {
		share := rapid.IntRange(1, most).Draw(t, label)
		list := slices.Clone(m.nodes)
		m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:max(len(list)*share/10, 1)]
	}
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		for _, n := range sample("restarted tenths", 10) {
			m.start(n)
		}
	case 1:
		for _, n := range sample("down tenths", 6) {
			n.down = true
		}
	case 2:
		for _, n := range m.nodes {
			if n.down {
				m.start(n)
			}
		}
	case 3:
		partitions := rapid.IntRange(2, 4).Draw(t, "partitions")
		for _, n := range m.nodes {
			n.partition = m.rng.IntN(partitions)
		}
	case 4:
		for _, n := range sample("alone tenths", 6) {
			n.partition = 1 + m.rng.IntN(len(m.nodes))
		}
	case 5:
		for _, n := range m.nodes {
			n.partition, n.frozen = 0, false
		}
	case 6:
		asked := m.nodes[m.rng.IntN(len(m.nodes))]
		if placer := m.byAddress[placement.Coordinator("prompts/s", asked.Eligible(m.now))]; placer != nil {
			placer.frozen = true
		}
	}
}

// TestBoundHolds verifies that a cold target never gets more requests in a second than the
// limit allows, summed over all nodes, while nodes repeatedly start, stop, freeze and are
// partitioned, and in the time after the last fault.
func TestBoundHolds(t *testing.T) {
	maxConcurrentAssigners := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 60).Draw(t, "nodes"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			m.fault(t)
		}
		m.run(4 * time.Second)
		if most := m.maxInOneSecond(); most > maxRequestsPerSecond {
			t.Fatalf("%d requests assigned by up to %d members arrived in one second, want at most %d", most, m.maxConcurrentAssigners, maxRequestsPerSecond)
		}
		maxConcurrentAssigners = max(maxConcurrentAssigners, m.maxConcurrentAssigners)
	})
	t.Logf("at most %d members assigned requests within a second", maxConcurrentAssigners)
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
			// the response takes longer than modelPlaceTimeout.
			if n := len(m.arrivals); n < 5 {
				t.Fatalf("got %d requests in 10 s, want at least 5", n)
			}
		})
	}
}
