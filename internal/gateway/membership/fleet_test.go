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
	// agreeSample has one in so many members asked whether it agrees, for speed.
	agreeSample = 7
	// strongCapacity and weakCapacity are in thousandths of a core.
	strongCapacity, weakCapacity = 800, 80
)

// fleet is many members that gossip with each other in simulated time.
type fleet struct {
	rnd   *rand.Rand
	now   time.Time
	nodes []*fleetNode
	at    map[string]*fleetNode
}

// fleetNode is one member of a fleet.
type fleetNode struct {
	*membership.Roster
	address string
	next    time.Time
	// down members neither call nor answer; cut ones run without reaching anybody.
	down, cut bool
}

// newFleet returns members that know three seeds and nobody else. The first strong
// ones have ten times the capacity of the others.
func newFleet(seed uint64, size, strong int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, seed)), now: rosterStart, at: map[string]*fleetNode{}}
	for i := range size {
		n := &fleetNode{address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
		f.nodes = append(f.nodes, n)
		f.at[n.address] = n
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

// start gives a member an empty roster, as its process has after a start.
func (f *fleet) start(n *fleetNode, capacity int) {
	last := len(f.nodes) - 1
	seeds := []string{f.nodes[0].address, f.nodes[last/2].address, f.nodes[last].address}
	n.Roster = membership.NewRoster(n.address, f.now.UnixNano(), seeds)
	n.SetCapacity(capacity)
	n.SetStatus(membership.Status{Serving: true, ReachesSource: true, Version: 1, Revision: 1})
	n.next = f.now.Add(time.Duration(f.rnd.Int64N(int64(fleetRound))))
	n.down = false
}

// restart ends all members at once and starts them again.
func (f *fleet) restart(strong int) {
	for i, n := range f.nodes {
		f.start(n, capacityOfFleetNode(i, strong))
	}
}

// run lets time pass, and calls check after each step.
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

// round is one member's round of gossip.
func (f *fleet) round(n *fleetNode) {
	n.next = f.now.Add(fleetRound)
	n.Heartbeat()
	n.Prune(f.now)
	for _, address := range n.Partners(f.now, fleetPartners) {
		partner := f.at[address]
		if partner.down || partner.cut || n.cut {
			continue
		}
		partner.Merge(f.now, n.Gossip(f.now))
		n.Merge(f.now, partner.Gossip(f.now))
		n.Contacted(f.now, address)
	}
}

// agree says whether members that run and are not cut off know the same eligible ones.
func (f *fleet) agree() bool {
	var first []string
	for i, n := range f.nodes {
		if n.down || n.cut || i%agreeSample != 0 {
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

// untilAgreed returns how long it takes until all agree and go on doing so for
// settled, within at most limit.
func (f *fleet) untilAgreed(limit time.Duration) time.Duration {
	const settled = 2 * time.Second
	begun, since := f.now, f.now
	f.run(limit+settled, func() {
		if !f.agree() {
			since = f.now
		}
	})
	return since.Sub(begun)
}

// startedFleet returns a fleet whose members have had time to learn of each other.
func startedFleet(size, strong int) *fleet {
	f := newFleet(1, size, strong)
	f.run(6*time.Second, nil)
	return f
}

// shouldAgreeThroughout asserts that all members agree at all times of a while.
func shouldAgreeThroughout(f *fleet, d time.Duration) {
	disagreed := 0
	f.run(d, func() {
		if !f.agree() {
			disagreed++
		}
	})
	convey.So(disagreed, convey.ShouldEqual, 0)
}

// shouldAgreeWithin asserts that all members agree soon, and go on doing so.
func shouldAgreeWithin(f *fleet, limit time.Duration) {
	convey.So(f.untilAgreed(limit+time.Second), convey.ShouldBeLessThanOrEqualTo, limit)
}

// TestManyMembersAgree holds that hundreds of members agree on who is eligible: calm,
// and soon after any one fault. Members that disagree coordinate one service twice.
func TestManyMembersAgree(t *testing.T) {
	const size, strong = 300, 18
	convey.Convey("Of 300 members, of whom 18 are strong", t, func() {
		f := startedFleet(size, strong)
		eligible := f.nodes[0].Eligible(f.now)
		convey.So(eligible, convey.ShouldHaveLength, strong)
		convey.Convey("all agree while nothing happens, and know of 98 in 100 how many there are", func() {
			shouldAgreeThroughout(f, 10*time.Second)
			for _, n := range f.nodes {
				convey.So(n.Size(f.now), convey.ShouldBeBetweenOrEqual, size*98/100, size)
			}
		})
		convey.Convey("all agree within 5 s of the death of half of the eligible ones", func() {
			for i, address := range eligible {
				f.at[address].down = i%2 == 0
			}
			shouldAgreeWithin(f, 5*time.Second)
		})
		convey.Convey("all agree within 5 s of the death of all of the eligible ones", func() {
			for _, address := range eligible {
				f.at[address].down = true
			}
			shouldAgreeWithin(f, 5*time.Second)
		})
		convey.Convey("all agree within 3 s of the return of an eligible one that was cut off", func() {
			f.at[eligible[0]].cut = true
			f.run(6*time.Second, nil)
			f.at[eligible[0]].cut = false
			shouldAgreeWithin(f, 3*time.Second)
		})
		convey.Convey("all agree within 3 s of a start of all", func() {
			f.restart(strong)
			shouldAgreeWithin(f, 3*time.Second)
		})
	})
	convey.Convey("Of 300 members that are alike, all agree on the same few", t, func() {
		f := startedFleet(size, size)
		convey.So(len(f.nodes[0].Eligible(f.now)), convey.ShouldBeLessThan, size/10)
		shouldAgreeThroughout(f, 4*time.Second)
	})
}
