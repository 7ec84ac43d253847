package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// spreadTargets returns n targets, each in its own data centre.
func spreadTargets(n int) []directory.Target {
	var list []directory.Target
	for i := range n {
		list = append(list, directory.Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("d", i)})
	}
	return list
}

func TestSubset(t *testing.T) {
	targets := spreadTargets(6)
	convey.Convey("A subset without a size, or with a size for all targets, imposes no limit", t, func() {
		convey.So(Subset{Node: "n"}.mask(targets, "d0"), convey.ShouldBeNil)
		convey.So(Subset{Node: "n", Size: 6}.mask(targets, "d0"), convey.ShouldBeNil)
	})
	convey.Convey("A subset has the given size, includes the node's data centre, and is stable", t, func() {
		in := Subset{Node: "n", Size: 3}.mask(targets, "d4")
		count := 0
		for _, used := range in {
			if used {
				count++
			}
		}
		convey.So(count, convey.ShouldEqual, 3)
		convey.So(in[4], convey.ShouldBeTrue)
		convey.So(Subset{Node: "n", Size: 3}.mask(targets, "d4"), convey.ShouldResemble, in)
	})
	convey.Convey("Subsets of many nodes are spread evenly", t, func() {
		nodes := make([]int, len(targets))
		for n := range 300 {
			for i, used := range (Subset{Node: fmt.Sprint("node", n), Size: 3}).mask(targets, fmt.Sprint("d", n%6)) {
				if used {
					nodes[i]++
				}
			}
		}
		for _, n := range nodes {
			convey.So(n, convey.ShouldBeBetween, 120, 180)
		}
	})
	convey.Convey("A target outside the subset is used after those inside, and before those without free connections", t, func() {
		now := time.Unix(1000, 0)
		table := NewTargetTable()
		q := Query{DataCentre: "d0", MaxInflight: 1, Subset: Subset{Node: "n", Size: 1}}
		first, _ := table.LeastLoaded(now, targets, q)
		convey.So(first.ID, convey.ShouldEqual, "t0")
		table.RecordStart(directory.Life{ID: "t0"})
		second, _ := table.LeastLoaded(now, targets, q)
		convey.So(second.ID, convey.ShouldNotEqual, "t0")
	})
}
