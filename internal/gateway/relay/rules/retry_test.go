package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func shouldFollow(f Failure, want NextAttempt) {
	convey.So(AfterFailure(f), convey.ShouldResemble, want)
}

// notRun returns the first failure of a request that must not run twice and provably did
// not run.
func notRun(reason verdict.Reason) Failure {
	return Failure{Verdict: verdict.NotRun, Reason: reason, MaxAttempts: 1}
}

// mayHaveRun returns the first failure of a repeatable request that may have run.
func mayHaveRun(reason verdict.Reason) Failure {
	return Failure{Verdict: verdict.MayHaveRun, Reason: reason, Retryable: true, MaxAttempts: 2}
}

func TestAfterFailureNotRun(t *testing.T) {
	convey.Convey("A request that provably did not run", t, func() {
		convey.Convey("goes to another target, whatever its route allows", func() {
			shouldFollow(notRun(verdict.ReasonRefused), OtherTarget{})
		})
		convey.Convey("goes to the same target over another connection, twice", func() {
			f := notRun(verdict.ReasonConnection)
			shouldFollow(f, Resend{})
			f.Resends = maxResends
			shouldFollow(f, OtherTarget{})
		})
		convey.Convey("is given up after the third refusal", func() {
			f := notRun(verdict.ReasonRefused)
			f.Refusals = maxRefusals - 1
			shouldFollow(f, OtherTarget{})
			f.Refusals = maxRefusals
			shouldFollow(f, GiveUp{Reason: RefusalsSpent})
		})
		convey.Convey("is given up if it is invalid", func() {
			shouldFollow(notRun(verdict.ReasonBadRequest), GiveUp{Reason: BadRequest})
		})
		convey.Convey("is given up if there was no time to send it", func() {
			shouldFollow(notRun(verdict.ReasonDeadline), GiveUp{Reason: TimeOver})
		})
		convey.Convey("has its inputs recomputed if they are missing", func() {
			shouldFollow(notRun(verdict.ReasonInputGone), Recompute{})
		})
	})
}

func TestAfterFailureMayHaveRun(t *testing.T) {
	convey.Convey("A request that may have run", t, func() {
		convey.Convey("goes to another target if its route allows it", func() {
			shouldFollow(mayHaveRun(verdict.ReasonCut), OtherTarget{})
		})
		convey.Convey("is given up if it must not run twice", func() {
			f := mayHaveRun(verdict.ReasonConnection)
			f.Retryable = false
			shouldFollow(f, GiveUp{Reason: MayHaveRun})
		})
		convey.Convey("is given up if it may have run as often as its route allows", func() {
			f := mayHaveRun(verdict.ReasonStalled)
			f.PossibleRuns = 1
			shouldFollow(f, GiveUp{Reason: AttemptsSpent})
		})
		convey.Convey("is given up if its deadline has passed or its client has disconnected", func() {
			f := mayHaveRun(verdict.ReasonCancelled)
			f.Ended = true
			shouldFollow(f, GiveUp{Reason: RequestEnded})
		})
	})
}

func TestEndError(t *testing.T) {
	last := verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "cut")
	own := verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
	convey.Convey("A request that cannot be sent again ends with its last attempt's error", t, func() {
		convey.So(EndError(last, own), convey.ShouldEqual, last)
		convey.Convey("and with its own error if there was no attempt", func() {
			convey.So(EndError(nil, own), convey.ShouldEqual, own)
		})
	})
}

func TestFinalVerdict(t *testing.T) {
	refused := verdict.New(verdict.NotRun, verdict.ReasonRefused, "full")
	shouldSay := func(possibleRuns int, retryable bool, want verdict.Verdict) {
		convey.So(FinalVerdict(refused, possibleRuns, retryable).Verdict(), convey.ShouldEqual, want)
	}
	convey.Convey("A last refusal proves nothing about earlier attempts at a request that must not run twice", t, func() {
		shouldSay(1, false, verdict.MayHaveRun)
		shouldSay(0, false, verdict.NotRun)
		shouldSay(1, true, verdict.NotRun)
	})
}

func TestTargetFault(t *testing.T) {
	convey.Convey("Failures caused by the client, the request or a planned stop do not count against the target", t, func() {
		for _, reason := range []verdict.Reason{verdict.ReasonCancelled, verdict.ReasonInputGone, verdict.ReasonLeaving, verdict.ReasonBadRequest} {
			convey.So(TargetFault(reason), convey.ShouldBeFalse)
		}
	})
	convey.Convey("All other failures do", t, func() {
		for _, reason := range []verdict.Reason{verdict.ReasonDial, verdict.ReasonConnection, verdict.ReasonCut, verdict.ReasonStalled, verdict.ReasonDeadline, verdict.ReasonTargetError, verdict.ReasonRefused} {
			convey.So(TargetFault(reason), convey.ShouldBeTrue)
		}
	})
}

func TestAttemptTimeout(t *testing.T) {
	shouldLimit := func(a Attempt, want time.Duration) {
		limit, limited := AttemptTimeout(a)
		convey.So(limited, convey.ShouldBeTrue)
		convey.So(limit, convey.ShouldEqual, want)
	}
	shouldNotLimit := func(a Attempt) {
		_, limited := AttemptTimeout(a)
		convey.So(limited, convey.ShouldBeFalse)
	}
	plain := Attempt{Retryable: true, MaxAttempts: 2, Objective: 2 * time.Second, PauseLimit: 500 * time.Millisecond}
	convey.Convey("An attempt that another may follow", t, func() {
		convey.Convey("times out after a multiple of the objective", func() { shouldLimit(plain, 5*time.Second) })
		convey.Convey("times out after three pauses of its stream", func() {
			stream := plain
			stream.Stream = true
			shouldLimit(stream, 1500*time.Millisecond)
			stream.PauseLimit = 100 * time.Millisecond
			shouldLimit(stream, minStreamIdleTimeout)
		})
	})
	convey.Convey("An attempt that no other may follow lasts as long as the request", t, func() {
		once, last := plain, plain
		once.Retryable = false
		last.PossibleRuns = 1
		shouldNotLimit(once)
		shouldNotLimit(last)
	})
}

// TestMayAbandon guards against a response that is ended for the silence of its target though no
// other attempt can follow.
func TestMayAbandon(t *testing.T) {
	held := Replacement{OtherTarget: true, Recomputes: maxRecomputes, Left: time.Millisecond, StagesTime: time.Second}
	stages := Replacement{OtherTarget: true, NeedsStages: true, Recomputes: maxRecomputes - 1, StagesTime: time.Second, Left: time.Second + engineLead, Silent: 3 * time.Second, Limit: 2 * time.Second}
	convey.Convey("A silent attempt is abandoned if another target can get the request", t, func() {
		convey.So(MayAbandon(held), convey.ShouldBeTrue)
		convey.So(MayAbandon(stages), convey.ShouldBeTrue)
	})
	convey.Convey("It goes on without another target", t, func() {
		for _, alone := range []Replacement{held, stages} {
			alone.OtherTarget = false
			convey.So(MayAbandon(alone), convey.ShouldBeFalse)
		}
	})
	convey.Convey("It goes on if the stages may not run again", t, func() {
		spent := stages
		spent.Recomputes = maxRecomputes
		convey.So(MayAbandon(spent), convey.ShouldBeFalse)
	})
	convey.Convey("It goes on while the stages would not be done either", t, func() {
		early := stages
		early.Silent--
		convey.So(MayAbandon(early), convey.ShouldBeFalse)
	})
	convey.Convey("It goes on if the stages would take too long", t, func() {
		late := stages
		late.Left--
		convey.So(MayAbandon(late), convey.ShouldBeFalse)
	})
}
