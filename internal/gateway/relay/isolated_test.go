package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestIsolatedNode guards against requests that are planned, or wait for their stages, at a node
// that reaches no target.
func TestIsolatedNode(t *testing.T) {
	refused := func(err *verdict.Error) {
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
	}
	convey.Convey("Given a node", t, func() {
		f, s := setup(chainRoute(), true)
		isolated, isolate := context.WithCancel(t.Context())
		f.isolated = isolated
		convey.Convey("that is isolated, a request is refused before it is planned", func() {
			isolate()
			refused(s.Serve(t.Context(), request(1, 4, 2), &fakeClient{}))
			convey.So(f.plans, convey.ShouldBeEmpty)
			convey.So(f.groups, convey.ShouldBeEmpty)
			convey.So(f.calls, convey.ShouldBeEmpty)
		})
		convey.Convey("that becomes isolated, a request that waits for its stages is refused", func() {
			f.groupsWait = make(chan struct{})
			defer close(f.groupsWait)
			time.AfterFunc(10*time.Millisecond, isolate)
			refused(s.Serve(t.Context(), request(1, 4, 2), &fakeClient{}))
			convey.So(f.calls, convey.ShouldBeEmpty)
		})
	})
}
