package directory_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// TestStatesPersist guards against new work for targets that have left: an older list, or
// a member with older knowledge, may report them as ready within the same incarnation.
func TestStatesPersist(t *testing.T) {
	targetIn := func(s directory.State) directory.Target {
		known := directory.Target{ID: "a", StartMs: 1, Service: "s", State: s}
		if s == directory.Lapsed || s == directory.Returned {
			known.StateUntil = until
		}
		return known
	}
	cases := []struct {
		why                   string
		known, reported, want directory.State
	}{
		{"that is draining stays so when it is listed as ready", directory.Draining, directory.Ready, directory.Draining},
		{"that is draining stays so when a member reports it as lapsed", directory.Draining, directory.Lapsed, directory.Draining},
		{"that has returned stays so when it is listed as ready", directory.Returned, directory.Ready, directory.Returned},
		{"that has returned is draining when it reports so", directory.Returned, directory.Draining, directory.Draining},
		{"that has lapsed is ready when it is listed", directory.Lapsed, directory.Ready, directory.Ready},
		{"that is ready becomes returned when a member reports so", directory.Ready, directory.Returned, directory.Returned},
	}
	convey.Convey("A target", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				got, _ := directory.New(targetIn(c.known)).With(targetIn(c.reported)).Target("a")
				convey.So(got.State, convey.ShouldEqual, c.want)
			})
		}
		convey.Convey("that was draining can be ready in its next incarnation", func() {
			next := targetIn(directory.Ready)
			next.StartMs = 2
			got, _ := directory.New(targetIn(directory.Draining)).With(next).Target("a")
			convey.So(got.State, convey.ShouldEqual, directory.Ready)
		})
		convey.Convey("that has returned is ready from StateUntil on and not earlier", func() {
			d := directory.New(targetIn(directory.Returned))
			convey.So(d.WithExpired(until.Add(-1)).Usable("a", until), convey.ShouldBeFalse)
			convey.So(d.WithExpired(until).Usable("a", until), convey.ShouldBeTrue)
		})
		convey.Convey("that has returned is removed at once when it disappears again", func() {
			convey.So(directory.New(targetIn(directory.Returned)).WithLapsed("a", until).All(), convey.ShouldBeEmpty)
		})
	})
}
