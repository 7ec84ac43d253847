package directory

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestIncarnation(t *testing.T) {
	convey.Convey("ParseIncarnation inverts String", t, func() {
		for _, i := range []Incarnation{{ID: "i-1"}, {ID: "i-1", StartMs: 1783309352014}, {ID: "i@1"}, {ID: "i@x", StartMs: 2}, {}} {
			convey.So(ParseIncarnation(i.String()), convey.ShouldResemble, i)
		}
	})
	now := time.Unix(1000, 0)
	first := Target{ID: "a", Service: "s", StartMs: 1, ColdUntil: now.Add(time.Minute)}
	convey.Convey("Given a cold target", t, func() {
		d := New(first)
		convey.So(d.IsCurrent(Incarnation{ID: "a", StartMs: 1}), convey.ShouldBeTrue)
		convey.Convey("a different start under the same identity is a new incarnation, which is not cold", func() {
			d = d.With(Target{ID: "a", Service: "s", StartMs: 2})
			got, _ := d.Target("a")
			convey.So(d.IsCurrent(first.Incarnation()), convey.ShouldBeFalse)
			convey.So(d.IsCurrent(got.Incarnation()), convey.ShouldBeTrue)
			convey.So(got.Cold(now), convey.ShouldBeFalse)
		})
		convey.Convey("an earlier start is a new incarnation too, since the target's clock may have been set back", func() {
			convey.So(d.With(Target{ID: "a", Service: "s", StartMs: 0x7fff}).With(Target{ID: "a", Service: "s", StartMs: 1}).IsCurrent(first.Incarnation()), convey.ShouldBeTrue)
		})
		convey.Convey("a report without a start belongs to the current incarnation", func() {
			d = d.With(Target{ID: "a", Service: "s", State: Draining})
			got, _ := d.Target("a")
			convey.So(got.StartMs, convey.ShouldEqual, 1)
			convey.So(got.Cold(now), convey.ShouldBeTrue)
		})
		convey.Convey("its incarnation is no longer current when the target is removed", func() {
			e := d.Edit()
			e.Remove("a")
			convey.So(e.Directory().IsCurrent(first.Incarnation()), convey.ShouldBeFalse)
		})
	})
}
