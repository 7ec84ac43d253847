package view_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

// TestDisputedEvacuations guards against a restored source that brings back lifted evacuations
// or ends active ones, and against evacuations that stay active although the source never
// writes them again.
func TestDisputedEvacuations(t *testing.T) {
	later := now.Add(time.Hour)
	soon := now.Add(time.Second)
	evacuated := func(v *view.View) bool { return v.Evacuations.Get("d1").Active }
	restored := func(number int64) view.Revision { return view.NewRevision(1, number) }
	withListing := func(v *view.View, at time.Time, revision view.Revision, list ...view.Change) *view.View {
		return v.WithSnapshot(at, view.Changes{Revision: revision, List: append(list, targetIn("a", "d1"))}, noOutage)
	}
	convey.Convey("Given an evacuation that was lifted after the copy was made", t, func() {
		v := withChanges(twoDataCentres(), 7, evacuation("d1", true, 6), evacuation("d1", false, 7))
		v = withListing(v, now, restored(6), evacuation("d1", true, restored(6)))
		convey.So(evacuated(v), convey.ShouldBeFalse)
		shouldUse(v, "a")
		convey.Convey("it is active after the grace period when it is not lifted again", func() {
			convey.So(evacuated(v.WithTime(soon)), convey.ShouldBeFalse)
			convey.So(evacuated(v.WithTime(later)), convey.ShouldBeTrue)
			shouldNotUse(v.WithTime(later), "a")
		})
		convey.Convey("it stays lifted when it is lifted again, in a change or a listing", func() {
			convey.So(evacuated(withChanges(v, restored(7), evacuation("d1", false, restored(7))).WithTime(later)), convey.ShouldBeFalse)
			convey.So(evacuated(withListing(v, soon, restored(8)).WithTime(later)), convey.ShouldBeFalse)
		})
		convey.Convey("a different order takes effect at once", func() {
			convey.So(evacuated(withChanges(v, restored(7), evacuation("d1", true, restored(7)))), convey.ShouldBeTrue)
			convey.So(evacuated(withListing(v, now, restored(8), evacuation("d1", true, restored(8)))), convey.ShouldBeTrue)
		})
		convey.Convey("a delta passes the dispute on to a member", func() {
			other := withListing(twoDataCentres(), now, restored(6))
			d := view.Delta{Since: restored(6), Revision: restored(7), Evacuations: v.Evacuations.All()}
			other = other.WithDelta(now, d)
			convey.So(evacuated(other), convey.ShouldBeFalse)
			convey.So(evacuated(other.WithTime(later)), convey.ShouldBeTrue)
		})
	})
	convey.Convey("Given an evacuation that was ordered after the copy was made", t, func() {
		v := withListing(withChanges(twoDataCentres(), 6, evacuation("d1", true, 6)), now, restored(5))
		convey.So(evacuated(v), convey.ShouldBeTrue)
		convey.Convey("it ends when it is not ordered again", func() {
			convey.So(evacuated(withListing(v, soon, restored(8)).WithTime(soon)), convey.ShouldBeTrue)
			convey.So(evacuated(v.WithTime(later)), convey.ShouldBeFalse)
		})
		convey.Convey("it stays active when it is ordered again", func() {
			convey.So(evacuated(withChanges(v, restored(6), evacuation("d1", true, restored(6))).WithTime(later)), convey.ShouldBeTrue)
		})
		convey.Convey("it ends when it is lifted", func() {
			convey.So(evacuated(withChanges(v, restored(7), evacuation("d1", false, restored(7)))), convey.ShouldBeFalse)
		})
	})
}
