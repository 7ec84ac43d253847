package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
)

const (
	// fleetRound and fleetPartners are the gateway's gossipInterval and gossipPartners.
	fleetRound    = 500 * time.Millisecond
	fleetPartners = 2
	// fleetStep is the resolution of the simulated time.
	fleetStep = 100 * time.Millisecond
	// agreeSample is the fraction of members that agree compares, one in agreeSample, to
	// save time.
	agreeSample = 7
	// strongCapacity and weakCapacity are in thousandths of a core.
	strongCapacity, weakCapacity = 800, 80
)

// fleet simulates many members that gossip with each other.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*fleetNode
	byAddress map[string]*fleetNode
}

// fleetNode is one member of a fleet.
type fleetNode struct {
	*membership.Roster
	address string
	next    time.Time
	// down members neither call nor answer; partitioned ones run but reach no other member.
	down, partitioned bool
}

// newFleet returns a fleet whose members know only three seeds. The first strong members
// have ten times the capacity of the others.
func newFleet(seed uint64, size, strong int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), now: rosterStart, byAddress: map[string]*fleetNode{}}
	for i := range size {
		n := &fleetNode{address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
		f.nodes = append(f.nodes, n)
		f.byAddress[n.address] = n
		f.start(n, capacityOfFleetNode(i, strong))
	}
	return f
}

func capacityOfFleetNode(i, strong int) int {
	if i < strong {
		return strongCapacity
	}
	return weakCapacity
}

// start gives a member a new roster, as after a start of its process.
func (f *fleet) start(n *fleetNode, capacity int) {
	last := len(f.nodes) - 1
	seeds := []string{f.nodes[0].address, f.nodes[last/2].address, f.nodes[last].address}
	n.Roster = membership.NewRoster(n.address, f.now.UnixNano(), seeds)
	n.SetCapacity(capacity)
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	n.next = f.now.Add(time.Duration(f.rng.Int64N(int64(fleetRound))))
	n.down = false
}

// restart restarts all members at once.
func (f *fleet) restart(strong int) {
	for i, n := range f.nodes {
		f.start(n, capacityOfFleetNode(i, strong))
	}
}

// run advances the time, and calls check, if not nil, after each step.
func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		for _, n := range f.nodes {
			if !n.down && !f.now.Before(n.next) {
				f.round(n)
			}
		}
		if check != nil {
			check()
		}
	}
}

// round runs one member's round of gossip.
func (f *fleet) round(n *fleetNode) {
	n.next = f.now.Add(fleetRound)
	n.Heartbeat()
	n.Prune(f.now)
	for _, address := range n.Partners(f.now, fleetPartners) {
		partner := f.byAddress[address]
		if partner.down || partner.partitioned || n.partitioned {
			continue
		}
		partner.Merge(f.now, n.Gossip(f.now))
		n.Merge(f.now, partner.Gossip(f.now))
		n.Contacted(f.now, address)
	}
}

// agree reports whether the running, connected members that it samples have the same list
// of eligible members.
func (f *fleet) agree() bool {
	var first []string
	for i, n := range f.nodes {
		if n.down || n.partitioned || i%agreeSample != 0 {
			continue
		}
		eligible := n.Eligible(f.now)
		if first == nil {
			first = eligible
		}
		if !slices.Equal(first, eligible) {
			return false
		}
	}
	return true
}

// timeToAgreement returns how long it takes until all members agree permanently. It
// simulates limit and two more seconds.
func (f *fleet) timeToAgreement(limit time.Duration) time.Duration {
	const settleTime = 2 * time.Second
	begun, since := f.now, f.now
	f.run(limit+settleTime, func() {
		if !f.agree() {
			since = f.now
		}
	})
	return since.Sub(begun)
}

// startedFleet returns a fleet whose members have discovered each other.
func startedFleet(size, strong int) *fleet {
	f := newFleet(1, size, strong)
	f.run(6*time.Second, nil)
	return f
}

// assertAgreeThroughout asserts that all members agree at every step of a duration.
func assertAgreeThroughout(f *fleet, d time.Duration) {
	disagreed := 0
	f.run(d, func() {
		if !f.agree() {
			disagreed++
		}
	})
	convey.So(disagreed, convey.ShouldEqual, 0)
}

// assertAgreeWithin asserts that all members agree from limit on.
func assertAgreeWithin(f *fleet, limit time.Duration) {
	convey.So(f.timeToAgreement(limit+time.Second), convey.ShouldBeLessThanOrEqualTo, limit)
}

// TestManyMembersAgree checks that hundreds of members agree on the eligible ones without
// faults, and soon after any single fault. Members that disagree coordinate one service
// twice.
func TestManyMembersAgree(t *testing.T) {
	const size, strong = 300, 18
	convey.Convey("In a fleet of 300 members, 18 of them strong", t, func() {
		f := startedFleet(size, strong)
		eligible := f.nodes[0].Eligible(f.now)
		convey.So(eligible, convey.ShouldHaveLength, strong)
		convey.Convey("all agree without faults, and count at least 98% of the members", func() {
			assertAgreeThroughout(f, 10*time.Second)
			for _, n := range f.nodes {
				convey.So(n.Size(f.now), convey.ShouldBeBetweenOrEqual, size*98/100, size)
			}
		})
		convey.Convey("all agree within 5 s of the failure of half of the eligible members", func() {
			for i, address := range eligible {
				f.byAddress[address].down = i%2 == 0
			}
			assertAgreeWithin(f, 5*time.Second)
		})
		convey.Convey("all agree within 5 s of the failure of all eligible members", func() {
			for _, address := range eligible {
				f.byAddress[address].down = true
			}
			assertAgreeWithin(f, 5*time.Second)
		})
		convey.Convey("all agree within 3 s of the return of an eligible member that was cut off", func() {
			f.byAddress[eligible[0]].partitioned = true
			f.run(6*time.Second, nil)
			f.byAddress[eligible[0]].partitioned = false
			assertAgreeWithin(f, 3*time.Second)
		})
		convey.Convey("all agree within 3 s of a simultaneous restart", func() {
			f.restart(strong)
			assertAgreeWithin(f, 3*time.Second)
		})
	})
	convey.Convey("A fleet of 300 equal members agrees on the same few eligible ones", t, func() {
		f := startedFleet(size, size)
		convey.So(len(f.nodes[0].Eligible(f.now)), convey.ShouldBeLessThan, size/10)
		assertAgreeThroughout(f, 4*time.Second)
	})
}
