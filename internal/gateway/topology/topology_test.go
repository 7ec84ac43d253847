package topology_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/topology"
)

// TestAllows goes through which data centres a confined request may use.
func TestAllows(t *testing.T) {
	topo := topology.New(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	for _, c := range []struct {
		why        string
		bounds     [][]string
		dataCentre string
		want       bool
	}{
		{"anywhere without bounds", nil, "s1", true},
		{"anywhere with empty bounds, known or not", [][]string{nil, {}}, "elsewhere", true},
		{"in a region of the list", [][]string{{"north"}}, "n2", true},
		{"not in another", [][]string{{"north"}}, "s1", false},
		{"in one of several", [][]string{{"east", "south"}}, "s1", true},
		{"in what all lists name", [][]string{{"north", "south"}, {"south"}}, "s1", true},
		{"not in what one of them lacks", [][]string{{"north", "south"}, {"south"}}, "n1", false},
		{"not in a data centre whose region is unknown", [][]string{{"north"}}, "elsewhere", false},
	} {
		convey.Convey("A request may be served "+c.why, t, func() {
			convey.So(topo.Confine(c.bounds...).Allows(c.dataCentre), convey.ShouldEqual, c.want)
		})
	}
}
