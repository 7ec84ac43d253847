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
		{"The organisation takes precedence over the route", 1, 0, 3},
		{"The priority is at most the last level", 5, 2, 9},
		{"The priority is at least the first level", -1, 0, 0},
	} {
		convey.Convey(c.what, t, func() {
			convey.So(EnginePriority(c.organisation, c.route), convey.ShouldEqual, c.want)
		})
	}
}
