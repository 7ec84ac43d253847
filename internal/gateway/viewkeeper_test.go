package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestViewKeeper(t *testing.T) {
	convey.Convey("Given a view keeper", t, func() {
		var keeper *viewKeeper
		var notified []*view.View
		keeper = newViewKeeper(time.Now, zerolog.Nop(), func(v *view.View) {
			convey.So(keeper.load(), convey.ShouldEqual, v)
			notified = append(notified, v)
		})
		target := directory.Target{ID: "t", Service: "s"}
		publish := func(revision view.Revision, list ...view.Change) {
			ch := view.Changes{Revision: revision, List: list}
			keeper.apply(ch, func(now time.Time, v *view.View) *view.View {
				return v.WithChanges(now, ch, time.Time{})
			})
		}
		convey.Convey("onChange is called once the view has a changed target", func() {
			publish(1, view.TargetChange{Target: target})
			convey.So(notified, convey.ShouldHaveLength, 1)
			convey.So(keeper.permit("t"), convey.ShouldBeNil)
			convey.Convey("a revision without changes is applied without calling onChange", func() {
				publish(2)
				convey.So(keeper.load().Revision, convey.ShouldEqual, 2)
				convey.So(notified, convey.ShouldHaveLength, 1)
			})
			convey.Convey("calls to a draining target are forbidden", func() {
				target.State = directory.Draining
				publish(2, view.TargetChange{Target: target})
				var err *verdict.Error
				convey.So(keeper.permit("t"), convey.ShouldHaveSameTypeAs, err)
			})
		})
		convey.Convey("a change that returns the same view has no effect", func() {
			keeper.apply(view.Changes{}, func(_ time.Time, v *view.View) *view.View { return v })
			convey.So(notified, convey.ShouldBeEmpty)
		})
		convey.Convey("calls to an unknown target are forbidden", func() {
			convey.So(keeper.permit("t"), convey.ShouldNotBeNil)
		})
	})
}
