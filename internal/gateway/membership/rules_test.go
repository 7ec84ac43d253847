package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

// roster returns the roster of a member that serves and knows others.
func roster(others ...message.GossipMember) *membership.Roster {
	r := membership.NewRoster("self", 1, nil)
	r.SetStatus(membership.Status{Serving: true, Version: 3, Revision: 10})
	r.Merge(rosterStart, gossip(others...))
	return r
}

// with returns a member with a change.
func with(m message.GossipMember, change func(*message.GossipMember)) message.GossipMember {
	change(&m)
	return m
}

// TestServingTable goes through what makes a member serve or not.
func TestServingTable(t *testing.T) {
	a := member("a", 1, 1)
	heard := func(*membership.Roster) {}
	cases := []struct {
		why    string
		member message.GossipMember
		then   func(*membership.Roster)
		after  time.Duration
		want   bool
	}{
		{"heard 2.5 s ago serves", a, heard, 2500 * time.Millisecond, true},
		{"heard longer ago does not", a, heard, 2501 * time.Millisecond, false},
		{"that answered since serves", a, func(r *membership.Roster) { r.Contacted(rosterStart.Add(time.Second), "a") }, 3 * time.Second, true},
		{"without a configuration does not", with(a, func(m *message.GossipMember) { m.Serving = false }), heard, 0, false},
		{"that stops does not", with(a, func(m *message.GossipMember) { m.Leaving = true }), heard, 0, false},
		{"that failed a call does not", a, func(r *membership.Roster) { r.Suspect(rosterStart, "a") }, 1499 * time.Millisecond, false},
		{"that failed a call 1.5 s ago serves", a, func(r *membership.Roster) { r.Suspect(rosterStart, "a") }, 1500 * time.Millisecond, true},
		{"that failed a call and is reported again serves", a, func(r *membership.Roster) {
			r.Suspect(rosterStart, "a")
			r.Merge(rosterStart, gossip(member("a", 1, 2)))
		}, 0, true},
		{"that failed a call and answered another does not", a, func(r *membership.Roster) {
			r.Suspect(rosterStart, "a")
			r.Contacted(rosterStart, "a")
		}, 0, false},
	}
	convey.Convey("A member", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				r := roster(c.member)
				c.then(r)
				want := []string{"self"}
				if c.want {
					want = []string{"a", "self"}
				}
				convey.So(r.Serving(rosterStart.Add(c.after)), convey.ShouldResemble, want)
			})
		}
	})
	convey.Convey("A member that has been silent for 30 s is forgotten after that", t, func() {
		r := roster(a)
		r.Prune(rosterStart.Add(30 * time.Second))
		convey.So(r.Members(), convey.ShouldHaveLength, 2)
		r.Prune(rosterStart.Add(30*time.Second + time.Millisecond))
		convey.So(r.Members(), convey.ShouldHaveLength, 1)
	})
}

// TestEligibleTable goes through capacities, in thousandths of a core.
func TestEligibleTable(t *testing.T) {
	cases := []struct {
		why             string
		own, a, b       int
		want            []string
		suspectedMember string
	}{
		{"half of the strongest one's capacity is enough", 400, 800, 500, []string{"a", "b", "self"}, ""},
		{"less than half is not", 399, 800, 500, []string{"a", "b"}, ""},
		{"an unknown capacity is none", 0, 800, 0, []string{"a"}, ""},
		{"without any capacity known all are eligible", 0, 0, 0, []string{"a", "b", "self"}, ""},
		{"without the strongest one the others are", 40, 800, 50, []string{"b", "self"}, "a"},
	}
	convey.Convey("Of three members", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				r := roster(
					with(member("a", 1, 1), func(m *message.GossipMember) { m.Capacity = c.a }),
					with(member("b", 1, 1), func(m *message.GossipMember) { m.Capacity = c.b }),
				)
				r.SetCapacity(c.own)
				r.Suspect(rosterStart, c.suspectedMember)
				convey.So(r.Eligible(rosterStart), convey.ShouldResemble, c.want)
			})
		}
	})
}

// TestReaderCounts counts the readers of fleets whose members are alike.
func TestReaderCounts(t *testing.T) {
	convey.Convey("Of members that are alike there read", t, func() {
		for members, want := range map[int]int{1: 1, 9: 9, 10: 4, 39: 4, 40: 5, 79: 5, 80: 6} {
			convey.Convey(fmt.Sprintf("%d of %d", want, members), func() {
				var all []message.GossipMember
				for i := range members {
					all = append(all, member(fmt.Sprint("m", i), 1, 1))
				}
				readers := 0
				for _, self := range all {
					r := membership.NewRoster(self.Address, 1, nil)
					r.SetStatus(membership.Status{Serving: true})
					r.Merge(rosterStart, gossip(all...))
					if r.IsReader(rosterStart) {
						readers++
					}
				}
				convey.So(readers, convey.ShouldEqual, want)
			})
		}
	})
}

// TestNewestTable goes through which member is asked for what is newer.
func TestNewestTable(t *testing.T) {
	knows := func(address string, version, revision int) message.GossipMember {
		return with(member(address, 1, 1), func(m *message.GossipMember) { m.Version, m.Revision = version, revision })
	}
	convey.Convey("Of members that know more", t, func() {
		r := roster(knows("a", 4, 5), knows("b", 3, 90), knows("c", 4, 6))
		convey.Convey("the newest catalog counts first, then the revision", func() {
			convey.So(r.Newest(rosterStart, 3, 10), convey.ShouldEqual, "c")
		})
		convey.Convey("a revision does not make up for an older catalog", func() {
			convey.So(r.Newest(rosterStart, 4, 6), convey.ShouldBeEmpty)
		})
		convey.Convey("one that is suspected counts", func() {
			r.Suspect(rosterStart, "c")
			convey.So(r.Newest(rosterStart, 3, 10), convey.ShouldEqual, "c")
		})
		convey.Convey("one that is silent does not", func() {
			convey.So(r.Newest(rosterStart.Add(3*time.Second), 3, 10), convey.ShouldBeEmpty)
		})
	})
}
