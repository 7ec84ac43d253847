package relay

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestReadingPace(t *testing.T) {
	convey.Convey("The pace of reading follows what long prompts take", t, func() {
		p := newReadingPace()
		before := p.time(10_000)
		for range 100 {
			p.learn(10_000, 540*time.Millisecond)
		}
		convey.So(p.time(10_000), convey.ShouldBeGreaterThan, before)
		convey.So(p.time(10_000), convey.ShouldAlmostEqual, 540*time.Millisecond, 10*time.Millisecond)
		convey.Convey("and not what short ones take", func() {
			known := p.time(10_000)
			p.learn(minReadTokens-1, time.Minute)
			convey.So(p.time(10_000), convey.ShouldEqual, known)
		})
	})
	convey.Convey("One prompt that was held up teaches little", t, func() {
		p := newReadingPace()
		p.learn(10_000, time.Hour)
		convey.So(p.time(10_000), convey.ShouldBeLessThan, 400*time.Millisecond)
	})
}
