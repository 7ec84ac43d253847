package view_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/catalog"
	"github.com/honeydyke/honeydyke/internal/directory"
	"github.com/honeydyke/honeydyke/internal/view"
)

var now = time.Unix(1000, 0)

func version(n int64) view.CatalogChange {
	c, err := catalog.New(n, nil, nil, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	return view.CatalogChange{Catalog: c}
}

func target(id string, s directory.State) view.TargetChange {
	return view.TargetChange{Target: directory.Target{ID: id, Service: "s", State: s}}
}

func TestView(t *testing.T) {
	convey.Convey("A configuration never goes back", t, func() {
		v := view.New().WithChanges(now, view.Changes{Revision: 5, List: []view.Change{version(7)}}, time.Time{})
		v = v.WithChanges(now, view.Changes{Revision: 6, List: []view.Change{version(6)}}, time.Time{})
		convey.So(v.Version(), convey.ShouldEqual, 7)
		convey.So(v.Revision, convey.ShouldEqual, 6)
	})
	convey.Convey("A whole list that is older than what is known is not taken", t, func() {
		v := view.New().WithChanges(now, view.Changes{Revision: 9, List: []view.Change{target("a", directory.Ready)}}, time.Time{})
		v = v.WithSnapshot(now, view.Changes{Revision: 8}, time.Time{})
		convey.So(v.Directory.Usable("a", now), convey.ShouldBeTrue)
	})
	convey.Convey("A target that vanishes while the source is well is gone at once", t, func() {
		v := view.New().WithChanges(now, view.Changes{List: []view.Change{target("a", directory.Ready)}}, time.Time{})
		v = v.WithChanges(now, view.Changes{List: []view.Change{view.TargetGone{ID: "a"}}}, now.Add(-time.Minute))
		convey.So(v.Directory.Usable("a", now), convey.ShouldBeFalse)
	})
	convey.Convey("A target that vanishes while the source was in trouble", t, func() {
		trouble := now.Add(-time.Second)
		v := view.New().WithChanges(now, view.Changes{List: []view.Change{target("a", directory.Ready), target("b", directory.Draining)}}, time.Time{})
		v = v.WithSnapshot(now, view.Changes{Revision: 1}, trouble)
		convey.Convey("is used until the source has had time to name it again, counted from the trouble", func() {
			convey.So(v.Directory.Usable("a", now), convey.ShouldBeTrue)
			convey.So(v.Directory.Usable("a", trouble.Add(view.LapseGrace)), convey.ShouldBeFalse)
			convey.So(v.WithTime(trouble.Add(view.LapseGrace)).Directory.Service("s"), convey.ShouldBeEmpty)
		})
		convey.Convey("is gone when it had said that it leaves", func() {
			convey.So(v.Directory.Usable("b", now), convey.ShouldBeFalse)
		})
		convey.Convey("is back when it is named again", func() {
			v = v.WithChanges(now, view.Changes{List: []view.Change{target("a", directory.Ready)}}, trouble)
			convey.So(v.Directory.Usable("a", now.Add(time.Hour)), convey.ShouldBeTrue)
		})
	})
}
