package directory

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestLife(t *testing.T) {
	convey.Convey("A life reads as it was written", t, func() {
		for _, l := range []Incarnation{{ID: "i-1"}, {ID: "i-1", StartMs: 1783309352014}, {ID: "i@1"}, {ID: "i@x", StartMs: 2}, {}} {
			convey.So(ParseIncarnation(l.String()), convey.ShouldResemble, l)
		}
	})
	now := time.Unix(1000, 0)
	first := Target{ID: "a", Service: "s", StartMs: 1, ColdUntil: now.Add(time.Minute)}
	convey.Convey("Given a target that is cold", t, func() {
		d := New(first)
		convey.So(d.IsCurrent(Incarnation{ID: "a", StartMs: 1}), convey.ShouldBeTrue)
		convey.Convey("another start under its identity ends its life, and with it what was known of it", func() {
			d = d.With(Target{ID: "a", Service: "s", StartMs: 2})
			got, _ := d.Target("a")
			convey.So(d.IsCurrent(first.Incarnation()), convey.ShouldBeFalse)
			convey.So(d.IsCurrent(got.Incarnation()), convey.ShouldBeTrue)
			convey.So(got.Cold(now), convey.ShouldBeFalse)
		})
		convey.Convey("a start that goes back is another life too: the target's clock was set back", func() {
			convey.So(d.With(Target{ID: "a", Service: "s", StartMs: 0x7fff}).With(Target{ID: "a", Service: "s", StartMs: 1}).IsCurrent(first.Incarnation()), convey.ShouldBeTrue)
		})
		convey.Convey("a report without a start is of the same life", func() {
			d = d.With(Target{ID: "a", Service: "s", State: Draining})
			got, _ := d.Target("a")
			convey.So(got.StartMs, convey.ShouldEqual, 1)
			convey.So(got.Cold(now), convey.ShouldBeTrue)
		})
		convey.Convey("it has gone with its target", func() {
			e := d.Edit()
			e.Remove("a")
			convey.So(e.Directory().IsCurrent(first.Incarnation()), convey.ShouldBeFalse)
		})
	})
}
