package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/throttle"
)

var start = time.Unix(1000, 0)

// TestThrottle holds what is sent by what was answered.
func TestThrottle(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	// play has so many calls a second for a while, which are answered or not, and returns
	// how many there were and how many were sent.
	play := func(th *throttle.Throttle, now *time.Time, lasts time.Duration, perSecond int, answered bool) (all, sent int) {
		for end := now.Add(lasts); now.Before(end); *now = now.Add(time.Second / time.Duration(perSecond)) {
			all++
			if th.Allow(*now, rnd.Float64()) {
				sent++
				th.Ended(*now, answered)
			}
		}
		return all, sent
	}
	convey.Convey("Calls that are answered are all sent", t, func() {
		th, now := &throttle.Throttle{}, start
		all, sent := play(th, &now, 10*time.Second, 40, true)
		convey.So(sent, convey.ShouldEqual, all)
	})
	convey.Convey("Calls that are under way count for nothing", t, func() {
		th := &throttle.Throttle{}
		for range 100 {
			convey.So(th.Allow(start, 0.999), convey.ShouldBeTrue)
		}
	})
	convey.Convey("One or two calls without an answer hold back nothing", t, func() {
		th := &throttle.Throttle{}
		th.Ended(start, false)
		th.Ended(start, false)
		convey.So(th.Holds(start), convey.ShouldBeFalse)
	})
	convey.Convey("A callee that falls silent for half of the window is not held back from", t, func() {
		th, now := &throttle.Throttle{}, start
		play(th, &now, 3*time.Second, 40, true)
		all, sent := play(th, &now, 700*time.Millisecond, 40, false)
		convey.So(sent, convey.ShouldEqual, all)
	})
	convey.Convey("Given one that has not answered for long", t, func() {
		th, now := &throttle.Throttle{}, start
		play(th, &now, 5*time.Second, 40, false)
		convey.Convey("some calls are sent, and few", func() {
			all, sent := play(th, &now, 10*time.Second, 40, false)
			convey.So(sent, convey.ShouldBeBetween, 0, all/5)
		})
		convey.Convey("one of twenty is, however many there are", func() {
			all, sent := play(th, &now, 5*time.Second, 2000, false)
			convey.So(sent, convey.ShouldBeBetween, all/25, all/10)
		})
		convey.Convey("all are again within three seconds of its first answers", func() {
			play(th, &now, 3*time.Second, 40, true)
			all, sent := play(th, &now, time.Second, 40, true)
			convey.So(sent, convey.ShouldBeGreaterThan, all*9/10)
			convey.So(th.Idle(now.Add(time.Minute)), convey.ShouldBeTrue)
		})
	})
}
