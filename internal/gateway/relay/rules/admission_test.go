package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// firstAttempt returns a request with 2 s to its objective, whose stages take 500 ms and
// wait for other requests' work.
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
	// 0.85 of 2 s minus 500 ms for the stages and 150 ms for the engine.
	const bound = 1050 * time.Millisecond
	convey.Convey("A request is admitted up to the bound and refused beyond", t, func() {
		shouldAdmit(firstAttempt(bound))
		shouldRefuse(firstAttempt(bound + 1))
	})
	convey.Convey("A request whose stages would fit the time left is refused if its wait exceeds the bound", t, func() {
		a := firstAttempt(1200 * time.Millisecond)
		convey.So(a.Estimated, convey.ShouldBeLessThan, a.Left)
		shouldRefuse(a)
	})
	convey.Convey("Each step of priority lowers the bound by a margin", t, func() {
		a := firstAttempt(bound)
		a.Priority = 1
		shouldRefuse(a)
		a.Estimated -= priorityMargin
		shouldAdmit(a)
	})
	convey.Convey("A request is not refused for its own work, on an idle or nearly idle system", t, func() {
		a := firstAttempt(0)
		a.Estimated, a.Alone = time.Minute, time.Minute
		shouldAdmit(a)
		a.Estimated += minWait
		shouldAdmit(a)
		a.Estimated++
		shouldRefuse(a)
	})
	convey.Convey("A request whose objective has passed may still wait for minWait", t, func() {
		a := firstAttempt(minWait)
		a.Left = -time.Second
		shouldAdmit(a)
	})
}

// TestAdmitOverShare guards against an organisation that takes the capacity of others because
// its requests may wait as long as theirs, and against capacity that stays idle because a
// marked request is refused whatever its wait.
func TestAdmitOverShare(t *testing.T) {
	overShare := func(a Admission) Admission {
		a.OverShare = true
		return a
	}
	convey.Convey("A request over its organisation's share may wait for what is always allowed and no longer", t, func() {
		shouldAdmit(overShare(firstAttempt(minWait)))
		shouldAdmit(firstAttempt(minWait + 1))
		shouldRefuse(overShare(firstAttempt(minWait + 1)))
	})
	convey.Convey("Nor may its retry", t, func() {
		shouldRefuse(overShare(retry(minWait+1, time.Second)))
	})
	convey.Convey("It is not refused for its own work", t, func() {
		a := overShare(firstAttempt(0))
		a.Estimated, a.Alone = time.Minute, time.Minute
		shouldAdmit(a)
	})
}

func TestAdmitRetry(t *testing.T) {
	convey.Convey("A retried request that does not fit is refused immediately, as any other", t, func() {
		shouldRefuse(retry(3*time.Second, 0))
		shouldRefuse(retry(3*time.Second, 4*time.Second))
	})
	convey.Convey("It is measured against its whole objective, however late it is", t, func() {
		shouldAdmit(retry(time.Second, 4*time.Second))
	})
}

func TestRetried(t *testing.T) {
	convey.Convey("A request is a retry if its client has clearly less time than the longest that a client of the route had", t, func() {
		for _, c := range []struct {
			what             string
			timeout, longest time.Duration
			want             bool
		}{
			{"the longest time", 10 * time.Second, 10 * time.Second, false},
			{"nearly the longest time", 9750 * time.Millisecond, 10 * time.Second, false},
			{"less time", 7 * time.Second, 10 * time.Second, true},
			{"an unknown time", 0, 10 * time.Second, false},
		} {
			convey.Convey("with "+c.what, func() {
				convey.So(Retried(c.timeout, c.longest), convey.ShouldEqual, c.want)
			})
		}
	})
}

// TestAdmitReserved guards against a client that returned when it was told to and is refused
// for the margins that first attempts are held to.
func TestAdmitReserved(t *testing.T) {
	// 2 s minus 500 ms for the stages and 150 ms for the engine.
	const bound = 1350 * time.Millisecond
	convey.Convey("A request with reserved capacity is measured against all of its objective, whatever its priority and its time left", t, func() {
		a := firstAttempt(bound)
		a.Priority, a.Left = 2, time.Millisecond
		shouldRefuse(a)
		a.Reserved = true
		shouldAdmit(a)
		a.Estimated++
		shouldRefuse(a)
	})
	convey.Convey("A request exceeds the wait of a retry with reserved capacity by what is beyond that bound", t, func() {
		convey.So(excessWait(firstAttempt(bound)), convey.ShouldEqual, 0)
		convey.So(excessWait(firstAttempt(bound+time.Second)), convey.ShouldEqual, time.Second)
	})
}

// TestAdmitTakenUp guards against streams that are lost to their clients although their rest could be
// made in time, and against work for those whose rest cannot.
func TestAdmitTakenUp(t *testing.T) {
	in := Admission{Estimated: 3 * time.Second, Alone: time.Second, Objective: 2 * time.Second, Priority: 2, TakenUp: true, OverShare: true}
	shouldAdmit := func(toDeadline time.Duration, want AdmissionDecision) {
		in.ToDeadline = toDeadline
		convey.So(Admit(in), convey.ShouldHaveSameTypeAs, want)
	}
	convey.Convey("A stream that its client takes up is measured against its deadline alone", t, func() {
		shouldAdmit(3*time.Second+engineLead, Admitted{})
		shouldAdmit(3*time.Second+engineLead-1, Refused{})
	})
	convey.Convey("It is refused for its own work if that takes longer, also on an idle system", t, func() {
		in.Estimated = in.Alone
		shouldAdmit(time.Second+engineLead, Admitted{})
		shouldAdmit(time.Second+engineLead-1, Refused{})
	})
}
