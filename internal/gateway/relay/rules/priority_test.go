package rules

import (
	"testing"
	"time"

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

// TestRestDue guards against items of a stream that its client takes up that go behind all others
// once the objective is over, and against some that lose their place among others before.
func TestRestDue(t *testing.T) {
	const step = 200 * time.Millisecond
	place := func(due time.Time, priority int) time.Time { return due.Add(time.Duration(priority) * step) }
	for _, c := range []struct {
		what          string
		due, deadline time.Duration
	}{
		{"with much time left", time.Second, 12 * time.Second},
		{"whose objective is over", -3 * time.Second, 5 * time.Second},
		{"with less than a step left", time.Second, 1100 * time.Millisecond},
		{"with no time left", time.Second, time.Second},
		{"with a deadline before the due time", time.Second, time.Millisecond},
	} {
		convey.Convey("An item of a stream "+c.what, t, func() {
			times := StageTimes{Due: arrived.Add(c.due), Deadline: arrived.Add(c.deadline)}
			due, priority := RestDue(times, -3, step)
			convey.Convey("keeps its place in the order", func() {
				convey.So(place(due, priority), convey.ShouldEqual, place(times.Due, -3))
			})
			convey.Convey("and is due within a step of its deadline, or when it was", func() {
				convey.So(due, convey.ShouldHappenOnOrAfter, times.Due)
				convey.So(due, convey.ShouldHappenOnOrAfter, times.Deadline.Add(-step))
				convey.So(due.After(times.Deadline) && due.After(times.Due), convey.ShouldBeFalse)
			})
		})
	}
}
