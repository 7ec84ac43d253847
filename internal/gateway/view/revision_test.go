package view_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

func TestRevision(t *testing.T) {
	convey.Convey("Revisions order by epoch before number", t, func() {
		before, after := view.NewRevision(1, 900), view.NewRevision(2, 3)
		convey.So(after, convey.ShouldBeGreaterThan, before)
		convey.So(after.Epoch(), convey.ShouldEqual, 2)
		convey.So(after.Number(), convey.ShouldEqual, 3)
		convey.So(after.IsRestoredSince(before), convey.ShouldBeTrue)
		convey.So(view.NewRevision(2, 4).IsRestoredSince(after), convey.ShouldBeFalse)
		convey.So(after.IsRestoredSince(0), convey.ShouldBeFalse)
	})
	convey.Convey("The largest epoch and number fit", t, func() {
		largest := view.NewRevision(view.MaxEpoch, 999_999_999_999)
		convey.So(largest.Epoch(), convey.ShouldEqual, int64(view.MaxEpoch))
		convey.So(largest, convey.ShouldBeGreaterThan, 0)
	})
}
