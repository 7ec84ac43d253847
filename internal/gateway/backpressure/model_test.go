package backpressure_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

const (
	// modelGossipInterval and modelGossipPartners are the interval between gossip rounds and the
	// number of partners in a round, as in the gateway.
	modelGossipInterval = 500 * time.Millisecond
	modelGossipPartners = 2
	// modelStep is the resolution of the simulated clock.
	modelStep = 20 * time.Millisecond
	// modelRequestsPerStep is the number of requests that arrive in a step, which makes 200 a
	// second. Without the limit all of them would go to the target. requestsPerNodeAndStep is
	// the number for each node of a larger cluster, which makes 4 a second.
	modelRequestsPerStep   = 4
	requestsPerNodeAndStep = 0.08
	// maxDelay is the maximum one-way delay between a node and the target.
	maxDelay = 100 * time.Millisecond
)

// The bound on the requests that a limited target may get. In any boundWindow it may get
// boundOvershoot times its limit plus boundTolerance requests. The bound applies to requests
// that arrive more than boundGrace after the limit was first announced, from nodes that
// received the limit more than boundDelay before they sent the request.
const (
	boundWindow    = 4 * time.Second
	boundOvershoot = 1.5
	boundTolerance = 5
	boundDelay     = 500 * time.Millisecond
	boundGrace     = 3 * time.Second
)

var start = time.Unix(1000, 0)

// modelNode is a simulated node.
type modelNode struct {
	*membership.Roster
	address    string
	tracker    *backpressure.Tracker
	gate       backpressure.Gate
	nextGossip time.Time
	down       bool
	// frozen nodes neither act nor respond. partition is the network partition of the node. It
	// only reaches nodes in the same partition.
	frozen    bool
	partition int
	// limitReceived is the time at which the node first received the limit in a response since it
	// last started, resumed or was partitioned. It is zero if it has not received it.
	limitReceived time.Time
}

// response is a response of the target in transit to a node.
type response struct {
	node *modelNode
	at   time.Time
	// tracker is the Tracker of the node incarnation that sent the request.
	tracker *backpressure.Tracker
	signal  backpressure.Signal
}

// model simulates a cluster whose nodes all send to the same target.
type model struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*modelNode
	byAddress map[string]*modelNode
	target    directory.Target
	// limit is the limit that the target announces since limitSince.
	limit      backpressure.Limit
	limitSince time.Time
	// quietUntil is the time until which no requests arrive.
	quietUntil time.Time
	responses  []response
	// arrivals are the arrival times of all requests. boundedArrivals are those that count
	// towards the bound.
	arrivals, boundedArrivals []time.Time
}

func newModel(seed uint64, size int) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, seed)), now: start, byAddress: map[string]*modelNode{},
		target: directory.Target{ID: "target", Service: "s"},
	}
	for i := range size {
		n := &modelNode{address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256)}
		m.nodes = append(m.nodes, n)
		m.byAddress[n.address] = n
	}
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

// start resets a node to the state of a process that has just started, with an empty roster
// and an empty table.
func (m *model) start(n *modelNode) {
	last := len(m.nodes) - 1
	n.Roster = membership.NewRoster(n.address, m.now.UnixNano(), []string{m.nodes[0].address, m.nodes[last/2].address, m.nodes[last].address})
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	roster := n.Roster
	n.tracker = backpressure.NewTracker(backpressure.Config{
		Now: func() time.Time { return m.now }, Log: zerolog.Nop(), Changed: func(int) {},
		Rank: func(role string) (before, members int) {
			if !roster.Settled(m.now) {
				return 0, 0
			}
			return placement.Rank(role, roster.Eligible(m.now), n.address)
		},
	})
	n.gate = n.tracker.RequestGate()
	n.nextGossip = m.now.Add(time.Duration(m.rng.Int64N(int64(modelGossipInterval))))
	n.down, n.limitReceived = false, time.Time{}
}

// setLimit sets the limit that the target announces.
func (m *model) setLimit(l backpressure.Limit) {
	m.limit, m.limitSince = l, m.now
	m.arrivals, m.boundedArrivals = nil, nil
	for _, n := range m.nodes {
		n.limitReceived = time.Time{}
	}
}

// reaches reports whether a node gets responses from another node.
func (n *modelNode) reaches(other *modelNode) bool {
	return !other.down && !other.frozen && n.partition == other.partition
}

// run advances the simulated clock by d, with gossip and requests at all nodes.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		m.deliver()
		for _, n := range m.nodes {
			if !n.down && !n.frozen && !m.now.Before(n.nextGossip) {
				m.gossip(n)
			}
		}
		for range m.requestsNow() {
			m.request(m.nodes[m.rng.IntN(len(m.nodes))])
		}
	}
}

// requestsNow returns the number of requests that arrive in the current step.
func (m *model) requestsNow() int {
	if m.now.Before(m.quietUntil) {
		return 0
	}
	return m.requestsPerStep()
}

// requestsPerStep returns the number of requests that arrive in a step outside of quiet
// periods.
func (m *model) requestsPerStep() int {
	return max(modelRequestsPerStep, int(requestsPerNodeAndStep*float64(len(m.nodes))))
}

// deliver passes responses that have arrived to their nodes. A frozen node reads them when
// it resumes.
func (m *model) deliver() {
	var inTransit []response
	for _, a := range m.responses {
		switch {
		case a.node.down || a.node.tracker != a.tracker:
		case a.node.frozen || a.at.After(m.now):
			inTransit = append(inTransit, a)
		default:
			a.tracker.Observe(m.target.Incarnation(), a.signal)
			if a.signal.Limit.Set && a.signal.Limit == m.limit && a.node.limitReceived.IsZero() {
				a.node.limitReceived = m.now
			}
		}
	}
	m.responses = inTransit
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
		partner.tracker.Merge(n.address, n.tracker.RecentLimits())
		n.Merge(m.now, partner.Gossip(m.now))
		n.tracker.Merge(address, partner.tracker.RecentLimits())
		n.Contacted(m.now, address)
	}
}

// request simulates a request that a node sends to the target if its gate allows that.
func (m *model) request(n *modelNode) {
	if n.down || n.frozen || !n.gate.Take(m.target.Incarnation()) {
		return
	}
	delay := func() time.Duration { return time.Duration(m.rng.Int64N(int64(maxDelay))) }
	at := m.now.Add(delay())
	m.arrivals = append(m.arrivals, at)
	bounded := !n.limitReceived.IsZero() && m.now.Sub(n.limitReceived) > boundDelay && at.Sub(m.limitSince) > boundGrace
	if m.limit.Set && n.partition == 0 && bounded {
		m.boundedArrivals = append(m.boundedArrivals, at)
	}
	m.responses = append(m.responses, response{node: n, at: at.Add(delay()), tracker: n.tracker, signal: backpressure.Signal{Sent: m.now, Limit: m.limit}})
}

// checkBound verifies that the target did not get more requests than the bound in any window.
func (m *model) checkBound(t interface{ Fatalf(string, ...any) }) {
	bound := boundOvershoot*m.limit.PerSecond*boundWindow.Seconds() + boundTolerance
	slices.SortFunc(m.boundedArrivals, time.Time.Compare)
	first := 0
	for last, at := range m.boundedArrivals {
		for at.Sub(m.boundedArrivals[first]) >= boundWindow {
			first++
		}
		if n := last - first + 1; float64(n) > bound {
			t.Fatalf("target with a limit of %g/s got %d requests in %v, want at most %g", m.limit.PerSecond, n, boundWindow, bound)
		}
	}
}

// exempt exempts a node that was disturbed by a fault from the bound until it receives the
// limit again.
func (n *modelNode) exempt() { n.limitReceived = time.Time{} }

// fault applies a random fault, or ends earlier ones.
func (m *model) fault(t *rapid.T) {
	sample := func(label string, most int) []*modelNode {
		share := rapid.IntRange(1, most).Draw(t, label)
		list := slices.Clone(m.nodes)
		m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:max(len(list)*share/10, 1)]
	}
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
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
		for _, n := range m.nodes {
			n.partition = 1 + m.rng.IntN(rapid.IntRange(2, 4).Draw(t, "partitions"))
			n.exempt()
		}
	case 4:
		for _, n := range sample("alone tenths", 6) {
			n.partition = 1 + m.rng.IntN(len(m.nodes))
			n.exempt()
		}
	case 5:
		for _, n := range m.nodes {
			if n.partition != 0 || n.frozen {
				n.exempt()
			}
			n.partition, n.frozen = 0, false
		}
	case 6:
		for _, n := range sample("frozen tenths", 3) {
			n.frozen = true
			n.exempt()
		}
	case 7:
		m.quietUntil = m.now.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "quiet ms")) * time.Millisecond)
		m.run(m.quietUntil.Sub(m.now))
	}
}

// drawLimit draws a random limit.
func drawLimit(t *rapid.T) backpressure.Limit {
	return backpressure.Limit{Set: true, PerSecond: rapid.SampledFrom([]float64{0, 0.3, 1, 3, 10, 40}).Draw(t, "limit")}
}

// TestLimitHolds verifies that a target with a limit gets no more requests from healthy nodes
// than the bound allows, while other nodes repeatedly start, stop, freeze and are
// partitioned.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 60).Draw(t, "nodes"))
		m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "before")) * time.Millisecond)
		m.setLimit(drawLimit(t))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			m.fault(t)
		}
		m.run(boundWindow)
		m.checkBound(t)
	})
}

// TestLimitedTargetIsUsed verifies that a limited target gets a large part of its limit if
// there are no faults, and that all nodes use it again soon after the limit has ended.
func TestLimitedTargetIsUsed(t *testing.T) {
	for _, size := range []int{1, 2, 7, 60, 150} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			m := newModel(1, size)
			m.run(5 * time.Second)
			m.setLimit(backpressure.Limit{Set: true, PerSecond: 10})
			m.run(boundGrace + boundWindow)
			m.checkBound(t)
			m.arrivals = nil
			m.run(10 * time.Second)
			if n := len(m.arrivals); n < 40 {
				t.Errorf("got %d requests in 10 s, want at least 40 of 100", n)
			}
			m.setLimit(backpressure.Limit{})
			m.run(5 * time.Second)
			m.arrivals = nil
			m.run(time.Second)
			if n, all := len(m.arrivals), m.requestsPerStep()*int(time.Second/modelStep); n < all*9/10 {
				t.Errorf("got %d of %d requests in a second after the end of the limit, want at least 90%%", n, all)
			}
		})
	}
}

// TestAnswersOvertake verifies that a response without a limit does not end a limit that was
// announced after the request for that response was sent.
func TestAnswersOvertake(t *testing.T) {
	m := newModel(1, 1)
	n := m.nodes[0]
	named := backpressure.Signal{Sent: m.now, Limit: backpressure.Limit{Set: true, PerSecond: 1}}
	m.now = m.now.Add(time.Second)
	n.tracker.Observe(m.target.Incarnation(), named)
	m.now = m.now.Add(time.Millisecond)
	n.tracker.Observe(m.target.Incarnation(), backpressure.Signal{Sent: start})
	if len(n.tracker.Limits()) != 1 {
		t.Error("response to an earlier request ended the limit")
	}
	m.now = m.now.Add(time.Second)
	n.tracker.Observe(m.target.Incarnation(), backpressure.Signal{Sent: m.now})
	if len(n.tracker.Limits()) != 0 {
		t.Error("response without a limit did not end the limit")
	}
}

// TestUnlistedTarget verifies that the state of a target is kept while the source temporarily
// does not list the target, and removed once the target is gone.
func TestUnlistedTarget(t *testing.T) {
	m := newModel(1, 1)
	n := m.nodes[0]
	listed, unlisted := directory.New(m.target), directory.New()
	n.tracker.Observe(m.target.Incarnation(), backpressure.Signal{Sent: m.now, Leaving: true})
	n.tracker.Prune(unlisted)
	m.now = m.now.Add(5 * time.Second)
	n.tracker.Prune(listed)
	if n.gate.Take(m.target.Incarnation()) {
		t.Error("leaving target got a request after it was listed again")
	}
	n.tracker.Prune(unlisted)
	m.now = m.now.Add(2 * time.Minute)
	n.tracker.Prune(unlisted)
	if len(n.tracker.Holds()) != 0 {
		t.Error("state of a target that is gone was not removed")
	}
}

// TestReportsAge verifies that a report that is forwarded between members for a long time
// ages at the correct rate, although each exchange adds a delay. A report that looks too
// fresh keeps the limit from ending, and keeps members from substituting for the senders.
func TestReportsAge(t *testing.T) {
	const exchangeTime, duration = 100 * time.Millisecond, 10 * time.Second
	m := newModel(1, 4)
	m.nodes[0].tracker.Observe(m.target.Incarnation(), backpressure.Signal{Limit: backpressure.Limit{Set: true, PerSecond: 1}})
	named := m.now
	for i := 0; m.now.Sub(named) < duration; i++ {
		from, to := m.nodes[i%4], m.nodes[(i+1+i/4%3)%4]
		reported := from.tracker.RecentLimits()
		m.now = m.now.Add(exchangeTime)
		to.tracker.Merge(from.address, reported)
	}
	for _, n := range m.nodes {
		age := time.Duration(n.tracker.Limits()[0].AgoMs) * time.Millisecond
		if age < duration-time.Second {
			t.Errorf("report from %v ago has an age of %v", duration, age)
		}
	}
}

// TestUnconfirmed verifies when a sender of a limited target should send it the next request,
// whatever its cost: if nobody has confirmed the limit for a second and the sender may send.
// Without it a target whose limit had ended was not asked for seconds, because it had been slow.
func TestUnconfirmed(t *testing.T) {
	m := newModel(1, 1)
	n, target := m.nodes[0], m.target.Incarnation()
	listed := directory.New(m.target)
	expect := func(want bool, when string) {
		t.Helper()
		if got := len(n.gate.Unconfirmed(listed)) > 0; got != want {
			t.Errorf("%s: unconfirmed is %v", when, got)
		}
	}
	announce := func(l backpressure.Limit) {
		m.now = m.now.Add(time.Millisecond)
		n.tracker.Observe(target, backpressure.Signal{Sent: m.now, Limit: l})
	}
	expect(false, "without a limit")
	announce(backpressure.Limit{Set: true, PerSecond: 1})
	n.gate.Blocked(listed)
	m.now = m.now.Add(1500 * time.Millisecond)
	expect(false, "while the sender has no token")
	m.now = m.now.Add(500 * time.Millisecond)
	expect(true, "once it has one")
	n.gate.Take(target)
	expect(false, "after the request")
	m.now = m.now.Add(5 * time.Second)
	announce(backpressure.Limit{Set: true, PerSecond: 1})
	m.now = m.now.Add(900 * time.Millisecond)
	expect(false, "soon after a confirmation")
	m.now = m.now.Add(100 * time.Millisecond)
	expect(true, "a second after it")
	announce(backpressure.Limit{})
	m.now = m.now.Add(5 * time.Second)
	expect(false, "after the end of the limit")
}
