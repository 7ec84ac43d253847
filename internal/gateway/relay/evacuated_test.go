package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestEvacuated holds that a request which no data centre can serve is refused before
// any of its stages runs.
func TestEvacuated(t *testing.T) {
	convey.Convey("A request whose engines are all in evacuated data centres is refused at once", t, func() {
		w, s := setupView(chain(), true, 0, func(v *view.View) *view.View {
			return v.WithChanges(time.Now(), view.Changes{Revision: 2, List: []view.Change{
				view.EvacuationChange{Evacuation: view.Evacuation{DataCentre: "d", Active: true, Revision: 2}},
			}}, time.Time{})
		})
		err := s.Serve(t.Context(), request(1, 4, 2), &client{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonEvacuated)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(err.Text(), convey.ShouldContainSubstring, "evacuated")
		convey.So(w.groups, convey.ShouldBeEmpty)
		convey.So(w.calls, convey.ShouldBeEmpty)
	})
}

// TestColdEnginesWithoutPlacer holds that a node which has no answer of the member that
// places prompts sends none to cold engines: all nodes would at that moment.
func TestColdEnginesWithoutPlacer(t *testing.T) {
	convey.Convey("Without an answer of the placer a request is refused when all engines are cold", t, func() {
		w, s := setupView(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, true, 0, func(v *view.View) *view.View {
			return v.WithChanges(time.Now(), view.Changes{Revision: 2, List: allCold(v)}, time.Time{})
		})
		err := s.Serve(t.Context(), request(), &client{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(w.calls, convey.ShouldBeEmpty)
	})
}

// allCold has all targets of a view say that they are cold.
func allCold(v *view.View) []view.Change {
	var list []view.Change
	for _, t := range v.Directory.All() {
		list = append(list, view.TargetChange{Target: t, ColdFor: time.Minute})
	}
	return list
}

// TestHeldBackTarget holds that a target which told the node something between the choice and
// the first byte does not get the request, and another does.
func TestHeldBackTarget(t *testing.T) {
	convey.Convey("A request goes to another target when the chosen one is held back", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		w.heldBack = map[string]bool{"t0": true, "t1": true}
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
		convey.So(w.calls, convey.ShouldHaveLength, 1)
		convey.So(w.calls[0].Target.ID, convey.ShouldBeIn, "t2", "t3")
	})
}
