package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestOnce(t *testing.T) {
	convey.Convey("A request that must not run twice", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
		out := &client{}
		convey.Convey("is not sent again when it may have run, and its caller learns that it may have", func() {
			w.answers = []answer{lost()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(w.calls, convey.ShouldHaveLength, 1)
		})
		convey.Convey("is sent to another target after a proof that it has not run", func() {
			w.answers = []answer{refused()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(w.calls, convey.ShouldHaveLength, 2)
			convey.So(w.calls[0].Target.ID, convey.ShouldNotEqual, w.calls[1].Target.ID)
		})
		convey.Convey("is refused with a time to retry when no target takes it", func() {
			w.answers = []answer{refused(), refused(), refused()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("gets its target's own failure unchanged", func() {
			w.answers = []answer{{status: 500, body: "sorry"}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.status, convey.ShouldEqual, 500)
			convey.So(out.body.String(), convey.ShouldEqual, "sorry")
		})
		convey.Convey("is not a success when its answer is cut", func() {
			w.answers = []answer{{status: 200, body: "who", cut: true}}
			convey.So(s.Serve(t.Context(), request(), out).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(out.begun, convey.ShouldBeFalse)
		})
	})
}

func TestLate(t *testing.T) {
	convey.Convey("A request that a target may not be sent any more, as its time is over, is refused with a time to retry", t, func() {
		_, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
		late := request()
		late.Arrived = late.Arrived.Add(-late.Timeout)
		err := s.Serve(t.Context(), late, &client{})
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
	})
}

func TestRepeatable(t *testing.T) {
	convey.Convey("A request that may run twice goes to another target, as often as its route allows", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		out := &client{}
		for name, first := range map[string]answer{"lost": lost(), "failed": {status: 500}, "cut": {status: 200, body: "w", cut: true}} {
			convey.Convey("after one that is "+name, func() {
				w.answers = []answer{first}
				convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
				convey.So(out.body.String(), convey.ShouldEqual, "whole")
				convey.So(w.calls, convey.ShouldHaveLength, 2)
			})
		}
		convey.Convey("and no more often", func() {
			w.answers = []answer{lost(), lost()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(w.calls, convey.ShouldHaveLength, 2)
		})
	})
}

func TestStream(t *testing.T) {
	convey.Convey("A stream that may be resumed", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
		out := &client{}
		convey.Convey("is continued at another target after its last whole event", func() {
			w.answers = []answer{{status: 200, body: events(1, 3) + "id: 4\nda", cut: true}, {status: 200, body: events(4, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
			convey.So(w.calls[1].LastEvent, convey.ShouldEqual, "3")
		})
		convey.Convey("passes on no event twice that another target sends again", func() {
			w.answers = []answer{{status: 200, body: events(1, 3), cut: true}, {status: 200, body: events(2, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
		})
		convey.Convey("is not whole when it ends within an event", func() {
			w.answers = []answer{{status: 200, body: events(1, 2) + "id: 3\n"}, lost()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 2))
		})
	})
	convey.Convey("A stream that may not be resumed is not sent again", t, func() {
		w, s := setup(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, true)
		w.answers = []answer{{status: 200, body: events(1, 2), cut: true}}
		convey.So(s.Serve(t.Context(), request(), &client{}), convey.ShouldNotBeNil)
		convey.So(w.calls, convey.ShouldHaveLength, 1)
	})
	convey.Convey("A stream whose target is silent is continued at another", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
			w.answers = []answer{{hangs: true}, {status: 200, body: events(1, 2)}}
			out := &client{}
			if err := s.Serve(t.Context(), request(), out); err != nil || out.body.String() != events(1, 2) {
				t.Fatalf("got %q and %v", out.body.String(), err)
			}
		})
	})
}

func TestStop(t *testing.T) {
	convey.Convey("A stopping node gives up what has no answer, and says that it may have run when it was sent", t, func() {
		synctest.Test(t, func(t *testing.T) {
			w, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
			w.answers = []answer{{hangs: true}}
			time.AfterFunc(time.Second, s.Stop)
			began := time.Now()
			err := s.Serve(t.Context(), request(), &client{})
			if err == nil || err.Verdict() != verdict.MayHaveRun || time.Since(began) != time.Second {
				t.Fatalf("got %v after %v", err, time.Since(began))
			}
		})
	})
}
