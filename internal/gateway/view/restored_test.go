package view_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

// afterRestore returns the first listing of a source restored from an older copy.
func afterRestore(list ...view.Change) view.Changes {
	return view.Changes{Revision: view.NewRevision(1, 3), List: list}
}

// shouldBeIn asserts a target's state in a view.
func shouldBeIn(state directory.State, v *view.View, id string) {
	got, known := v.Directory.Target(id)
	convey.So(known, convey.ShouldBeTrue)
	convey.So(got.State, convey.ShouldEqual, state)
}

// TestRelistedTargets guards against removed targets that are used again at once when a
// restored source lists them.
func TestRelistedTargets(t *testing.T) {
	convey.Convey("Given a view that knows two targets", t, func() {
		v := view.New().WithChanges(now, view.Changes{Revision: 5, List: []view.Change{
			target("a", directory.Ready), target("b", directory.Draining),
		}}, noOutage)
		withRemovals := func(v *view.View) *view.View {
			ch := view.Changes{Revision: 6, List: []view.Change{view.TargetRemoval{ID: "a"}, view.TargetRemoval{ID: "b"}}}
			return v.WithChanges(now, ch, noOutage)
		}
		listed := afterRestore(target("a", directory.Ready), target("b", directory.Ready))
		convey.Convey("a removed one is ready after a while, one that was draining keeps draining", func() {
			v = withRemovals(v).WithSnapshot(now, listed, noOutage)
			shouldBeIn(directory.Returned, v, "a")
			shouldBeIn(directory.Draining, v, "b")
			v = v.WithTime(now.Add(time.Hour))
			shouldBeIn(directory.Ready, v, "a")
			shouldBeIn(directory.Draining, v, "b")
		})
		convey.Convey("one that registered again before the restore stays in use", func() {
			v = withRemovals(v).WithChanges(now, view.Changes{Revision: 7, List: []view.Change{target("a", directory.Ready)}}, noOutage)
			shouldBeIn(directory.Ready, v.WithSnapshot(now, listed, noOutage), "a")
		})
		convey.Convey("one that is listed again in the same epoch is ready", func() {
			v = withRemovals(v).WithSnapshot(now, view.Changes{Revision: 8, List: listed.List}, noOutage)
			shouldBeIn(directory.Ready, v, "a")
		})
		convey.Convey("one that was removed long before is ready", func() {
			later := now.Add(time.Hour)
			v = withRemovals(v).WithChanges(later, view.Changes{Revision: 7, List: []view.Change{target("c", directory.Ready)}}, noOutage)
			v = v.WithChanges(later, view.Changes{Revision: 8, List: []view.Change{view.TargetRemoval{ID: "c"}}}, noOutage)
			shouldBeIn(directory.Ready, v.WithSnapshot(later, listed, noOutage), "a")
		})
	})
}

// TestTargetsMissingAfterRestore guards against targets that are removed at once because a
// restored source does not list them yet.
func TestTargetsMissingAfterRestore(t *testing.T) {
	convey.Convey("A target that the first listing of a restored source lacks lapses, or is removed if it was draining", t, func() {
		v := view.New().WithChanges(now, view.Changes{Revision: 5, List: []view.Change{
			target("a", directory.Ready), target("b", directory.Draining),
		}}, noOutage).WithSnapshot(now, afterRestore(), noOutage)
		shouldBeIn(directory.Lapsed, v, "a")
		convey.So(v.Directory.All(), convey.ShouldHaveLength, 1)
		convey.So(v.WithTime(now.Add(view.LapseGrace)).Directory.All(), convey.ShouldBeEmpty)
	})
}

// TestNewerCatalogFromOlderRevision guards against members that keep an older catalog because
// the member that knows a newer one has not learned of the restore of the source.
func TestNewerCatalogFromOlderRevision(t *testing.T) {
	shouldTakeCatalogOnly := func(v *view.View) {
		convey.So(v.CatalogVersion(), convey.ShouldEqual, 7)
		convey.So(v.Revision, convey.ShouldEqual, view.NewRevision(1, 3))
		shouldBeIn(directory.Ready, v, "a")
	}
	convey.Convey("Given a view of a restored source with an older catalog", t, func() {
		v := view.New().WithSnapshot(now, afterRestore(catalogVersion(6), target("a", directory.Ready)), noOutage)
		convey.Convey("only the catalog is taken from an older listing", func() {
			older := view.Changes{Revision: 9, List: []view.Change{catalogVersion(7), target("b", directory.Ready)}}
			shouldTakeCatalogOnly(v.WithSnapshot(now, older, noOutage))
			convey.Convey("unless it is older than the one in force", func() {
				shouldTakeCatalogOnly(v.WithSnapshot(now, older, noOutage).WithSnapshot(now, view.Changes{Revision: 9, List: []view.Change{catalogVersion(5)}}, noOutage))
			})
		})
		convey.Convey("only the catalog is taken from an older delta", func() {
			c := catalogVersion(7)
			shouldTakeCatalogOnly(v.WithDelta(now, view.Delta{Since: v.Revision, Revision: 9, Catalog: &c, Removed: []string{"a"}}))
		})
	})
}

// TestEarlierLifeAfterRestore guards against calls to a restarted target at the address of its
// earlier life, which a restored source still lists.
func TestEarlierLifeAfterRestore(t *testing.T) {
	bornAt := func(born int64) view.TargetChange {
		return view.TargetChange{Target: directory.Target{ID: "a", StartMs: born, Service: "s", Address: fmt.Sprint("host:", born)}}
	}
	shouldBeBornAt := func(v *view.View, born int64) {
		got, known := v.Directory.Target("a")
		convey.So(known, convey.ShouldBeTrue)
		convey.So(got.StartMs, convey.ShouldEqual, born)
	}
	convey.Convey("Given a target that restarted after the copy was made", t, func() {
		v := view.New().WithChanges(now, view.Changes{Revision: 5, List: []view.Change{bornAt(1)}}, noOutage)
		v = v.WithChanges(now, view.Changes{Revision: 6, List: []view.Change{bornAt(2)}}, noOutage)
		v = v.WithSnapshot(now, afterRestore(bornAt(1)), noOutage)
		convey.Convey("its present life is used until it has had time to register", func() {
			shouldBeBornAt(v, 2)
			shouldBeIn(directory.Lapsed, v, "a")
			convey.So(v.WithTime(now.Add(view.LapseGrace)).Directory.All(), convey.ShouldBeEmpty)
		})
		convey.Convey("and is ready when it has registered", func() {
			v = v.WithChanges(now, view.Changes{Revision: view.NewRevision(1, 4), List: []view.Change{bornAt(2)}}, noOutage)
			shouldBeBornAt(v, 2)
			shouldBeIn(directory.Ready, v, "a")
		})
		convey.Convey("as is a life that was not known before", func() {
			v = v.WithChanges(now, view.Changes{Revision: view.NewRevision(1, 4), List: []view.Change{bornAt(3)}}, noOutage)
			shouldBeBornAt(v, 3)
		})
	})
}
