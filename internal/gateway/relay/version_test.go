package relay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// withVersions sets the software versions of the targets t0, t1 and so on, "" for unknown.
func withVersions(names ...string) func(*view.View) *view.View {
	return func(v *view.View) *view.View {
		var targets []directory.Target
		for id, target := range v.Directory.All() {
			target.Version = directory.VersionOf(names[id[1]-'0'])
			targets = append(targets, target)
		}
		next := *v
		next.Directory = directory.New(targets...)
		return &next
	}
}

// resumableRoute is a stream that may be resumed three times.
func resumableRoute() *catalog.Route {
	return &catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 4}
}

// cutAfter breaks a stream off after some events.
func cutAfter(n int) fakeReply {
	return fakeReply{status: 200, body: events(1, n), cut: true}
}

// TestStreamVersion guards against a stream that goes on at a target of another software version
// than the one that began it, also if a placer of an earlier version names one, and against
// streams that end although a target of their version is left.
func TestStreamVersion(t *testing.T) {
	serve := func(f *fakePorts, s *relay.Server) (*fakeClient, *verdict.Error) {
		out := &fakeClient{}
		return out, s.Serve(t.Context(), request(), out)
	}
	shouldKeepVersion := func(f *fakePorts, versions ...string) {
		var got []string
		for _, c := range f.calls {
			got = append(got, c.Target.Version.String())
		}
		convey.So(strings.Join(got, " "), convey.ShouldEqual, strings.Join(versions, " "))
	}
	for name, engine := range map[string]bool{"of an engine": true, "of a plain service": false} {
		convey.Convey("A stream "+name, t, func() {
			convey.Convey("goes on at a target of the version that began it, as long as there is one", func() {
				f, s := setupWithView(resumableRoute(), engine, 0, withVersions("v1", "v2", "v2", "v2"))
				f.replies = []fakeReply{cutAfter(2)}
				_, err := serve(f, s)
				first := f.calls[0].Target.Version.String()
				if first == "v1" {
					convey.So(err, convey.ShouldNotBeNil)
					shouldKeepVersion(f, "v1")
					return
				}
				convey.So(err, convey.ShouldBeNil)
				shouldKeepVersion(f, "v2", "v2")
			})
			convey.Convey("is not bound before its first event", func() {
				f, s := setupWithView(resumableRoute(), engine, 0, withVersions("v1", "v2", "v3", "v4"))
				f.replies = []fakeReply{lostConnection(), lostConnection()}
				_, err := serve(f, s)
				convey.So(err, convey.ShouldBeNil)
				convey.So(f.calls, convey.ShouldHaveLength, 3)
			})
			convey.Convey("goes on nowhere if the version that began it is unknown", func() {
				f, s := setupWithView(resumableRoute(), engine, 0, withVersions("", "", "", ""))
				f.replies = []fakeReply{cutAfter(2)}
				out, err := serve(f, s)
				convey.So(err.Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
				convey.So(out.body.String(), convey.ShouldEqual, events(1, 2))
				convey.So(f.calls, convey.ShouldHaveLength, 1)
			})
		})
	}
	convey.Convey("A placer of an earlier version that names an engine of another version is passed over", t, func() {
		f, s := setupWithView(resumableRoute(), true, 0, withVersions("v1", "v1", "v1", "v2"))
		f.placed = "t3"
		for len(f.calls) == 0 || f.calls[0].Target.ID == "t3" {
			f.calls, f.places, f.replies = nil, 0, []fakeReply{cutAfter(2)}
			_, err := serve(f, s)
			convey.So(err, convey.ShouldBeNil)
		}
		shouldKeepVersion(f, "v1", "v1")
		convey.So(f.outcome.Attempts, convey.ShouldHaveLength, 2)
	})
}

// TestStreamTakenUp guards against a stream that its client takes up and that goes on at a target
// of another software version or another service than the one that began it, and against work for
// a stream that no target may continue.
func TestStreamTakenUp(t *testing.T) {
	takeUp := func(f *fakePorts, s *relay.Server, items ...int) *verdict.Error {
		req := request(items...)
		req.LastEvent, req.Resumes = "4", "first"
		return s.Serve(t.Context(), req, &fakeClient{})
	}
	shouldRefuse := func(f *fakePorts, err *verdict.Error, reason verdict.Reason) {
		convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(err.Reason(), convey.ShouldEqual, reason)
		convey.So(err.RetryAfter(), convey.ShouldBeGreaterThan, 0)
		convey.So(f.calls, convey.ShouldBeEmpty)
		convey.So(f.announced, convey.ShouldEqual, 0)
	}
	origin := func(service, version string) *streamorigin.Origin {
		return &streamorigin.Origin{Service: service, Version: directory.VersionOf(version)}
	}
	convey.Convey("A stream that a client takes up", t, func() {
		route := resumableRoute()
		route.Stages = []catalog.Stage{{Service: "one"}}
		f, s := setupWithView(route, true, 0, withVersions("v1", "v1", "v1", "v2"))
		convey.Convey("goes on at a target of the version that began it", func() {
			f.origin = origin("s", "v2")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, "t3")
			convey.So(f.calls[0].LastEvent, convey.ShouldEqual, "4")
			convey.So(f.outcome.Software, convey.ShouldEqual, "v2")
		})
		convey.Convey("has items that are due by its deadline, and go before those of a stream that begins", func() {
			f.origin = origin("s", "v2")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(s.Serve(t.Context(), request(1), &fakeClient{}), convey.ShouldBeNil)
			rest, begins := f.groups[0], f.groups[1]
			convey.So(rest.Deadline.Sub(rest.Due), convey.ShouldBeLessThan, batching.PriorityStep)
			place := func(g relay.Group) time.Time { return g.Due.Add(time.Duration(g.Priority) * batching.PriorityStep) }
			convey.So(place(rest), convey.ShouldHappenBefore, place(begins))
			convey.So(begins.Deadline.Sub(begins.Due), convey.ShouldBeGreaterThan, batching.PriorityStep)
		})
		convey.Convey("is not told to members, who know where it began", func() {
			f.origin = origin("s", "v2")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(f.origins, convey.ShouldBeEmpty)
		})
		convey.Convey("goes on at the version that the targets' history leaves, if no node knows where it began", func() {
			f.inferred = directory.VersionOf("v2")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, "t3")
			convey.So(f.outcome.Inferred, convey.ShouldBeTrue)
			convey.So(f.lost.Key, convey.ShouldEqual, streamorigin.KeyOf("", "first"))
			convey.So(f.lost.Service, convey.ShouldEqual, "s")
			convey.So(f.lost.Named, convey.ShouldBeTrue)
		})
		convey.Convey("can be as old as any if its route has no timeout, since clients that wait longer may not have come yet", func() {
			route.Timeout = 0
			f.inferred = directory.VersionOf("v2")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(f.lost.Age, convey.ShouldEqual, 2*time.Minute)
		})
		convey.Convey("goes on at the version of the target that was answering it, before anything is inferred", func() {
			f.run, f.inferred = *origin("s", "v2"), directory.VersionOf("v1")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, "t3")
			convey.So(f.outcome.Inferred, convey.ShouldBeFalse)
		})
		convey.Convey("is not inferred if its route leads to several services", func() {
			f.inferred = directory.VersionOf("v2")
			route.Split = append(route.Split, catalog.Share{Service: "two", Weight: 0})
			shouldRefuse(f, takeUp(f, s, 1), verdict.ReasonStreamUnknown)
		})
		convey.Convey("is refused at once, before its stages, if no node knows where it began", func() {
			shouldRefuse(f, takeUp(f, s, 1), verdict.ReasonStreamUnknown)
		})
		convey.Convey("is refused at once if a member of an earlier version began it", func() {
			f.origin = origin("s", "")
			shouldRefuse(f, takeUp(f, s, 1), verdict.ReasonStreamUnknown)
		})
		convey.Convey("is refused at once if no target of its version is left", func() {
			f.origin = origin("s", "v0")
			shouldRefuse(f, takeUp(f, s, 1), verdict.ReasonVersionGone)
		})
		convey.Convey("is refused at once if the route no longer leads to its service", func() {
			f.origin = origin("two", "v1")
			shouldRefuse(f, takeUp(f, s, 1), verdict.ReasonVersionGone)
		})
	})
	convey.Convey("A stream that begins", t, func() {
		f, s := setupWithView(resumableRoute(), true, 0, withVersions("v1", "v1", "v1", "v1"))
		convey.Convey("is told to members for each target that it is sent to", func() {
			f.replies = []fakeReply{lostConnection()}
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.origins, convey.ShouldResemble, []streamorigin.Origin{*origin("s", "v1"), {Service: "s", Version: directory.VersionOf("v1"), Attempt: 1}})
		})
		convey.Convey("is refused at once, not run, while this node hears from nobody; one that is taken up is not", func() {
			f.unheard = true
			shouldRefuse(f, s.Serve(t.Context(), request(), &fakeClient{}), verdict.ReasonNotReady)
			f.origin = origin("s", "v1")
			convey.So(takeUp(f, s, 1), convey.ShouldBeNil)
		})
		convey.Convey("begins a little later if no member answers", func() {
			f.told = make(chan struct{})
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.outcome.FirstByte, convey.ShouldBeBetween, 50*time.Millisecond, 500*time.Millisecond)
		})
	})
	convey.Convey("A stream that begins where targets have several versions", t, func() {
		f, s := setupWithView(resumableRoute(), true, 0, withVersions("v1", "v1", "v2", "v2"))
		f.assigned = directory.VersionOf("v2")
		shouldGoTo := func(version string) {
			for _, c := range f.calls {
				convey.So(c.Target.Version.String(), convey.ShouldEqual, version)
			}
		}
		convey.Convey("goes to the version that it is assigned to, at each attempt", func() {
			f.replies = []fakeReply{lostConnection()}
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.calls, convey.ShouldHaveLength, 2)
			shouldGoTo("v2")
		})
		convey.Convey("is not sent if the assignment changes just before", func() {
			f.onSend = func() { f.assigned = directory.VersionOf("v1") }
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			shouldGoTo("v1")
		})
		convey.Convey("is not bound if it may not be taken up", func() {
			f, s := setupWithView(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, true, 0, withVersions("v1", "v1", "v1", "v1"))
			f.assigned = directory.VersionOf("v2")
			convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
			convey.So(f.calls, convey.ShouldHaveLength, 1)
		})
	})
	convey.Convey("A stream that has to begin at a version of which entries take drains back", t, func() {
		kept := func(ids ...string) func(*view.View) *view.View {
			return func(v *view.View) *view.View {
				next := *withVersions("v1", "v1", "v2", "v2")(v)
				for _, id := range ids {
					target, _ := next.Directory.Target(id)
					target.State = directory.Draining
					next.Directory = next.Directory.With(target.WithEntry(true, false))
				}
				return &next
			}
		}
		serve := func(assigned string, ids ...string) (*fakePorts, *verdict.Error) {
			route := resumableRoute()
			route.Stages = []catalog.Stage{{Service: "one"}}
			f, s := setupWithView(route, true, 0, kept(ids...))
			f.assigned = directory.VersionOf(assigned)
			return f, s.Serve(t.Context(), request(1), &fakeClient{})
		}
		convey.Convey("is refused at once, before its stages, if this node keeps all of them draining", func() {
			f, err := serve("v2", "t2", "t3")
			shouldRefuse(f, err, verdict.ReasonNoTarget)
		})
		convey.Convey("begins at another target of the version, or at another version that it is assigned to", func() {
			f, err := serve("v2", "t2")
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, "t3")
			f, err = serve("v1", "t2", "t3")
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.calls[0].Target.Version.String(), convey.ShouldEqual, "v1")
		})
	})
	convey.Convey("A stream that may not be taken up is not told to members", t, func() {
		f, s := setup(&catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, true)
		convey.So(s.Serve(t.Context(), request(), &fakeClient{}), convey.ShouldBeNil)
		convey.So(f.origins, convey.ShouldBeEmpty)
	})
}

// TestBorrowedSend guards against a request that is refused although a member lends what it may send
// to a limited target, and against a loan that is used for a target which may not get the request.
func TestBorrowedSend(t *testing.T) {
	convey.Convey("Given targets to which this node may send nothing", t, func() {
		f, s := setupWithView(resumableRoute(), true, 0, withVersions("v1", "v1", "v2", "v2"))
		f.crowded.Store(1 << 20)
		serve := func(req *relay.Request) *verdict.Error { return s.Serve(t.Context(), req, &fakeClient{}) }
		convey.Convey("a request goes to the one that a member lends", func() {
			f.lent = directory.Incarnation{ID: "t2"}
			convey.So(serve(request()), convey.ShouldBeNil)
			convey.So(f.calls[0].Target.ID, convey.ShouldEqual, "t2")
		})
		convey.Convey("a stream does not go to one of another version", func() {
			f.lent, f.origin = directory.Incarnation{ID: "t2"}, &streamorigin.Origin{Service: "s", Version: directory.VersionOf("v1")}
			req := request()
			req.LastEvent, req.Resumes = "4", "first"
			convey.So(serve(req).Reason(), convey.ShouldEqual, verdict.ReasonNoTarget)
			convey.So(f.calls, convey.ShouldBeEmpty)
		})
	})
}
