package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// firstAttempt is a request with 2 s to its objective and
// stages of 500 ms, that waits so long for others.
func firstAttempt(wait time.Duration) Admission {
	return Admission{
		Estimated: 500*time.Millisecond + wait, Alone: 500 * time.Millisecond,
		Left: 2 * time.Second, Objective: 2 * time.Second,
	}
}

func retry(wait, elapsed time.Duration) Admission {
	a := firstAttempt(wait)
	a.Left, a.Retried = a.Objective-elapsed, true
	return a
}

func shouldAdmit(a Admission) {
	convey.So(Admit(a), convey.ShouldHaveSameTypeAs, Admitted{})
}

func shouldRefuse(a Admission) {
	d, ok := Admit(a).(Refused)
	convey.So(ok, convey.ShouldBeTrue)
	convey.So(d.Comparison.Wait, convey.ShouldBeGreaterThan, d.Comparison.Bound)
}

func TestAdmitFirstAttempt(t *testing.T) {
	// 0.85 of 2 s less the stages' 500 ms and the engine's 150 ms.
	const bound = 1050 * time.Millisecond
	convey.Convey("A request is admitted up to the bound and refused beyond", t, func() {
		shouldAdmit(firstAttempt(bound))
		shouldRefuse(firstAttempt(bound + 1))
	})
	convey.Convey("A request whose stages would fit the time left is refused when the share, the engine and its own work are taken off", t, func() {
		a := firstAttempt(1200 * time.Millisecond)
		convey.So(a.Estimated, convey.ShouldBeLessThan, a.Left)
		shouldRefuse(a)
	})
	convey.Convey("Each step of priority costs a margin", t, func() {
		a := firstAttempt(bound)
		a.Priority = 1
		shouldRefuse(a)
		a.Estimated -= priorityMargin
		shouldAdmit(a)
	})
	convey.Convey("A request's own work is never a reason, on an idle system or one that is nearly so", t, func() {
		a := firstAttempt(0)
		a.Estimated, a.Alone = time.Minute, time.Minute
		shouldAdmit(a)
		a.Estimated += minWait
		shouldAdmit(a)
		a.Estimated++
		shouldRefuse(a)
	})
	convey.Convey("A request whose objective has passed still has the least wait", t, func() {
		a := firstAttempt(minWait)
		a.Left = -time.Second
		shouldAdmit(a)
	})
}

func TestAdmitRetry(t *testing.T) {
	convey.Convey("A retried request that does not fit is refused at once, as any other", t, func() {
		shouldRefuse(retry(3*time.Second, 0))
		shouldRefuse(retry(3*time.Second, 4*time.Second))
	})
	convey.Convey("It is admitted by its whole objective, however late it is", t, func() {
		shouldAdmit(retry(time.Second, 4*time.Second))
	})
}

func TestRetried(t *testing.T) {
	convey.Convey("A request is a retry when its client has clearly less time than the route's clients usually have", t, func() {
		for _, c := range []struct {
			what             string
			timeout, longest time.Duration
			want             bool
		}{
			{"the usual time", 10 * time.Second, 10 * time.Second, false},
			{"nearly the usual time", 9750 * time.Millisecond, 10 * time.Second, false},
			{"less time", 7 * time.Second, 10 * time.Second, true},
			{"an unknown time", 0, 10 * time.Second, false},
		} {
			convey.Convey("with "+c.what, func() {
				convey.So(Retried(c.timeout, c.longest), convey.ShouldEqual, c.want)
			})
		}
	})
}
