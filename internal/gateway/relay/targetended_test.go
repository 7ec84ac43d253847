package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// plainRoute returns a route whose requests must not run twice.
func plainRoute() *catalog.Route { return &catalog.Route{Kind: catalog.Once, MaxAttempts: 1} }

// reportedEnds returns the targets that were reported as crashed.
func (w *world) reportedEnds() []relay.TargetEnded {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]relay.TargetEnded(nil), w.ends...)
}

// awaitEnds waits up to 5 s until n crashes are reported, and returns the crashes.
func (w *world) awaitEnds(n int) []relay.TargetEnded {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && len(w.reportedEnds()) < n; time.Sleep(time.Millisecond) {
	}
	return w.reportedEnds()
}

// TestTargetEnded checks that the crash of a target is distinguished from a broken
// connection to a running target.
func TestTargetEnded(t *testing.T) {
	cut := answer{status: 200, body: "id: 1\ndata: x\n\n", cut: true}
	convey.Convey("A target that refuses connections after one broke is reported, with the digest of the request", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, true)
		w.ended = map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
		w.answers = []answer{cut, lost()}
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldNotBeNil)
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldNotBeNil)
		ends := w.awaitEnds(2)
		convey.So(ends, convey.ShouldHaveLength, 2)
		convey.So(ends[0].Events+ends[1].Events, convey.ShouldEqual, 1)
		convey.So(ends[0].Digest, convey.ShouldEqual, ends[1].Digest)
		convey.So(w.outcome.Digest, convey.ShouldEqual, ends[0].Digest)
	})
	convey.Convey("Requests with different content have different digests", t, func() {
		w, s := setup(plainRoute(), false)
		w.ended = map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
		w.answers = []answer{lost(), lost()}
		for content := range uint64(2) {
			req := request()
			req.Content = content
			convey.So(s.Serve(t.Context(), req, &client{}), convey.ShouldNotBeNil)
		}
		ends := w.awaitEnds(2)
		convey.So(ends, convey.ShouldHaveLength, 2)
		convey.So(ends[0].Digest, convey.ShouldNotEqual, ends[1].Digest)
	})
	for _, c := range []struct {
		what   string
		answer answer
		ended  bool
	}{
		{"a connection that broke while the target is running", lost(), false},
		{"a refusal", refused(), true},
		{"a target that timed out", answer{err: verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "slow")}, true},
		{"an error response of the target", answer{status: 500}, true},
	} {
		convey.Convey("No crash is reported for "+c.what, t, func() {
			w, s := setup(plainRoute(), false)
			if c.ended {
				w.ended = map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
			}
			w.answers = []answer{c.answer}
			_ = s.Serve(t.Context(), request(), &client{})
			time.Sleep(20 * time.Millisecond)
			convey.So(w.reportedEnds(), convey.ShouldBeEmpty)
		})
	}
}
