package directory_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

var (
	now   = time.Unix(1000, 0)
	until = now.Add(2 * time.Second)
)

// TestUsable checks which targets accept new work.
func TestUsable(t *testing.T) {
	cases := []struct {
		why    string
		target directory.Target
		at     time.Time
		want   bool
	}{
		{"that is ready is usable", directory.Target{}, now, true},
		{"that is draining is not usable", directory.Target{State: directory.Draining}, now, false},
		{"that has lapsed is usable", directory.Target{State: directory.Lapsed, StateUntil: until}, until.Add(-1), true},
		{"that has lapsed is not usable from StateUntil on", directory.Target{State: directory.Lapsed, StateUntil: until}, until, false},
	}
	convey.Convey("A target", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				c.target.ID = "a"
				convey.So(c.target.Usable(c.at), convey.ShouldEqual, c.want)
				convey.So(directory.New(c.target).Usable("a", c.at), convey.ShouldEqual, c.want)
			})
		}
		convey.Convey("that is unknown is not usable", func() {
			convey.So(directory.New().Usable("a", now), convey.ShouldBeFalse)
		})
	})
}

// TestLapse checks the transitions of targets that lapse.
func TestLapse(t *testing.T) {
	states := func(d *directory.Directory) map[string]directory.State {
		out := map[string]directory.State{}
		for id, target := range d.All() {
			out[id] = target.State
		}
		return out
	}
	convey.Convey("Given a ready and a draining target", t, func() {
		d := directory.New(directory.Target{ID: "r", Service: "s"}, directory.Target{ID: "d", Service: "s", State: directory.Draining})
		convey.Convey("the ready one lapses and the draining one is removed", func() {
			d = d.WithLapsed("r", until).WithLapsed("d", until)
			convey.So(states(d), convey.ShouldResemble, map[string]directory.State{"r": directory.Lapsed})
			convey.Convey("the lapsed one is removed at StateUntil", func() {
				convey.So(d.WithExpired(until.Add(-1)), convey.ShouldEqual, d)
				convey.So(states(d.WithExpired(until)), convey.ShouldBeEmpty)
			})
			convey.Convey("the lapsed one keeps its StateUntil when it lapses again", func() {
				convey.So(d.WithLapsed("r", until.Add(time.Hour)), convey.ShouldEqual, d)
			})
			convey.Convey("the lapsed one is ready when it is listed again", func() {
				d = d.With(directory.Target{ID: "r", Service: "s"})
				convey.So(states(d), convey.ShouldResemble, map[string]directory.State{"r": directory.Ready})
			})
		})
		convey.Convey("lapsing an unknown one has no effect", func() {
			convey.So(d.WithLapsed("x", until), convey.ShouldEqual, d)
		})
	})
}
