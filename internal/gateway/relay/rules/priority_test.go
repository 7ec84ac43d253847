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

// TestStagePriority guards against streams whose clients have little time left and whose items wait
// behind those of streams that begin.
func TestStagePriority(t *testing.T) {
	convey.Convey("The items of a stream that its client takes up go before those of all streams that begin", t, func() {
		convey.So(StagePriority(2, false), convey.ShouldEqual, 2)
		convey.So(StagePriority(2, true), convey.ShouldBeLessThan, 0)
		convey.So(StagePriority(0, true), convey.ShouldBeLessThan, StagePriority(1, true))
	})
}
