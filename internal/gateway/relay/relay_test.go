package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestOnce(t *testing.T) {
	convey.Convey("A request that must not run twice", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
		out := &fakeClient{}
		convey.Convey("is not sent again when it may have run, and its client is told so", func() {
			f.replies = []fakeReply{lostConnection()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(f.calls, convey.ShouldHaveLength, 1)
		})
		convey.Convey("is sent to another target if it provably did not run", func() {
			f.replies = []fakeReply{refusedCall()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(f.calls, convey.ShouldHaveLength, 2)
			convey.So(f.calls[0].Target.ID, convey.ShouldNotEqual, f.calls[1].Target.ID)
		})
		convey.Convey("is refused with a time to retry if no target accepts it", func() {
			f.replies = []fakeReply{refusedCall(), refusedCall(), refusedCall()}
			err := s.Serve(t.Context(), request(), out)
			convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("gets an error response of its target unchanged", func() {
			f.replies = []fakeReply{{status: 500, body: "sorry"}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.status, convey.ShouldEqual, 500)
			convey.So(out.body.String(), convey.ShouldEqual, "sorry")
		})
		convey.Convey("fails if its response is truncated", func() {
			f.replies = []fakeReply{{status: 200, body: "who", cut: true}}
			convey.So(s.Serve(t.Context(), request(), out).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			convey.So(out.begun, convey.ShouldBeFalse)
		})
	})
}

// TestRefusalIsFinal guards against a request that returns to a target that refused it, whose refusal
// could arrive a second time and be taken for the answer.
func TestRefusalIsFinal(t *testing.T) {
	for _, placed := range []string{"t0", "t1", "t2", "t3"} {
		convey.Convey("A request never returns to a target that refused it if the placer names "+placed, t, func() {
			f, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, true)
			f.placed = placed
			f.replies = []fakeReply{refusedCall(), refusedCall()}
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			sent := map[string]int{}
			for _, call := range f.calls {
				sent[call.Target.ID]++
				convey.So(sent[call.Target.ID], convey.ShouldEqual, 1)
			}
			convey.So(f.calls, convey.ShouldHaveLength, 3)
		})
	}
}

func TestLate(t *testing.T) {
	convey.Convey("A request whose deadline has passed is not sent, and is refused with a time to retry", t, func() {
		_, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
		late := request()
		late.Arrived = late.Arrived.Add(-late.Timeout)
		err := s.Serve(t.Context(), late, &fakeClient{})
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
	})
}

func TestRepeatable(t *testing.T) {
	convey.Convey("A repeatable request goes to another target, as often as its route allows", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		out := &fakeClient{}
		for name, first := range map[string]fakeReply{"lost": lostConnection(), "failed": {status: 500}, "cut": {status: 200, body: "w", cut: true}} {
			convey.Convey("after an attempt that is "+name, func() {
				f.replies = []fakeReply{first}
				convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
				convey.So(out.body.String(), convey.ShouldEqual, "whole")
				convey.So(f.calls, convey.ShouldHaveLength, 2)
			})
		}
		convey.Convey("and not more often", func() {
			f.replies = []fakeReply{lostConnection(), lostConnection()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(f.calls, convey.ShouldHaveLength, 2)
		})
	})
}

func TestStream(t *testing.T) {
	convey.Convey("A resumable stream", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
		out := &fakeClient{}
		convey.Convey("is resumed at another target after its last complete event", func() {
			f.replies = []fakeReply{{status: 200, body: events(1, 3) + "id: 4\nda", cut: true}, {status: 200, body: events(4, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
			convey.So(f.calls[1].LastEvent, convey.ShouldEqual, "3")
		})
		convey.Convey("does not forward events again that another target repeats", func() {
			f.replies = []fakeReply{{status: 200, body: events(1, 3), cut: true}, {status: 200, body: events(2, 6)}}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 6))
		})
		convey.Convey("fails if it ends within an event", func() {
			f.replies = []fakeReply{{status: 200, body: events(1, 2) + "id: 3\n"}, lostConnection()}
			convey.So(s.Serve(t.Context(), request(), out), convey.ShouldNotBeNil)
			convey.So(out.body.String(), convey.ShouldEqual, events(1, 2))
		})
	})
	convey.Convey("A stream that is not resumable is not sent again", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, true)
		f.replies = []fakeReply{{status: 200, body: events(1, 2), cut: true}}
		convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldNotBeNil)
		convey.So(f.calls, convey.ShouldHaveLength, 1)
	})
	convey.Convey("A stream whose target is silent is resumed at another", t, func() {
		synctest.Test(t, func(t *testing.T) {
			f, s := setup(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true)
			f.replies = []fakeReply{{hangs: true}, {status: 200, body: events(1, 2)}}
			out := &fakeClient{}
			if err := s.Serve(t.Context(), request(), out); err != nil || out.body.String() != events(1, 2) {
				t.Fatalf("got %q and %v", out.body.String(), err)
			}
		})
	})
}

// TestSilentStream guards against a stream that is ended for the silence of its target though it
// cannot go on at another one.
func TestSilentStream(t *testing.T) {
	// serve returns how long the request took whose first target never answers.
	retries := manyRetries
	serve := func(t *testing.T, change func(*view.View) *view.View, prepare func(*fakePorts)) (took time.Duration, calls int) {
		synctest.Test(t, func(t *testing.T) {
			route := &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}
			f, s := setupWithRetries(route, true, 0, change, newTracker(), retries)
			f.replies = []fakeReply{{hangs: true}}
			prepare(f)
			began := time.Now()
			_ = s.Serve(t.Context(), request(), &fakeClient{})
			took, calls = time.Since(began), len(f.calls)
		})
		return took, calls
	}
	nothing := func(*fakePorts) {}
	convey.Convey("A stream goes on at another target after 1.2 s", t, func() {
		took, calls := serve(t, keepView, nothing)
		convey.So(took, convey.ShouldEqual, 1200*time.Millisecond)
		convey.So(calls, convey.ShouldEqual, 2)
	})
	const all = 10*time.Second - 25*time.Millisecond
	convey.Convey("It stays until its deadline where there is no other", t, func() {
		took, calls := serve(t, func(v *view.View) *view.View {
			first, _ := v.Directory.Target("t0")
			return &view.View{Revision: v.Revision, Catalog: v.Catalog, Directory: directory.New(first)}
		}, nothing)
		convey.So(took, convey.ShouldEqual, all)
		convey.So(calls, convey.ShouldEqual, 1)
	})
	convey.Convey("It stays where all others are held back", t, func() {
		took, calls := serve(t, keepView, func(f *fakePorts) {
			f.onSend = func() {
				time.AfterFunc(time.Second, func() { f.holdBack("t0", "t1", "t2", "t3") })
			}
		})
		convey.So(took, convey.ShouldEqual, all)
		convey.So(calls, convey.ShouldEqual, 1)
	})
	convey.Convey("It goes on elsewhere once another is there again", t, func() {
		took, calls := serve(t, keepView, func(f *fakePorts) {
			f.onSend = func() {
				f.onSend = nil
				time.AfterFunc(time.Second, func() { f.holdBack("t0", "t1", "t2", "t3") })
				time.AfterFunc(2*time.Second, func() { f.holdBack() })
			}
		})
		convey.So(took, convey.ShouldEqual, 2400*time.Millisecond)
		convey.So(calls, convey.ShouldEqual, 2)
	})
	convey.Convey("It goes on at another version that it is assigned to since, before its first event", t, func() {
		assign := func(f *fakePorts, version string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.assigned = directory.VersionOf(version)
		}
		took, calls := serve(t, withVersions("v1", "v2", "v2", "v2"), func(f *fakePorts) {
			assign(f, "v1")
			f.onSend = func() {
				f.onSend = nil
				time.AfterFunc(time.Second, func() { assign(f, "v2") })
			}
		})
		convey.So(took, convey.ShouldEqual, 1200*time.Millisecond)
		convey.So(calls, convey.ShouldEqual, 2)
	})
	convey.Convey("It stays once its request is quarantined", t, func() {
		synctest.Test(t, func(t *testing.T) {
			q := newTracker()
			f, s := setupWithRetries(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true, 0, keepView, q, manyRetries)
			if err := s.Serve(t.Context(), request(), &fakeClient{}); err != nil {
				t.Fatal(err)
			}
			f.calls, f.replies = nil, []fakeReply{{hangs: true}}
			time.AfterFunc(time.Second, func() {
				for i := range 5 {
					q.RecordCrash(f.outcome.Digest, quarantine.Crash{Target: fmt.Sprint("other", i), SentAt: time.Now().Add(-time.Second), BrokenAt: time.Now(), Silent: true})
				}
			})
			began := time.Now()
			err := s.Serve(t.Context(), request(), &fakeClient{})
			if time.Since(began) != all || err.Reason() != verdict.ReasonDeadline {
				t.Errorf("got %v after %v", err, time.Since(began))
			}
		})
	})
	convey.Convey("It stays without a retry left", t, func() {
		retries = retrybudget.Policy{Window: 10 * time.Second, MaxNodes: 1}
		took, calls := serve(t, keepView, nothing)
		convey.So(took, convey.ShouldEqual, all)
		convey.So(calls, convey.ShouldEqual, 1)
	})
}

// TestSilentTarget guards against a whole response that is awaited until the deadline from a target that
// does not answer, so that its client has no time left to ask another node.
func TestSilentTarget(t *testing.T) {
	convey.Convey("A request without a retry left ends after 2.5 objectives", t, func() {
		synctest.Test(t, func(t *testing.T) {
			route := &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}
			f, s := setupWithRetries(route, false, 0, keepView, newTracker(), retrybudget.Policy{Window: 10 * time.Second, MaxNodes: 1})
			f.replies = []fakeReply{{hangs: true}}
			began := time.Now()
			err := s.Serve(t.Context(), request(), &fakeClient{})
			if took := time.Since(began); err == nil || took != route.Objective*5/2 || len(f.calls) != 1 {
				t.Errorf("got %v after %v and %d calls", err, took, len(f.calls))
			}
		})
	})
}

// TestRetryOfBrokenAttempt guards against a second retry that is taken from the budget for one attempt,
// when the limit of its silence passes after its connection broke.
func TestRetryOfBrokenAttempt(t *testing.T) {
	convey.Convey("An attempt that breaks just before its limit takes one retry", t, func() {
		synctest.Test(t, func(t *testing.T) {
			one := retrybudget.Policy{Window: 10 * time.Second, Extra: 1, MaxNodes: 1}
			f, s := setupWithRetries(&catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, true, 0, keepView, newTracker(), one)
			f.replies = []fakeReply{lostConnection()}
			f.failDelay, f.checkDelay = 1100*time.Millisecond, 200*time.Millisecond
			if err := s.Serve(t.Context(), request(), &fakeClient{}); err != nil {
				t.Fatalf("got %v after %d calls", err, len(f.calls))
			}
		})
	})
}

func TestStop(t *testing.T) {
	convey.Convey("A stopping node abandons requests without a response, and reports those that were sent as may have run", t, func() {
		synctest.Test(t, func(t *testing.T) {
			f, s := setup(&catalog.Route{Kind: catalog.AtMostOnce, MaxAttempts: 1}, false)
			f.replies = []fakeReply{{hangs: true}}
			time.AfterFunc(time.Second, s.Stop)
			began := time.Now()
			err := s.Serve(t.Context(), request(), &fakeClient{})
			if err == nil || err.Verdict() != verdict.MayHaveRun || time.Since(began) != time.Second {
				t.Fatalf("got %v after %v", err, time.Since(began))
			}
		})
	})
}

// TestUnconfirmedLimit guards against a limited target that is not asked whether its limit still
// holds, because another one responds faster.
func TestUnconfirmedLimit(t *testing.T) {
	convey.Convey("A request goes to the target whose limit has to be confirmed", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, false)
		for _, id := range []string{"t0", "t1"} {
			f.calls, f.unconfirmed = nil, []string{id}
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, id)
		}
	})
}
