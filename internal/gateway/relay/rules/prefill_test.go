package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestPrefillRate(t *testing.T) {
	convey.Convey("The prefill rate follows the times of long prompts", t, func() {
		rate := NewPrefillRate()
		before := rate.Time(10_000)
		for range 100 {
			rate = rate.WithPrompt(10_000, 540*time.Millisecond)
		}
		convey.So(rate.Time(10_000), convey.ShouldBeGreaterThan, before)
		convey.So(rate.Time(10_000), convey.ShouldAlmostEqual, 540*time.Millisecond, 10*time.Millisecond)
		convey.Convey("and ignores those of short ones", func() {
			known := rate.Time(10_000)
			rate = rate.WithPrompt(minPrefillTokens-1, time.Minute)
			convey.So(rate.Time(10_000), convey.ShouldEqual, known)
		})
	})
	convey.Convey("A single delayed prompt changes little", t, func() {
		rate := NewPrefillRate().WithPrompt(10_000, time.Hour)
		convey.So(rate.Time(10_000), convey.ShouldBeLessThan, 400*time.Millisecond)
	})
}
