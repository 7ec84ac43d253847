package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestEvacuated checks that a request whose service is evacuated in all data centres is
// refused before any of its stages runs.
func TestEvacuated(t *testing.T) {
	convey.Convey("A request whose engines are all in evacuated data centres is refused immediately", t, func() {
		f, s := setupWithView(chainRoute(), true, 0, func(v *view.View) *view.View {
			return v.WithChanges(time.Now(), view.Changes{Revision: 2, List: []view.Change{
				view.EvacuationChange{Evacuation: view.Evacuation{DataCentre: "d", Active: true, Revision: 2}},
			}}, time.Time{})
		})
		err := s.Serve(t.Context(), request(1, 4, 2), &fakeClient{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonEvacuated)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(err.Text(), convey.ShouldContainSubstring, "evacuated")
		convey.So(f.groups, convey.ShouldBeEmpty)
		convey.So(f.calls, convey.ShouldBeEmpty)
	})
}

// TestColdEnginesWithoutPlacer checks that a node sends no prompt to cold engines when the
// placer does not respond: all nodes choose by themselves then and would overload them.
func TestColdEnginesWithoutPlacer(t *testing.T) {
	convey.Convey("If the placer does not respond and all engines are cold, a request is refused", t, func() {
		f, s := setupWithView(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, true, 0, func(v *view.View) *view.View {
			return v.WithChanges(time.Now(), view.Changes{Revision: 2, List: allCold(v)}, time.Time{})
		})
		err := s.Serve(t.Context(), request(), &fakeClient{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(f.calls, convey.ShouldBeEmpty)
	})
}

// allCold returns changes that mark all targets of a view as cold.
func allCold(v *view.View) []view.Change {
	var list []view.Change
	for _, t := range v.Directory.All() {
		list = append(list, view.TargetChange{Target: t, ColdFor: time.Minute})
	}
	return list
}

// TestHeldBackTarget checks that a request goes to another target if the chosen one
// announces that it is leaving or pausing before the first byte is written.
func TestHeldBackTarget(t *testing.T) {
	convey.Convey("A request goes to another target when the chosen one is held back", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		f.heldBack = map[string]bool{"t0": true, "t1": true}
		convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
		convey.So(f.calls, convey.ShouldHaveLength, 1)
		convey.So(f.calls[0].Target.ID, convey.ShouldBeIn, "t2", "t3")
	})
}
