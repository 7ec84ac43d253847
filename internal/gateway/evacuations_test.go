package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// newEvacuatedFollower returns a follower whose view has one evacuated data centre.
func newEvacuatedFollower() *sourceFollower {
	views := newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {})
	views.apply(view.Changes{}, func(now time.Time, v *view.View) *view.View {
		return v.WithChanges(now, view.Changes{Revision: 5, List: []view.Change{
			catalogChange(1), view.EvacuationChange{Evacuation: view.Evacuation{DataCentre: "d", Active: true, Revision: 5}},
		}}, time.Time{})
	})
	return &sourceFollower{health: newSourceHealth(), views: views, now: time.Now, log: zerolog.Nop()}
}

// TestMemberSnapshotEvacuations guards against evacuations that are lifted by mistake by a
// member's snapshot. A snapshot lifts the evacuations that it lacks, except one from a member
// of an earlier version, which does not know of evacuations.
func TestMemberSnapshotEvacuations(t *testing.T) {
	active := func(f *sourceFollower) bool { return f.views.load().Evacuations.Get("d").Active }
	whole := message.ViewSnapshot{Revision: 7, Targets: []message.ViewTarget{}}
	convey.Convey("An evacuation that a member's snapshot lacks", t, func() {
		f := newEvacuatedFollower()
		convey.Convey("is lifted", func() {
			whole.Evacuations = []message.ViewEvacuation{}
			f.applySnapshot("m", whole, catalogChange(2))
			convey.So(active(f), convey.ShouldBeFalse)
		})
		convey.Convey("stays active if the member is of an earlier version", func() {
			whole.Evacuations = nil
			f.applySnapshot("m", whole, catalogChange(2))
			convey.So(active(f), convey.ShouldBeTrue)
		})
	})
	convey.Convey("The state dump shows who reported an evacuation", t, func() {
		f := newEvacuatedFollower()
		whole.Evacuations = []message.ViewEvacuation{{DataCentre: "e", Active: true, Revision: 6}}
		f.applySnapshot("m", whole, catalogChange(2))
		states := describeEvacuations(time.Now().Add(time.Second), f.views.load().Evacuations)
		convey.So(states, convey.ShouldHaveLength, 2)
		convey.So(states[1].From, convey.ShouldEqual, "m")
		convey.So(states[1].AgeMs, convey.ShouldBeGreaterThanOrEqualTo, 1000)
	})
}
