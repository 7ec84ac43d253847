package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// shouldBackOffFor asserts when a backoff ends.
func shouldBackOffFor(b *targetBackoff, d time.Duration) {
	convey.So(b.active(testNow.Add(d-1)), convey.ShouldBeTrue)
	convey.So(b.active(testNow.Add(d)), convey.ShouldBeFalse)
}

func TestTargetBackoff(t *testing.T) {
	convey.Convey("A target", t, func() {
		var b targetBackoff
		convey.Convey("without failures is used", func() { convey.So(b.active(testNow), convey.ShouldBeFalse) })
		convey.Convey("backs off twice as long after each consecutive failure, up to 2 s", func() {
			for _, ms := range []time.Duration{150, 300, 600, 1200, 2000, 2000} {
				b.recordFailure(testNow)
				shouldBackOffFor(&b, ms*time.Millisecond)
			}
		})
		convey.Convey("that answers starts over", func() {
			b.recordFailure(testNow)
			b.recordFailure(testNow)
			b.recordSuccess()
			b.recordFailure(testNow)
			shouldBackOffFor(&b, 150*time.Millisecond)
		})
		convey.Convey("without memory backs off for 80 ms", func() {
			b.recordNoMemory(testNow)
			shouldBackOffFor(&b, 80*time.Millisecond)
			convey.Convey("each time, as this is no failure", func() {
				b.recordNoMemory(testNow)
				shouldBackOffFor(&b, 80*time.Millisecond)
			})
		})
		convey.Convey("whose batch became stuck and then lacked memory backs off for 80 ms", func() {
			b.recordFailure(testNow)
			b.recordSuccess()
			b.recordNoMemory(testNow)
			shouldBackOffFor(&b, 80*time.Millisecond)
		})
	})
}
