package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestRetryAfter(t *testing.T) {
	between := func(left, least, most time.Duration) {
		convey.So(RetryAfter(left, 0), convey.ShouldEqual, least)
		latest := RetryAfter(left, 0.999999)
		convey.So(latest, convey.ShouldBeGreaterThanOrEqualTo, least)
		convey.So(latest, convey.ShouldBeLessThanOrEqualTo, most)
	}
	convey.Convey("A refused client should retry", t, func() {
		convey.Convey("after three quarters to all of a fraction of its time", func() {
			between(10*time.Second, 2100*time.Millisecond, 2800*time.Millisecond)
		})
		convey.Convey("within the third of its time that clients wait", func() {
			convey.So(RetryAfter(9*time.Second, 0.999999), convey.ShouldBeLessThan, 3*time.Second)
		})
		convey.Convey("no later than the upper bound", func() {
			between(time.Minute, 3*time.Second, maxRetryAfter)
		})
		convey.Convey("after the lower bound if no time is left", func() {
			between(0, minRetryAfter, minRetryAfter)
			between(-time.Second, minRetryAfter, minRetryAfter)
		})
	})
}

// TestRetryAfterPausesJitter checks that clients that wait for the same pause do not
// retry at the same moment.
func TestRetryAfterPausesJitter(t *testing.T) {
	convey.Convey("Retries are spread over a quarter of the pause", t, func() {
		latest := RetryAfterPauses(0, []time.Duration{4 * time.Second}, 0.999)
		convey.So(latest, convey.ShouldBeBetween, 4900*time.Millisecond, 5*time.Second)
	})
}

func TestRetryAfterPauses(t *testing.T) {
	const own, short, long = 2 * time.Second, time.Second, 5 * time.Second
	convey.Convey("A client should retry after its own delay or the shortest pause, whichever is longer", t, func() {
		for _, c := range []struct {
			pauses []time.Duration
			want   time.Duration
		}{
			{nil, own},
			{[]time.Duration{0, long}, own},
			{[]time.Duration{short, long}, own},
			{[]time.Duration{long, 2 * long}, long},
		} {
			convey.So(RetryAfterPauses(own, c.pauses, 0), convey.ShouldEqual, c.want)
		}
	})
}
