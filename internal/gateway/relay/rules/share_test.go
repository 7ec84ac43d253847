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
		{"all targets if there are enough connections for the nodes", 49, 7, 4, 0},
		{"all targets if the connection limit is unknown", 0, 300, 6, 0},
		{"a part of the targets if there are hundreds of nodes", 370, 295, 6, 3},
		{"at least two targets", 10, 300, 6, 2},
		{"all of two targets", 10, 300, 2, 2},
		{"all targets if no nodes are known", 370, 0, 6, 0},
	}
	convey.Convey("A node uses", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				convey.So(TargetsPerNode(c.connections, c.nodes, c.targets), convey.ShouldEqual, c.want)
			})
		}
	})
}
