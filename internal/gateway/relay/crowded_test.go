package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestCrowdedTargets guards against requests that are refused although a target makes room within
// milliseconds, and against requests that wait for long when none does.
func TestCrowdedTargets(t *testing.T) {
	convey.Convey("Given a service whose targets are crowded", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		convey.Convey("a request waits for room", func() {
			f.crowded.Store(4)
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.calls, convey.ShouldHaveLength, 1)
		})
		convey.Convey("a request is refused when there is none for an eighth of its objective", func() {
			f.crowded.Store(1 << 20)
			began := time.Now()
			err := s.Serve(t.Context(), request(), &fakeClient{})
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(time.Since(began), convey.ShouldBeBetween, 250*time.Millisecond, time.Second)
			convey.So(f.calls, convey.ShouldBeEmpty)
		})
	})
}
