package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

// settled counts the members of a fleet that are settled.
func settled(f *fleet) int {
	count := 0
	for _, n := range f.nodes {
		if n.Settled(f.now) {
			count++
		}
	}
	return count
}

func TestSettled(t *testing.T) {
	const size = 60
	convey.Convey("Of 60 members", t, func() {
		f := startedFleet(size, 8)
		convey.Convey("all are settled some seconds after a start", func() {
			convey.So(settled(f), convey.ShouldEqual, size)
		})
		convey.Convey("none is just after a start of all, and all are later", func() {
			f.restart(8)
			f.run(2*time.Second, nil)
			convey.So(settled(f), convey.ShouldEqual, 0)
			f.run(3*time.Second, nil)
			convey.So(settled(f), convey.ShouldEqual, size)
		})
		convey.Convey("one that is cut off is not, and is again once it is back", func() {
			alone := f.nodes[5]
			alone.cut = true
			f.run(3*time.Second, nil)
			convey.So(alone.Settled(f.now), convey.ShouldBeFalse)
			alone.cut = false
			f.run(3*time.Second, nil)
			convey.So(alone.Settled(f.now), convey.ShouldBeTrue)
		})
		convey.Convey("all that are left are settled after the death of half", func() {
			for i, n := range f.nodes {
				n.down = i%2 == 0
			}
			f.run(4*time.Second, nil)
			for i, n := range f.nodes {
				if i%2 != 0 {
					convey.So(n.Settled(f.now), convey.ShouldBeTrue)
				}
			}
		})
	})
	convey.Convey("A member without seeds is settled, one that has reached none of its seeds is not", t, func() {
		convey.So(membership.NewRoster("10.0.0.1:80", 1, []string{"10.0.0.1:80"}).Settled(rosterStart), convey.ShouldBeTrue)
		convey.So(membership.NewRoster("10.0.0.1:80", 1, []string{"10.0.0.2:80"}).Settled(rosterStart), convey.ShouldBeFalse)
	})
}

// TestManyMembersAreCounted holds that a member of a thousand counts the others and is
// settled although it hears of each of them, drawn at random, three times as rarely.
func TestManyMembersAreCounted(t *testing.T) {
	const size = 984
	// heard returns a roster that heard of members at even times within a span before now.
	heard := func(span time.Duration) (*membership.Roster, time.Time) {
		r := membership.NewRoster("10.0.0.1:80", 1, []string{"10.0.0.2:80"})
		report := func(at time.Time, beat, i int) {
			r.Merge(at, message.Gossip{Members: []message.GossipMember{{Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Beat: beat, Serving: true}}})
		}
		for i := range size {
			report(rosterStart, 1, i)
		}
		for i := range size {
			report(rosterStart.Add(time.Minute+span*time.Duration(i)/size), 2, i)
		}
		now := rosterStart.Add(time.Minute + span)
		r.Forget(now)
		return r, now
	}
	convey.Convey("Given a member that heard of 984 others within 20 s", t, func() {
		r, now := heard(20 * time.Second)
		convey.Convey("it counts all, and is settled", func() {
			convey.So(r.Size(now), convey.ShouldEqual, size+1)
			convey.So(r.Settled(now), convey.ShouldBeTrue)
		})
		convey.Convey("cut off from them it is not settled within 10 s", func() {
			convey.So(r.Settled(now.Add(10*time.Second)), convey.ShouldBeFalse)
		})
	})
	convey.Convey("A member that heard of them within 40 s has forgotten none", t, func() {
		r, _ := heard(40 * time.Second)
		convey.So(r.Members(), convey.ShouldHaveLength, size+1)
	})
}
