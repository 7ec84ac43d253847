package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestPlanLifetime(t *testing.T) {
	shouldCount := func(p plans, items int) { convey.So(p.items(), convey.ShouldEqual, items) }
	convey.Convey("A plan", t, func() {
		p := plans{}
		p.add(Plan{Request: "r", Stage: 1, Items: 3, Due: testNow})
		convey.Convey("counts beside those of other stages and requests", func() {
			p.add(Plan{Request: "r", Stage: 2, Items: 4, Due: testNow})
			p.add(Plan{Request: "s", Stage: 1, Items: 5, Due: testNow})
			shouldCount(p, 12)
		})
		convey.Convey("replaces an earlier one for its stage", func() {
			p.add(Plan{Request: "r", Stage: 1, Items: 1, Due: testNow})
			shouldCount(p, 1)
		})
		convey.Convey("ends only when it is removed itself", func() {
			p.remove("r", 2)
			p.remove("s", 1)
			shouldCount(p, 3)
			p.remove("r", 1)
			shouldCount(p, 0)
		})
		convey.Convey("is kept for half a second after its due time", func() {
			p.expire(testNow.Add(500 * time.Millisecond))
			shouldCount(p, 3)
			p.expire(testNow.Add(500*time.Millisecond + 1))
			shouldCount(p, 0)
		})
	})
}
