package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// spreadTargets are n targets, each in a data centre of its own.
func spreadTargets(n int) []directory.Target {
	var list []directory.Target
	for i := range n {
		list = append(list, directory.Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("d", i)})
	}
	return list
}

func TestSubset(t *testing.T) {
	targets := spreadTargets(6)
	convey.Convey("Without a size, or with one for all, there is no limit", t, func() {
		convey.So(Subset{Node: "n"}.contains(targets, "d0"), convey.ShouldBeNil)
		convey.So(Subset{Node: "n", Size: 6}.contains(targets, "d0"), convey.ShouldBeNil)
	})
	convey.Convey("A node uses so many, those of its data centre among them, and always the same", t, func() {
		in := Subset{Node: "n", Size: 3}.contains(targets, "d4")
		count := 0
		for _, used := range in {
			if used {
				count++
			}
		}
		convey.So(count, convey.ShouldEqual, 3)
		convey.So(in[4], convey.ShouldBeTrue)
		convey.So(Subset{Node: "n", Size: 3}.contains(targets, "d4"), convey.ShouldResemble, in)
	})
	convey.Convey("Many nodes spread evenly", t, func() {
		nodes := make([]int, len(targets))
		for n := range 300 {
			for i, used := range (Subset{Node: fmt.Sprint("node", n), Size: 3}).contains(targets, fmt.Sprint("d", n%6)) {
				if used {
					nodes[i]++
				}
			}
		}
		for _, n := range nodes {
			convey.So(n, convey.ShouldBeBetween, 120, 180)
		}
	})
	convey.Convey("A target outside goes after those inside, and before those whose connections are in use", t, func() {
		now := time.Unix(1000, 0)
		table := NewTargetTable()
		q := Query{DataCentre: "d0", MaxInflight: 1, Subset: Subset{Node: "n", Size: 1}}
		first, _ := table.LeastLoaded(now, targets, q)
		convey.So(first.ID, convey.ShouldEqual, "t0")
		table.RecordStart(directory.Incarnation{ID: "t0"})
		second, _ := table.LeastLoaded(now, targets, q)
		convey.So(second.ID, convey.ShouldNotEqual, "t0")
	})
}
