package relay_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// plainRoute is a route whose requests may not run twice.
func plainRoute() *catalog.Route { return &catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1} }

// reportedEnds returns the targets that were reported as ended.
func (w *world) reportedEnds() []relay.TargetEnded {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]relay.TargetEnded(nil), w.ends...)
}

// awaitEnds waits until so many ends are reported, and returns them.
func (w *world) awaitEnds(n int) []relay.TargetEnded {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && len(w.reportedEnds()) < n; time.Sleep(time.Millisecond) {
	}
	return w.reportedEnds()
}

// TestTargetEnded holds that the end of a target is told from the end of a connection.
func TestTargetEnded(t *testing.T) {
	cut := answer{status: 200, body: "id: 1\ndata: x\n\n", cut: true}
	convey.Convey("A target that refuses connections after one broke is reported, with what was asked for", t, func() {
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
	convey.Convey("Requests that ask for something else have another digest", t, func() {
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
		{"a connection that broke while the target lives", lost(), false},
		{"a refusal", refused(), true},
		{"a target that took too long", answer{err: verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "slow")}, true},
		{"a failure of the target's own", answer{status: 500}, true},
	} {
		convey.Convey("No end is reported for "+c.what, t, func() {
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
