package verdict_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestVerdictsOfAWhole(t *testing.T) {
	const ran, notRun, may = verdict.Ran, verdict.NotRun, verdict.MayHaveRun
	cases := []struct{ one, other, whole verdict.Verdict }{
		{notRun, notRun, notRun},
		{notRun, may, may},
		{may, may, may},
		{ran, notRun, ran},
		{ran, may, ran},
		{ran, ran, ran},
	}
	convey.Convey("A whole has not run only when no part has", t, func() {
		for _, c := range cases {
			convey.So(verdict.Join(c.one, c.other), convey.ShouldEqual, c.whole)
			convey.So(verdict.Join(c.other, c.one), convey.ShouldEqual, c.whole)
		}
	})
	convey.Convey("A verdict keeps its meaning on the wire", t, func() {
		for _, v := range []verdict.Verdict{ran, notRun, may} {
			convey.So(verdict.Parse(v.String()), convey.ShouldEqual, v)
		}
		convey.So(verdict.Parse("anything else"), convey.ShouldEqual, may)
	})
}

func TestErrors(t *testing.T) {
	convey.Convey("Given a refusal", t, func() {
		cause := errors.New("cause")
		plain := verdict.New(verdict.NotRun, verdict.ReasonOverload, "no slot for %d", 1)
		convey.Convey("a copy with more does not change it", func() {
			full := plain.WithVerdict(verdict.Ran).WithReason(verdict.ReasonCut).WithStage("s").WithRetryAfter(time.Second).WithCause(cause).WithUnsafeRetry()
			convey.So(full.Error(), convey.ShouldEqual, "answer-cut (ran): no slot for 1: cause")
			convey.So(errors.Is(full, cause), convey.ShouldBeTrue)
			convey.So(full.Stage(), convey.ShouldEqual, "s")
			convey.So(full.SafeToRetry(), convey.ShouldBeFalse)
			convey.So(plain, convey.ShouldResemble, verdict.New(verdict.NotRun, verdict.ReasonOverload, "no slot for 1"))
		})
		convey.Convey("it is found in an error that wraps it", func() {
			convey.So(verdict.From(errors.Wrap(plain, "around")), convey.ShouldEqual, plain)
		})
	})
	convey.Convey("An error without a verdict may have run", t, func() {
		err := verdict.From(errors.New("unknown"))
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonInternal)
		convey.So(verdict.From(nil), convey.ShouldBeNil)
	})
}
