package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var arrived = time.Unix(1_764_000_000, 0)

func shouldRespondWithin(in TimesInput, want time.Duration) {
	in.Arrived = arrived
	convey.So(NewTimes(in).ResponseDeadline.Sub(arrived), convey.ShouldEqual, want)
}

func TestResponseDeadline(t *testing.T) {
	convey.Convey("The response is due", t, func() {
		convey.Convey("a margin before the client's timeout", func() {
			shouldRespondWithin(TimesInput{ClientTimeout: 10 * time.Second}, 10*time.Second-responseMargin)
		})
		convey.Convey("by the route's timeout if it is shorter", func() {
			shouldRespondWithin(TimesInput{ClientTimeout: 10 * time.Second, RouteTimeout: 4 * time.Second}, 4*time.Second-responseMargin)
			shouldRespondWithin(TimesInput{ClientTimeout: 2 * time.Second, RouteTimeout: 4 * time.Second}, 2*time.Second-responseMargin)
		})
		convey.Convey("by the default timeout if the client sends none", func() {
			shouldRespondWithin(TimesInput{}, defaultTimeout-responseMargin)
		})
		convey.Convey("a tenth before the end of a short timeout", func() {
			shouldRespondWithin(TimesInput{ClientTimeout: 100 * time.Millisecond}, 90*time.Millisecond)
		})
	})
}

func TestStageTimes(t *testing.T) {
	in := TimesInput{Arrived: arrived, ClientTimeout: 10 * time.Second, Objective: 2 * time.Second}
	const following = 300 * time.Millisecond
	convey.Convey("A stage is due before the objective by the time of the later stages and the engine's lead", t, func() {
		stage := NewTimes(in).Stage(following)
		convey.So(stage.Due.Sub(arrived), convey.ShouldEqual, 2*time.Second-engineLead-following)
		convey.So(stage.Deadline.Sub(arrived), convey.ShouldEqual, 10*time.Second-responseMargin-engineLead-following)
	})
	convey.Convey("The stages of a stream that a client takes up are due by its deadline if that comes first", t, func() {
		taken := in
		taken.TakenUp = true
		convey.So(NewTimes(taken).Stage(0).Due, convey.ShouldEqual, NewTimes(in).Stage(0).Due)
		taken.ClientTimeout = time.Second
		convey.So(NewTimes(taken).Objective, convey.ShouldEqual, NewTimes(taken).ResponseDeadline)
	})
	convey.Convey("The stages of a long prompt are due earlier, but have the same deadline", t, func() {
		long := in
		long.Prefill = 600 * time.Millisecond
		convey.So(NewTimes(long).Stage(0).Due.Sub(arrived), convey.ShouldEqual, 1400*time.Millisecond)
		convey.So(NewTimes(long).Stage(0).Deadline, convey.ShouldEqual, NewTimes(in).Stage(0).Deadline)
	})
	convey.Convey("An item's deadline leaves the engine its least lead before the response deadline", t, func() {
		times := NewTimes(in)
		convey.So(times.Stage(0).Deadline, convey.ShouldHappenBefore, times.ResponseDeadline)
		convey.So(engineLead, convey.ShouldBeGreaterThan, responseMargin)
	})
}

// TestWithdrawableUntil guards against admitted requests that are refused when their clients
// have no time left to return.
func TestWithdrawableUntil(t *testing.T) {
	convey.Convey("A request may be withdrawn while its client can return and be answered within the objective", t, func() {
		times := NewTimes(TimesInput{Arrived: arrived, ClientTimeout: 5 * time.Second, Objective: 720 * time.Millisecond})
		left := times.ResponseDeadline.Sub(times.WithdrawableUntil())
		convey.So(left-time.Duration(retryAfterShare*float64(left)), convey.ShouldAlmostEqual, 720*time.Millisecond, time.Microsecond)
	})
	convey.Convey("and never if its objective takes up most of its time", t, func() {
		times := NewTimes(TimesInput{Arrived: arrived, ClientTimeout: 5 * time.Second, Objective: 4 * time.Second})
		convey.So(times.WithdrawableUntil(), convey.ShouldHappenBefore, arrived)
	})
}
