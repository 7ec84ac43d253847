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
	// modelRound and modelPartners are the gateway's interval of gossip and its partners in
	// a round.
	modelRound    = 500 * time.Millisecond
	modelPartners = 2
	// modelStep is the resolution of the simulated time.
	modelStep = 20 * time.Millisecond
	// modelRequests is how many requests come in a step: 200 a second, all of which would go
	// to the limited target; nodeRequests is that for each node of a larger fleet, 4 a second.
	modelRequests = 4
	nodeRequests  = 0.08
	// maxDelay bounds the way from a node to the target, and the way back.
	maxDelay = 100 * time.Millisecond
)

// What a target may get that named a limit: in boundWindow, boundOvershoot times its limit
// and boundTolerance requests more, from nodes that passed on its limit boundTold ago or
// earlier, from boundGrace after it first named the limit.
const (
	boundWindow    = 4 * time.Second
	boundOvershoot = 1.5
	boundTolerance = 5
	boundTold      = 500 * time.Millisecond
	boundGrace     = 3 * time.Second
)

var start = time.Unix(1000, 0)

// modelNode is a node of the model.
type modelNode struct {
	*membership.Roster
	address string
	keeper  *backpressure.Tracker
	gate    backpressure.Gate
	next    time.Time
	down    bool
	// frozen nodes neither act nor answer; side is the part of a cut fleet that the node
	// reaches.
	frozen bool
	side   int
	// told is when the node first heard the limit in an answer, since it last started, woke
	// or was cut off; zero for never.
	told time.Time
}

// answer is an answer of the target on its way to a node.
type answer struct {
	node *modelNode
	at   time.Time
	// keeper is that of the life of the node that asked.
	keeper *backpressure.Tracker
	signal backpressure.Signal
}

// model is a fleet whose nodes would all like to send to one target.
type model struct {
	rnd    *rand.Rand
	now    time.Time
	nodes  []*modelNode
	at     map[string]*modelNode
	target directory.Target
	// limit is what the target names, since named.
	limit backpressure.Limit
	named time.Time
	// quiet is until when no requests come.
	quiet   time.Time
	answers []answer
	// arrivals are those of all nodes, judged those that count for the bound.
	arrivals, judged []time.Time
}

func newModel(seed uint64, size int) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, seed)), now: start, at: map[string]*modelNode{},
		target: directory.Target{ID: "target", Service: "s"},
	}
	for i := range size {
		n := &modelNode{address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256)}
		m.nodes = append(m.nodes, n)
		m.at[n.address] = n
	}
	for _, n := range m.nodes {
		m.start(n)
	}
	return m
}

// start gives a node an empty roster and an empty table, as a process has after its start.
func (m *model) start(n *modelNode) {
	last := len(m.nodes) - 1
	n.Roster = membership.NewRoster(n.address, m.now.UnixNano(), []string{m.nodes[0].address, m.nodes[last/2].address, m.nodes[last].address})
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	roster := n.Roster
	n.keeper = backpressure.NewTracker(backpressure.Config{
		Now: func() time.Time { return m.now }, Log: zerolog.Nop(), Changed: func(int) {},
		Rank: func(role string) (before, members int) {
			if !roster.Settled(m.now) {
				return 0, 0
			}
			return placement.Rank(role, roster.Eligible(m.now), n.address)
		},
	})
	n.gate = n.keeper.RequestGate()
	n.next = m.now.Add(time.Duration(m.rnd.Int64N(int64(modelRound))))
	n.down, n.told = false, time.Time{}
}

// name has the target name a limit, or none.
func (m *model) name(l backpressure.Limit) {
	m.limit, m.named = l, m.now
	m.arrivals, m.judged = nil, nil
	for _, n := range m.nodes {
		n.told = time.Time{}
	}
}

// reaches says whether one node gets an answer of another.
func (n *modelNode) reaches(other *modelNode) bool {
	return !other.down && !other.frozen && n.side == other.side
}

// run lets time pass, with requests at all nodes.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		m.deliver()
		for _, n := range m.nodes {
			if !n.down && !n.frozen && !m.now.Before(n.next) {
				m.gossip(n)
			}
		}
		for range m.requests() {
			m.request(m.nodes[m.rnd.IntN(len(m.nodes))])
		}
	}
}

// requests is how many requests come now.
func (m *model) requests() int {
	if m.now.Before(m.quiet) {
		return 0
	}
	return m.perStep()
}

// perStep is how many requests come in a step.
func (m *model) perStep() int { return max(modelRequests, int(nodeRequests*float64(len(m.nodes)))) }

// deliver hands over the answers that have come. A frozen node reads them when it wakes.
func (m *model) deliver() {
	var later []answer
	for _, a := range m.answers {
		switch {
		case a.node.down || a.node.keeper != a.keeper:
		case a.node.frozen || a.at.After(m.now):
			later = append(later, a)
		default:
			a.keeper.Observe(m.target.Incarnation(), a.signal)
			if a.signal.Limit.Set && a.signal.Limit == m.limit && a.node.told.IsZero() {
				a.node.told = m.now
			}
		}
	}
	m.answers = later
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
		partner.keeper.Merge(n.address, n.keeper.RecentLimits())
		n.Merge(m.now, partner.Gossip(m.now))
		n.keeper.Merge(address, partner.keeper.RecentLimits())
		n.Contacted(m.now, address)
	}
}

// request is a request that a node would send to the target.
func (m *model) request(n *modelNode) {
	if n.down || n.frozen || !n.gate.Take(m.target.Incarnation()) {
		return
	}
	delay := func() time.Duration { return time.Duration(m.rnd.Int64N(int64(maxDelay))) }
	at := m.now.Add(delay())
	m.arrivals = append(m.arrivals, at)
	counts := !n.told.IsZero() && m.now.Sub(n.told) > boundTold && at.Sub(m.named) > boundGrace
	if m.limit.Set && n.side == 0 && counts {
		m.judged = append(m.judged, at)
	}
	m.answers = append(m.answers, answer{node: n, at: at.Add(delay()), keeper: n.keeper, signal: backpressure.Signal{Sent: m.now, Limit: m.limit}})
}

// check holds that the target got no more than it may in any window.
func (m *model) check(t interface{ Fatalf(string, ...any) }) {
	bound := boundOvershoot*m.limit.PerSecond*boundWindow.Seconds() + boundTolerance
	slices.SortFunc(m.judged, time.Time.Compare)
	first := 0
	for last, at := range m.judged {
		for at.Sub(m.judged[first]) >= boundWindow {
			first++
		}
		if n := last - first + 1; float64(n) > bound {
			t.Fatalf("%d requests in %v at a target that takes %g a second, %g may", n, boundWindow, m.limit.PerSecond, bound)
		}
	}
}

// excuse notes that a node was disturbed: what it was told before does not count.
func (n *modelNode) excuse() { n.told = time.Time{} }

// fault changes the fleet.
func (m *model) fault(t *rapid.T) {
	some := func(label string, most int) []*modelNode {
		share := rapid.IntRange(1, most).Draw(t, label)
		list := slices.Clone(m.nodes)
		m.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:max(len(list)*share/10, 1)]
	}
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
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
		for _, n := range m.nodes {
			n.side = 1 + m.rnd.IntN(rapid.IntRange(2, 4).Draw(t, "sides"))
			n.excuse()
		}
	case 4:
		for _, n := range some("alone tenths", 6) {
			n.side = 1 + m.rnd.IntN(len(m.nodes))
			n.excuse()
		}
	case 5:
		for _, n := range m.nodes {
			if n.side != 0 || n.frozen {
				n.excuse()
			}
			n.side, n.frozen = 0, false
		}
	case 6:
		for _, n := range some("frozen tenths", 3) {
			n.frozen = true
			n.excuse()
		}
	case 7:
		m.quiet = m.now.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "quiet ms")) * time.Millisecond)
		m.run(m.quiet.Sub(m.now))
	}
}

// limits draws a limit.
func limits(t *rapid.T) backpressure.Limit {
	return backpressure.Limit{Set: true, PerSecond: rapid.SampledFrom([]float64{0, 0.3, 1, 3, 10, 40}).Draw(t, "limit")}
}

// TestLimitHolds holds that a target which names a limit for a long time gets no more than
// that allows from nodes that are well, while others start, end, freeze and are cut off in
// series.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 60).Draw(t, "nodes"))
		m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "before")) * time.Millisecond)
		m.name(limits(t))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			m.fault(t)
		}
		m.run(boundWindow)
		m.check(t)
	})
}

// TestLimitedTargetIsUsed holds that in a calm fleet a limited target gets a good part of
// what it takes, and that all nodes use it again soon after its limit has ended.
func TestLimitedTargetIsUsed(t *testing.T) {
	for _, size := range []int{1, 2, 7, 60, 150} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			m := newModel(1, size)
			m.run(5 * time.Second)
			m.name(backpressure.Limit{Set: true, PerSecond: 10})
			m.run(boundGrace + boundWindow)
			m.check(t)
			m.arrivals = nil
			m.run(10 * time.Second)
			if n := len(m.arrivals); n < 40 {
				t.Errorf("%d requests in 10 s where 100 may come", n)
			}
			m.name(backpressure.Limit{})
			m.run(5 * time.Second)
			m.arrivals = nil
			m.run(time.Second)
			if n, all := len(m.arrivals), m.perStep()*int(time.Second/modelStep); n < all*9/10 {
				t.Errorf("%d requests of %d in a second after the limit", n, all)
			}
		})
	}
}

// TestAnswersOvertake holds that an answer which says nothing of a limit ends none that was
// named after its request was sent.
func TestAnswersOvertake(t *testing.T) {
	m := newModel(1, 1)
	n := m.nodes[0]
	named := backpressure.Signal{Sent: m.now, Limit: backpressure.Limit{Set: true, PerSecond: 1}}
	m.now = m.now.Add(time.Second)
	n.keeper.Observe(m.target.Incarnation(), named)
	m.now = m.now.Add(time.Millisecond)
	n.keeper.Observe(m.target.Incarnation(), backpressure.Signal{Sent: start})
	if len(n.keeper.Limits()) != 1 {
		t.Error("an answer that was overtaken ended the limit")
	}
	m.now = m.now.Add(time.Second)
	n.keeper.Observe(m.target.Incarnation(), backpressure.Signal{Sent: m.now})
	if len(n.keeper.Limits()) != 0 {
		t.Error("the limit did not end")
	}
}

// TestUnlistedTarget holds that what a target asked for outlives a moment in which the source
// does not list it, and is forgotten with the target.
func TestUnlistedTarget(t *testing.T) {
	m := newModel(1, 1)
	n := m.nodes[0]
	listed, unlisted := directory.New(m.target), directory.New()
	n.keeper.Observe(m.target.Incarnation(), backpressure.Signal{Sent: m.now, Leaving: true})
	n.keeper.Prune(unlisted)
	m.now = m.now.Add(5 * time.Second)
	n.keeper.Prune(listed)
	if n.gate.Take(m.target.Incarnation()) {
		t.Error("a target that leaves got a request when it was listed again")
	}
	n.keeper.Prune(unlisted)
	m.now = m.now.Add(2 * time.Minute)
	n.keeper.Prune(unlisted)
	if len(n.keeper.Holds()) != 0 {
		t.Error("a target that is gone is remembered for good")
	}
}

// TestReportsAge holds that a report which members pass on to each other for long grows as
// old as it is, though each exchange takes time: while it looks fresh its limit does not end,
// and nobody substitutes for those that give out.
func TestReportsAge(t *testing.T) {
	const transit, lasts = 100 * time.Millisecond, 10 * time.Second
	m := newModel(1, 4)
	m.nodes[0].keeper.Observe(m.target.Incarnation(), backpressure.Signal{Limit: backpressure.Limit{Set: true, PerSecond: 1}})
	named := m.now
	for i := 0; m.now.Sub(named) < lasts; i++ {
		from, to := m.nodes[i%4], m.nodes[(i+1+i/4%3)%4]
		reported := from.keeper.RecentLimits()
		m.now = m.now.Add(transit)
		to.keeper.Merge(from.address, reported)
	}
	for _, n := range m.nodes {
		age := time.Duration(n.keeper.Limits()[0].AgoMs) * time.Millisecond
		if age < lasts-time.Second {
			t.Errorf("a report of %v ago looks %v old", lasts, age)
		}
	}
}
