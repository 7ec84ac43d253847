package membership_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
)

// countSettled returns the number of settled members of a fleet.
func countSettled(f *fleet) int {
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
	convey.Convey("In a fleet of 60 members", t, func() {
		f := startedFleet(size, 8)
		convey.Convey("all are settled some seconds after the start", func() {
			convey.So(countSettled(f), convey.ShouldEqual, size)
		})
		convey.Convey("none is settled 2 s after a simultaneous restart, and all are after 5 s", func() {
			f.restart(8)
			f.run(2*time.Second, nil)
			convey.So(countSettled(f), convey.ShouldEqual, 0)
			f.run(3*time.Second, nil)
			convey.So(countSettled(f), convey.ShouldEqual, size)
		})
		convey.Convey("one that is cut off is not settled until its return", func() {
			isolated := f.nodes[5]
			isolated.partitioned = true
			f.run(3*time.Second, nil)
			convey.So(isolated.Settled(f.now), convey.ShouldBeFalse)
			isolated.partitioned = false
			f.run(3*time.Second, nil)
			convey.So(isolated.Settled(f.now), convey.ShouldBeTrue)
		})
		convey.Convey("all remaining members are settled after the failure of half", func() {
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
	convey.Convey("A member without seeds is settled, and one that has reached none of its seeds is not", t, func() {
		convey.So(membership.NewRoster("10.0.0.1:80", 1, []string{"10.0.0.1:80"}).Settled(rosterStart), convey.ShouldBeTrue)
		convey.So(membership.NewRoster("10.0.0.1:80", 1, []string{"10.0.0.2:80"}).Settled(rosterStart), convey.ShouldBeFalse)
	})
}
