package relay_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// allEnded says that whatever target the request breaks at has ended.
func allEnded() map[string]bool {
	return map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
}

// crashes has the server send a request so often to targets that end with it.
func crashes(w *world, s *relay.Server, n int) {
	w.ended = allEnded()
	for i := range n {
		w.answers = []answer{lost()}
		_ = s.Serve(w.ctx, request(), &client{})
		w.awaitEnds(i + 1)
		time.Sleep(20 * time.Millisecond)
	}
	w.calls, w.answers = nil, nil
}

// shouldRefuseHeld holds that a request was refused as not run, and with the time when it
// may come back, before anything was done for it.
func shouldRefuseHeld(w *world, err *verdict.Error) {
	convey.So(err, convey.ShouldNotBeNil)
	convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
	convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
	convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 50*time.Second)
	convey.So(w.calls, convey.ShouldBeEmpty)
	convey.So(w.groups, convey.ShouldBeEmpty)
}

// TestRequestThatEndsTargets holds that a request which ended two targets is sent to no
// other, and that others are.
func TestRequestThatEndsTargets(t *testing.T) {
	convey.Convey("After two targets ended with it a request is refused before its stages begin", t, func() {
		route := chain()
		route.Resumable, route.MaxAttempts = false, 1
		w, s := setup(route, true)
		w.ended = allEnded()
		for i := range 2 {
			w.answers = []answer{lost()}
			convey.So(s.Serve(t.Context(), request(1, 4, 2), &client{}), convey.ShouldNotBeNil)
			w.awaitEnds(i + 1)
			time.Sleep(20 * time.Millisecond)
		}
		w.calls, w.groups = nil, nil
		shouldRefuseHeld(w, s.Serve(t.Context(), request(1, 4, 2), &client{}))
		convey.Convey("and another request is served", func() {
			other := request(1, 4, 2)
			other.Content = 1
			convey.So(s.Serve(t.Context(), other, &client{}), convey.ShouldBeNil)
		})
	})
	convey.Convey("An answer in between clears it, also one that is a failure of the target's own", t, func() {
		for _, a := range []answer{{status: 200, body: "whole"}, {status: 500}} {
			w, s := setup(plainRoute(), false)
			w.ctx = t.Context()
			crashes(w, s, 1)
			w.answers = []answer{a}
			convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
			w.ends = nil
			crashes(w, s, 1)
			convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
		}
	})
	convey.Convey("Connections that break while their targets live hold nothing", t, func() {
		w, s := setup(plainRoute(), false)
		for range 5 {
			w.answers = []answer{lost()}
			convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldNotBeNil)
		}
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
	})
	convey.Convey("A request that may be repeated goes to no third target, and its caller is told that it may have run", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 4}, false)
		w.ended = allEnded()
		w.slow = 10 * time.Millisecond
		w.answers = []answer{lost(), lost(), lost(), lost()}
		err := s.Serve(t.Context(), request(), &client{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(w.calls, convey.ShouldHaveLength, 2)
	})
	convey.Convey("A stream goes on at no third target", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 4}, true)
		w.ended = allEnded()
		w.slow = 10 * time.Millisecond
		w.answers = []answer{lost(), lost(), lost(), lost()}
		c := &client{}
		convey.So(s.Serve(t.Context(), request(), c), convey.ShouldNotBeNil)
		convey.So(c.begun, convey.ShouldBeFalse)
		convey.So(w.calls, convey.ShouldHaveLength, 2)
	})
}

// fakeQuarantine answers what a test sets.
type fakeQuarantine struct {
	admission quarantine.Admission
	suspected bool
	held      bool
	answered  int
}

func (q *fakeQuarantine) Idle() bool                                   { return false }
func (q *fakeQuarantine) Admit(quarantine.Digest) quarantine.Admission { return q.admission }

func (q *fakeQuarantine) Suspected(quarantine.Digest) bool { return q.suspected }

func (q *fakeQuarantine) Held(quarantine.Digest) (quarantine.Hold, bool) {
	return quarantine.Hold{}, q.held
}
func (q *fakeQuarantine) TargetEnded(quarantine.Digest, quarantine.Crash) {}
func (q *fakeQuarantine) Answered(quarantine.Digest)                      { q.answered++ }

// TestTrial holds that a trial is sent once, and that what is held after a request was
// admitted keeps it from being sent.
func TestTrial(t *testing.T) {
	convey.Convey("A trial is sent, and its answer passed back", t, func() {
		q := &fakeQuarantine{admission: quarantine.Trial{}, held: true}
		w, s := setupQuarantine(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 4}, q)
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
		convey.So(w.calls, convey.ShouldHaveLength, 1)
		convey.So(q.answered, convey.ShouldEqual, 1)
	})
	convey.Convey("A trial that fails is not sent to another target", t, func() {
		q := &fakeQuarantine{admission: quarantine.Trial{}, held: true}
		w, s := setupQuarantine(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 4}, q)
		w.answers = []answer{lost(), lost()}
		err := s.Serve(t.Context(), request(), &client{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(w.calls, convey.ShouldHaveLength, 1)
		convey.So(q.answered, convey.ShouldEqual, 0)
	})
	convey.Convey("A request that is held after it was admitted is refused just before it is written", t, func() {
		q := &fakeQuarantine{admission: quarantine.Allowed{}, held: true}
		w, s := setupQuarantine(plainRoute(), q)
		err := s.Serve(t.Context(), request(), &client{})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(w.calls, convey.ShouldBeEmpty)
	})
}

// setupQuarantine returns a server for one route with a quarantine of the test's own.
func setupQuarantine(r *catalog.Route, q relay.Quarantine) (*world, *relay.Server) {
	return setupWith(r, false, 0, keepView, q)
}

// newKeeper returns a keeper that nobody hears of, and that tries nothing.
func newKeeper() *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.Config{
		Now: time.Now, Log: zerolog.Nop(), OnChange: func(int) {}, OwnsRole: func(string) bool { return false },
	})
}

// TestSuspectsApart holds that suspected requests do not share a target where there is
// another.
func TestSuspectsApart(t *testing.T) {
	convey.Convey("Four suspects at once go to four targets, and a fifth shares one", t, func() {
		q := &fakeQuarantine{admission: quarantine.Allowed{}, suspected: true}
		w, s := setupWith(plainRoute(), true, 0, keepView, q)
		w.answers = []answer{{hangs: true}, {hangs: true}, {hangs: true}, {hangs: true}, {hangs: true}}
		ended := make(chan struct{})
		for i := range 5 {
			go func() {
				req := request()
				req.Timeout = 500 * time.Millisecond
				// By the shared part all go to one engine first.
				req.Parts = []relay.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 10}}
				_ = s.Serve(t.Context(), req, &client{})
				ended <- struct{}{}
			}()
			w.awaitCalls(i + 1)
		}
		targets := map[string]bool{}
		for _, c := range w.callsSeen()[:4] {
			targets[c.Target.ID] = true
		}
		convey.So(targets, convey.ShouldHaveLength, 4)
		convey.So(w.callsSeen(), convey.ShouldHaveLength, 5)
		for range 5 {
			<-ended
		}
		convey.Convey("and the targets are free for others once they have ended", func() {
			convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldBeNil)
		})
	})
}
