package rules

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestTargetsPerNode(t *testing.T) {
	cases := []struct {
		why                         string
		connections, nodes, targets int
		want                        int
	}{
		{"all while connections are many for the nodes", 49, 7, 4, 0},
		{"all where the bound is not known", 0, 300, 6, 0},
		{"a part of them for hundreds of nodes", 370, 295, 6, 3},
		{"two at least", 10, 300, 6, 2},
		{"all of two", 10, 300, 2, 2},
		{"and nobody divides by no nodes", 370, 0, 6, 0},
	}
	convey.Convey("A node uses", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				convey.So(TargetsPerNode(c.connections, c.nodes, c.targets), convey.ShouldEqual, c.want)
			})
		}
	})
}
