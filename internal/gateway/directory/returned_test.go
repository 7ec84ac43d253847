package directory_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// TestStatesThatStay guards against targets that get work again within a life in which they
// had left: an older list, or a member that knows less, says that they are ready.
func TestStatesThatStay(t *testing.T) {
	in := func(s directory.State) directory.Target {
		known := directory.Target{ID: "a", StartMs: 1, Service: "s", State: s}
		if s == directory.Lapsed || s == directory.Returned {
			known.StateUntil = until
		}
		return known
	}
	cases := []struct {
		why                string
		known, heard, want directory.State
	}{
		{"that drains stays so when it is listed as ready", directory.Draining, directory.Ready, directory.Draining},
		{"that drains stays so when a member says that it has lapsed", directory.Draining, directory.Lapsed, directory.Draining},
		{"that has returned waits for its time", directory.Returned, directory.Ready, directory.Returned},
		{"that has returned drains when it says so", directory.Returned, directory.Draining, directory.Draining},
		{"that has lapsed is ready when it is listed", directory.Lapsed, directory.Ready, directory.Ready},
		{"that is ready returns when a member says so", directory.Ready, directory.Returned, directory.Returned},
	}
	convey.Convey("A target", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				got, _ := directory.New(in(c.known)).With(in(c.heard)).Target("a")
				convey.So(got.State, convey.ShouldEqual, c.want)
			})
		}
		convey.Convey("that drained is ready in its next life", func() {
			next := in(directory.Ready)
			next.StartMs = 2
			got, _ := directory.New(in(directory.Draining)).With(next).Target("a")
			convey.So(got.State, convey.ShouldEqual, directory.Ready)
		})
		convey.Convey("that has returned is ready when its time is over, and not before", func() {
			d := directory.New(in(directory.Returned))
			convey.So(d.WithTime(until.Add(-1)).Usable("a", until), convey.ShouldBeFalse)
			convey.So(d.WithTime(until).Usable("a", until), convey.ShouldBeTrue)
		})
		convey.Convey("that has returned and vanishes again is gone at once", func() {
			convey.So(directory.New(in(directory.Returned)).WithLapsed("a", until).All(), convey.ShouldBeEmpty)
		})
	})
}
