package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestViewKeeper(t *testing.T) {
	convey.Convey("Given a keeper", t, func() {
		var keeper *viewKeeper
		var notified []*view.View
		keeper = newViewKeeper(time.Now, zerolog.Nop(), func(v *view.View) {
			convey.So(keeper.load(), convey.ShouldEqual, v)
			notified = append(notified, v)
		})
		target := directory.Target{ID: "t", Service: "s"}
		publish := func(revision int64, list ...view.Change) {
			ch := view.Changes{Revision: revision, List: list}
			keeper.apply(ch, func(now time.Time, v *view.View) *view.View {
				return v.WithChanges(now, ch, time.Time{})
			})
		}
		convey.Convey("a changed target is notified once the view holds it", func() {
			publish(1, view.TargetChange{Target: target})
			convey.So(notified, convey.ShouldHaveLength, 1)
			convey.So(keeper.permit("t"), convey.ShouldBeNil)
			convey.Convey("a revision that changes nothing is taken over without a notice", func() {
				publish(2)
				convey.So(keeper.load().Revision, convey.ShouldEqual, 2)
				convey.So(notified, convey.ShouldHaveLength, 1)
			})
			convey.Convey("calls to a target that is leaving are forbidden", func() {
				target.State = directory.Draining
				publish(2, view.TargetChange{Target: target})
				var err *verdict.Error
				convey.So(keeper.permit("t"), convey.ShouldHaveSameTypeAs, err)
			})
		})
		convey.Convey("a change that returns the same view does nothing", func() {
			keeper.apply(view.Changes{}, func(_ time.Time, v *view.View) *view.View { return v })
			convey.So(notified, convey.ShouldBeEmpty)
		})
		convey.Convey("calls to a target that is unknown are forbidden", func() {
			convey.So(keeper.permit("t"), convey.ShouldNotBeNil)
		})
	})
}

// TestLogOfChangesDoesNotGrowWithTheTargets holds that a list of changes is logged in a
// bounded line, however many targets it names: every node logs it.
func TestLogOfChangesDoesNotGrowWithTheTargets(t *testing.T) {
	logged := func(targets int) []byte {
		var log bytes.Buffer
		k := newViewKeeper(time.Now, zerolog.New(&log), func(*view.View) {})
		ch := view.Changes{Revision: 1}
		for i := range targets {
			ch.List = append(ch.List, view.TargetChange{Target: directory.Target{ID: fmt.Sprint("t", i), Service: "s", Address: "10.0.0.1:80"}})
		}
		ch.List = append(ch.List, view.TargetGone{ID: "left"})
		k.apply(ch, func(now time.Time, v *view.View) *view.View { return v.WithChanges(now, ch, time.Time{}) })
		return log.Bytes()
	}
	convey.Convey("A list of 10,000 targets has one line", t, func() {
		line := logged(10_000)
		convey.So(bytes.Count(line, []byte("\n")), convey.ShouldEqual, 1)
		convey.So(len(line), convey.ShouldBeLessThan, 1500)
		convey.So(string(line), convey.ShouldContainSubstring, `"more":9985`)
	})
	convey.Convey("A short one names each target with its state", t, func() {
		convey.So(string(logged(1)), convey.ShouldContainSubstring, `"targets":["t0 ready s 10.0.0.1:80","left gone"],"more":0`)
	})
}
