package rules

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestEnginePriority(t *testing.T) {
	for _, c := range []struct {
		what                      string
		organisation, route, want int
	}{
		{"The most urgent comes first", 0, 0, 0},
		{"The route counts within an organisation", 0, 2, 2},
		{"A route does not reach the next organisation's priorities", 0, 7, 2},
		{"The organisation counts before the route", 1, 0, 3},
		{"Nothing lies beyond the last level", 5, 2, 9},
		{"Nothing lies before the first level", -1, 0, 0},
	} {
		convey.Convey(c.what, t, func() {
			convey.So(EnginePriority(c.organisation, c.route), convey.ShouldEqual, c.want)
		})
	}
}
