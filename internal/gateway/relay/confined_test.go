package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestConfined holds that a request which must stay in some regions is served there alone,
// without a word to other members, or refused at once.
func TestConfined(t *testing.T) {
	// The service's engines are t0 to t3 in the north, and s0 in the south.
	southToo := func(v *view.View) *view.View {
		list := []view.Change{view.TargetChange{Target: directory.Target{ID: "s0", Service: "s", DataCentre: "e", Slots: 4}}}
		for _, service := range []string{"one", "two", "three"} {
			for _, dataCentre := range []string{"d", "e"} {
				list = append(list, view.TargetChange{Target: directory.Target{ID: service + dataCentre, Service: service, DataCentre: dataCentre}})
			}
		}
		return v.WithChanges(time.Now(), view.Changes{Revision: 2, List: list}, time.Time{})
	}
	route := func(regions ...string) (*world, *verdict.Error) {
		r := chain()
		r.Regions = regions
		w, s := setupView(r, true, 0, southToo)
		return w, s.Serve(t.Context(), request(1, 4, 2), &client{})
	}
	convey.Convey("A request that may go anywhere is placed with all others", t, func() {
		w, err := route()
		convey.So(err, convey.ShouldBeNil)
		convey.So(w.placed.Load(), convey.ShouldBeGreaterThan, 0)
		convey.So(w.confinedRuns.Load(), convey.ShouldEqual, 0)
	})
	convey.Convey("One that is confined to a region is served there", t, func() {
		w, err := route("south")
		convey.So(err, convey.ShouldBeNil)
		convey.So(w.callsSeen(), convey.ShouldHaveLength, 1)
		convey.So(w.callsSeen()[0].Target.ID, convey.ShouldEqual, "s0")
		convey.Convey("and no member hears of its items or its prompt", func() {
			convey.So(w.confinedRuns.Load(), convey.ShouldEqual, len(w.groups))
			convey.So(w.placed.Load(), convey.ShouldEqual, 0)
		})
		convey.Convey("nor do its items leave it", func() {
			for _, g := range w.groups {
				convey.So(g.Confinement.Allows("e"), convey.ShouldBeTrue)
				convey.So(g.Confinement.Allows("d"), convey.ShouldBeFalse)
			}
		})
	})
	convey.Convey("One that no target there can serve is refused at once, with why and a time", t, func() {
		w, err := route("east")
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(err.Text(), convey.ShouldContainSubstring, "regions")
		convey.So(w.groups, convey.ShouldBeEmpty)
		convey.So(w.callsSeen(), convey.ShouldBeEmpty)
	})
}
