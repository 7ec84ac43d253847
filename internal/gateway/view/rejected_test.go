package view

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// TestRejectedTarget checks that a target whose entry another writer overwrote is taken out of
// use, at this node and at members that receive a delta.
func TestRejectedTarget(t *testing.T) {
	convey.Convey("Given a view with two targets, one of whose entries has become invalid", t, func() {
		now := time.Unix(1000, 0)
		v := New().WithSnapshot(now, Changes{Revision: 1, List: []Change{
			TargetChange{Target: directory.Target{ID: "a", Service: "s"}}, TargetChange{Target: directory.Target{ID: "b", Service: "s"}},
		}}, time.Time{})
		ch := Changes{Revision: 2, List: []Change{RejectedEntry{Key: "key of a", Reason: "why", TargetID: "a"}}}
		for _, lastOutage := range []time.Time{{}, now} {
			next := v.WithChanges(now, ch, lastOutage)
			convey.So(next.Directory.Usable("a", now), convey.ShouldBeFalse)
			convey.So(next.Directory.Usable("b", now), convey.ShouldBeTrue)
			d, known := next.DeltaSince(1)
			convey.So(known, convey.ShouldBeTrue)
			convey.So(d.Removed, convey.ShouldResemble, []string{"a"})
		}
		convey.Convey("also when the entry is in a complete listing", func() {
			list := Changes{Revision: 3, List: []Change{ch.List[0], TargetChange{Target: directory.Target{ID: "b", Service: "s"}}}}
			next := v.WithSnapshot(now, list, now)
			convey.So(next.Directory.Usable("a", now), convey.ShouldBeFalse)
			convey.So(next.Directory.Usable("b", now), convey.ShouldBeTrue)
		})
	})
}
