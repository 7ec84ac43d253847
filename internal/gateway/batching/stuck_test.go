package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestStuckBatchTiming(t *testing.T) {
	for _, c := range []struct{ expected, stuck, timeout time.Duration }{
		{0, 250 * time.Millisecond, 750 * time.Millisecond},
		{260 * time.Millisecond, 770 * time.Millisecond, 2310 * time.Millisecond},
		{time.Second, 2250 * time.Millisecond, 6750 * time.Millisecond},
	} {
		convey.Convey("A batch that should take "+c.expected.String(), t, func() {
			convey.So(stuckAfter(c.expected), convey.ShouldEqual, c.stuck)
			convey.Convey("times out after three times the time until it counts as stuck", func() {
				convey.So(sendTimeout(c.expected), convey.ShouldEqual, c.timeout)
			})
		})
	}
	convey.Convey("A late node waits longer by its own delay", t, func() {
		b := &batch{stuckAt: testNow}
		convey.So(b.becomesStuck(testNow.Add(time.Second-1), time.Second), convey.ShouldBeFalse)
		convey.So(b.becomesStuck(testNow.Add(time.Second), time.Second), convey.ShouldBeTrue)
	})
	convey.Convey("A batch becomes stuck at its time, and only once", t, func() {
		b := &batch{stuckAt: testNow}
		convey.So(b.becomesStuck(testNow.Add(-1), 0), convey.ShouldBeFalse)
		convey.So(b.becomesStuck(testNow, 0), convey.ShouldBeTrue)
		b.stuck = true
		convey.So(b.becomesStuck(testNow, 0), convey.ShouldBeFalse)
	})
}
