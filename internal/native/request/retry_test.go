package request

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestWhetherAStageIsRetried(t *testing.T) {
	now := time.Unix(1000, 0)
	repeatable := bundle.Stage{Repeatable: true, MinimumMs: 100}
	once := bundle.Stage{MinimumMs: 100}
	continues := bundle.Stage{Repeatable: true, OnLoss: bundle.StageOnLossContinue}
	const lost, refused = verdict.MayHaveRun, verdict.NotRun
	cases := []struct {
		question string
		in       retryInput
		want     bool
	}{
		{"admission refused it", retryInput{spec: repeatable, attempts: 1}, false},
		{"the deadline is too near", retryInput{spec: repeatable, target: "t", attempts: 1, now: now.Add(900 * time.Millisecond)}, false},
		{"there is just enough time", retryInput{spec: repeatable, target: "t", attempts: 1, verdict: refused, now: now.Add(899 * time.Millisecond)}, true},
		{"it may be repeated and was lost", retryInput{spec: repeatable, target: "t", attempts: 1, unproven: 1, verdict: lost}, true},
		{"it was lost as often as the bundle allows", retryInput{spec: repeatable, target: "t", attempts: 2, unproven: 2, verdict: lost}, false},
		{"it must run once and was lost", retryInput{spec: once, target: "t", attempts: 1, unproven: 1, verdict: lost}, false},
		{"it must run once and was refused", retryInput{spec: once, target: "t", attempts: 1, verdict: refused}, true},
		{"it must run once, and was refused after a loss", retryInput{spec: once, target: "t", attempts: 2, unproven: 1, verdict: refused}, false},
		{"it was refused for the last time", retryInput{spec: once, target: "t", attempts: maxAttempts, verdict: refused}, false},
		{"the caller has text", retryInput{spec: repeatable, target: "t", attempts: 1, unproven: 1, textSent: true}, false},
		{"the caller has text that may be continued", retryInput{spec: continues, target: "t", attempts: 1, unproven: 1, textSent: true}, true},
		{"the text was continued as often as allowed", retryInput{spec: continues, target: "t", attempts: 3, unproven: 3, textSent: true}, false},
	}
	convey.Convey("A stage that failed a second before its deadline", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				c.in.deadline = now.Add(time.Second)
				if c.in.now.IsZero() {
					c.in.now = now
				}
				convey.So(mayRetry(c.in), convey.ShouldEqual, c.want)
			})
		}
	})
}
