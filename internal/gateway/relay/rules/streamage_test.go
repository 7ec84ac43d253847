package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestStreamAge guards against streams that count as younger than they can be, so that targets which
// may have begun them are left out.
func TestStreamAge(t *testing.T) {
	const most = 30 * time.Second
	shouldBe := func(longest, left, held, want time.Duration) {
		convey.So(StreamAge(StreamAgeInput{Longest: longest, Left: left, Held: held, Most: most}), convey.ShouldEqual, want)
	}
	convey.Convey("A stream is as old as what its client waits less", t, func() {
		shouldBe(15*time.Second, 5*time.Second, 0, 10*time.Second)
		shouldBe(15*time.Second, 5*time.Second, 100*time.Millisecond, 10100*time.Millisecond)
	})
	convey.Convey("It can be as old as any if its client does not count down, or says nothing", t, func() {
		shouldBe(15*time.Second, 15*time.Second, 0, most)
		shouldBe(15*time.Second, 14900*time.Millisecond, 0, most)
		shouldBe(15*time.Second, 0, 0, most)
		shouldBe(0, 0, 0, most)
	})
	convey.Convey("It is never older than any", t, func() { shouldBe(60*time.Second, time.Second, 0, most) })
}
