package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

func TestPlanShutdown(t *testing.T) {
	signal := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	convey.Convey("The constants of the shutdown schedule are consistent", t, func() {
		convey.Convey("new requests are refused before the listener closes", func() {
			convey.So(acceptAfterSignal, convey.ShouldBeLessThan, listenerCloseDelay)
		})
		convey.Convey("unanswered requests are refused before the node exits", func() {
			convey.So(abortMargin, convey.ShouldBeGreaterThan, exitMargin)
		})
		convey.Convey("the default grace period leaves time between closing the listener and refusing unanswered requests", func() {
			convey.So(defaultGracePeriod, convey.ShouldBeGreaterThan, listenerCloseDelay+abortMargin)
		})
	})
	convey.Convey("The steps are in order and within the grace period", t, func() {
		for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, defaultGracePeriod, time.Minute} {
			steps := planShutdown(signal, grace)
			convey.So(steps.closeListener, convey.ShouldHappenOnOrBefore, signal.Add(listenerCloseDelay))
			convey.So(steps.closeListener, convey.ShouldHappenOnOrBefore, steps.abort)
			convey.So(steps.abort, convey.ShouldHappenBefore, steps.exit)
			convey.So(steps.exit, convey.ShouldHappenBefore, signal.Add(grace))
		}
	})
	convey.Convey("The grace period comes from the settings, or is the default", t, func() {
		convey.So(gracePeriod(&settings.Gateway{GraceMs: 4000}), convey.ShouldEqual, 4*time.Second)
		convey.So(gracePeriod(&settings.Gateway{}), convey.ShouldEqual, defaultGracePeriod)
	})
}

func TestShutdownState(t *testing.T) {
	signal := time.Now()
	convey.Convey("A node that is not leaving accepts requests", t, func() {
		d := &shutdownState{}
		convey.So(d.begun(), convey.ShouldBeFalse)
		convey.So(d.refusesRequests(signal), convey.ShouldBeFalse)
		convey.Convey("A leaving node accepts requests until acceptAfterSignal has passed", func() {
			d.begin(signal)
			convey.So(d.begun(), convey.ShouldBeTrue)
			convey.So(d.refusesRequests(signal.Add(acceptAfterSignal-1)), convey.ShouldBeFalse)
			convey.So(d.refusesRequests(signal.Add(acceptAfterSignal)), convey.ShouldBeTrue)
		})
	})
}
