package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

var rosterStart = time.Unix(1000, 0)

func member(address string, incarnation, beat int) message.GossipMember {
	return message.GossipMember{Address: address, Incarnation: incarnation, Beat: beat, Serving: true, Epochs: true}
}

func gossip(members ...message.GossipMember) message.Gossip { return message.Gossip{Members: members} }

func TestRoster(t *testing.T) {
	convey.Convey("Given a roster that knows a member", t, func() {
		r := membership.NewRoster("self", 1, []string{"self", "seed"})
		r.SetStatus(membership.Status{Serving: true, Version: 3, Revision: 10})
		r.Merge(rosterStart, gossip(member("a", 5, 1)))
		convey.Convey("both accept work", func() {
			convey.So(r.Serving(rosterStart), convey.ShouldResemble, []string{"a", "self"})
		})
		convey.Convey("a silent member is not live", func() {
			convey.So(r.Serving(rosterStart.Add(3*time.Second)), convey.ShouldResemble, []string{"self"})
		})
		convey.Convey("and the peak size includes a member that is no longer live", func() {
			r.Merge(rosterStart.Add(3*time.Second), gossip())
			convey.So(r.Size(rosterStart.Add(3*time.Second)), convey.ShouldEqual, 1)
			convey.So(r.PeakSize(), convey.ShouldEqual, 2)
		})
		convey.Convey("an older report does not make it live again", func() {
			r.Merge(rosterStart.Add(3*time.Second), gossip(member("a", 4, 99), member("a", 5, 1)))
			convey.So(r.Serving(rosterStart.Add(3*time.Second)), convey.ShouldResemble, []string{"self"})
		})
		convey.Convey("a member that failed a call is suspected temporarily", func() {
			r.Suspect(rosterStart, "a")
			convey.So(r.Serving(rosterStart), convey.ShouldResemble, []string{"self"})
			convey.So(r.Serving(rosterStart.Add(2*time.Second)), convey.ShouldResemble, []string{"a", "self"})
		})
		convey.Convey("a leaving member gets no work", func() {
			m := member("a", 5, 2)
			m.Leaving = true
			r.Merge(rosterStart, gossip(m))
			convey.So(r.Serving(rosterStart), convey.ShouldResemble, []string{"self"})
		})
		convey.Convey("gossip is still sent to a seed that is not in the roster", func() {
			convey.So(r.Partners(rosterStart, 2), convey.ShouldContain, "seed")
		})
		convey.Convey("a report of an earlier start is refuted", func() {
			r.Merge(rosterStart, gossip(member("self", 9, 4)))
			convey.So(r.Gossip(rosterStart).Members[0].Incarnation, convey.ShouldBeGreaterThan, 9)
		})
		convey.Convey("Newest returns the member with the newest state", func() {
			m := member("a", 5, 2)
			m.Version, m.Revision = 3, 11
			r.Merge(rosterStart, gossip(m))
			convey.So(r.Newest(rosterStart, 3, 10), convey.ShouldEqual, "a")
			convey.So(r.Newest(rosterStart, 3, 11), convey.ShouldBeEmpty)
			convey.So(r.Newest(rosterStart, 4, 0), convey.ShouldBeEmpty)
		})
	})
}

func TestRosterReaders(t *testing.T) {
	convey.Convey("All members of a small fleet read the source, and a small part of a large one", t, func() {
		addresses := make([]string, 80)
		for i := range addresses {
			addresses[i] = fmt.Sprint("m", i)
		}
		readers := func(n int) int {
			count := 0
			for _, self := range addresses[:n] {
				r := membership.NewRoster(self, 1, nil)
				r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
				for _, other := range addresses[:n] {
					r.Merge(rosterStart, gossip(member(other, 1, 1)))
				}
				if r.IsReader(rosterStart) {
					count++
				}
			}
			return count
		}
		convey.So(readers(7), convey.ShouldEqual, 7)
		convey.So(readers(80), convey.ShouldEqual, 6)
	})
	convey.Convey("A member that knows no others reads the source itself", t, func() {
		r := membership.NewRoster("self", 1, nil)
		r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
		convey.So(r.IsReader(rosterStart), convey.ShouldBeTrue)
	})
}

// TestRosterOrder checks that the roster does not depend on the order or repetition of
// reports.
func TestRosterOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []message.GossipMember
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			m := member(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"),
				rapid.IntRange(1, 3).Draw(t, "incarnation"), rapid.IntRange(1, 5).Draw(t, "beat"))
			m.Version = m.Incarnation*10 + m.Beat
			reports = append(reports, m)
		}
		one := membership.NewRoster("self", 1, nil)
		for _, m := range reports {
			one.Merge(rosterStart, gossip(m))
		}
		two := membership.NewRoster("self", 1, nil)
		for _, m := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			two.Merge(rosterStart, gossip(m))
		}
		if diff := cmp.Diff(one.Members(), two.Members()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestRosterEligible(t *testing.T) {
	strong := func(address string, capacity int) message.GossipMember {
		m := member(address, 1, 1)
		m.Capacity = capacity
		return m
	}
	convey.Convey("The strong members are eligible", t, func() {
		r := membership.NewRoster("self", 1, nil)
		r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
		r.SetCapacity(40)
		r.Merge(rosterStart, gossip(strong("a", 800), strong("b", 500), strong("c", 40)))
		convey.So(r.Eligible(rosterStart), convey.ShouldResemble, []string{"a", "b"})
		convey.Convey("the others only if no strong one is left", func() {
			convey.So(r.Eligible(rosterStart.Add(3*time.Second)), convey.ShouldResemble, []string{"self"})
		})
	})
	convey.Convey("All members are eligible if none reports a capacity", t, func() {
		r := membership.NewRoster("self", 1, nil)
		r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
		r.Merge(rosterStart, gossip(strong("a", 0)))
		convey.So(r.Eligible(rosterStart), convey.ShouldResemble, []string{"a", "self"})
	})
	convey.Convey("In a large fleet the eligible members read the source, and others only if those are too few", t, func() {
		readers := func(strongCount int) (strongReaders, all int) {
			for self := range 80 {
				r := membership.NewRoster("", 1, nil)
				for i := range 80 {
					capacity := 40
					if i < strongCount {
						capacity = 800
					}
					name := fmt.Sprint("m", i)
					if i == self {
						r = membership.NewRoster(name, 1, nil)
						r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
						r.SetCapacity(capacity)
					}
				}
				for i := range 80 {
					capacity := 40
					if i < strongCount {
						capacity = 800
					}
					r.Merge(rosterStart, gossip(strong(fmt.Sprint("m", i), capacity)))
				}
				if r.IsReader(rosterStart) {
					all++
					if self < strongCount {
						strongReaders++
					}
				}
			}
			return strongReaders, all
		}
		strongReaders, all := readers(20)
		convey.So(strongReaders, convey.ShouldEqual, 6)
		convey.So(all, convey.ShouldEqual, 6)
		strongReaders, all = readers(2)
		convey.So(strongReaders, convey.ShouldEqual, 2)
		convey.So(all, convey.ShouldEqual, 6)
	})
}

func TestRosterFollows(t *testing.T) {
	roster := func(reachesSource bool) *membership.Roster {
		r := membership.NewRoster("self", 1, nil)
		r.SetStatus(membership.Status{Serving: true, Version: 1, Revision: 1})
		r.SetCapacity(40)
		for i := range 20 {
			m := member(fmt.Sprint("m", i), 1, 1)
			m.Capacity, m.Hears = 800, reachesSource
			r.Merge(rosterStart, gossip(m))
		}
		return r
	}
	convey.Convey("A member of a large fleet follows readers that reach the source", t, func() {
		convey.So(roster(true).FollowsReaders(rosterStart), convey.ShouldBeTrue)
	})
	convey.Convey("It reads the source itself", t, func() {
		convey.Convey("if none of them reaches the source", func() {
			convey.So(roster(false).FollowsReaders(rosterStart), convey.ShouldBeFalse)
		})
		convey.Convey("if they are no longer live", func() {
			convey.So(roster(true).FollowsReaders(rosterStart.Add(3*time.Second)), convey.ShouldBeFalse)
		})
	})
}
