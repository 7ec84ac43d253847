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
		convey.Convey("without trouble is used", func() { convey.So(b.active(testNow), convey.ShouldBeFalse) })
		convey.Convey("is left unused for twice as long after each failure in a row, up to 2 s", func() {
			for _, ms := range []time.Duration{150, 300, 600, 1200, 2000, 2000} {
				b.recordFailure(testNow)
				shouldBackOffFor(&b, ms*time.Millisecond)
			}
		})
		convey.Convey("that answers starts anew", func() {
			b.recordFailure(testNow)
			b.recordFailure(testNow)
			b.recordSuccess()
			b.recordFailure(testNow)
			shouldBackOffFor(&b, 150*time.Millisecond)
		})
		convey.Convey("without memory is left unused for 80 ms", func() {
			b.recordNoMemory(testNow)
			shouldBackOffFor(&b, 80*time.Millisecond)
			convey.Convey("each time, as it does not fail", func() {
				b.recordNoMemory(testNow)
				shouldBackOffFor(&b, 80*time.Millisecond)
			})
		})
		convey.Convey("whose late answer lacks memory after it got stuck is used after 80 ms", func() {
			b.recordFailure(testNow)
			b.recordSuccess()
			b.recordNoMemory(testNow)
			shouldBackOffFor(&b, 80*time.Millisecond)
		})
	})
}
