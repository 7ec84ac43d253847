package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// forgetfulSource has forgotten the changes up to a revision.
type forgetfulSource struct {
	*fakeSource
	forgotten view.Revision
	// takes is how long an answer takes.
	takes time.Duration
}

func (s *forgetfulSource) Watch(ctx context.Context, after view.Revision, wait time.Duration, answered func()) (view.Changes, error) {
	time.Sleep(s.takes)
	if after < s.forgotten {
		answered()
		return view.Changes{}, ErrHistoryGone
	}
	return s.fakeSource.Watch(ctx, after, wait, answered)
}

// newHistoryFollower returns a follower of a source with some changes beside its first.
func newHistoryFollower(changes int) (*sourceFollower, *forgetfulSource) {
	source := &forgetfulSource{fakeSource: &fakeSource{fakeStore: newFakeStore()}}
	for i := range changes {
		source.publish(view.TargetChange{Target: directory.Target{ID: fmt.Sprint("t", i), Service: "s"}})
	}
	return &sourceFollower{
		source: source, health: newSourceHealth(), metrics: newMetrics(), log: zerolog.Nop(), now: time.Now,
		views: newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {}),
	}, source
}

// TestSourceHistory guards against a node that starts and does not learn all that the source still
// knows of the time before, and against many calls for it.
func TestSourceHistory(t *testing.T) {
	for _, c := range []struct{ changes, forgotten, calls int }{{0, 0, 1}, {20, 0, 1}, {20, 21, 6}, {20, 20, 6}, {300, 0, 5}, {300, 7, 14}, {300, 250, 9}, {300, 299, 8}} {
		convey.Convey(fmt.Sprintf("Of %d changes, %d of them forgotten", c.changes+1, c.forgotten), t, func() {
			f, source := newHistoryFollower(c.changes)
			source.forgotten = view.Revision(c.forgotten)
			var reported *view.Changes
			complete := false
			f.onListed = func(context.Context) {}
			f.onHistory = func(_ time.Time, ch view.Changes, all bool) { reported, complete = &ch, all }
			convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
			before := source.callCount()
			f.reportHistory(t.Context())
			convey.So(reported.List, convey.ShouldHaveLength, c.changes+1-c.forgotten)
			convey.So(complete, convey.ShouldEqual, c.forgotten == 0)
			convey.So(source.callCount()-before, convey.ShouldBeLessThanOrEqualTo, c.calls)
			convey.Convey("it is read once", func() {
				f.reportHistory(t.Context())
				convey.So(reported.List, convey.ShouldHaveLength, c.changes+1-c.forgotten)
			})
		})
	}
	convey.Convey("What the source forgets later is found", t, func() {
		f, source := newHistoryFollower(100)
		source.forgotten = 10
		convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
		_, oldest, err := f.readHistory(t.Context(), f.views.load().Revision)
		convey.So(err, convey.ShouldBeNil)
		convey.So(oldest, convey.ShouldEqual, 10)
		source.forgotten = 60
		forgotten, _, err := f.forgottenSince(t.Context(), 101)
		convey.So(err, convey.ShouldBeNil)
		convey.So(forgotten, convey.ShouldEqual, view.Revision(60))
		convey.Convey("but not asked for again at once, and not after the source failed", func() {
			calls := source.callCount()
			source.forgotten = 80
			forgotten, _, err := f.forgottenSince(t.Context(), 101)
			convey.So(err, convey.ShouldBeNil)
			convey.So(forgotten, convey.ShouldEqual, view.Revision(60))
			convey.So(source.callCount(), convey.ShouldEqual, calls)
			f.health.markFailed(time.Now())
			_, _, err = f.forgottenSince(t.Context(), 101)
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}

// TestConfirmedView guards against a lost stream that is judged by targets that the source no longer
// lists, or does not list yet, and against a call to the source for each stream.
func TestConfirmedView(t *testing.T) {
	convey.Convey("Given a follower whose view is behind", t, func() {
		f, source := newHistoryFollower(1)
		convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
		source.publish(view.TargetChange{Target: directory.Target{ID: "new", Service: "s"}})
		convey.Convey("confirming brings what the source knows", func() {
			convey.So(f.confirm(t.Context()), convey.ShouldBeNil)
			_, known := f.views.load().Directory.Target("new")
			convey.So(known, convey.ShouldBeTrue)
		})
		convey.Convey("it fails if the source has forgotten the changes", func() {
			source.forgotten = 99
			convey.So(f.confirm(t.Context()), convey.ShouldNotBeNil)
		})
		convey.Convey("those who ask at once share a call", func() {
			source.takes = 20 * time.Millisecond
			calls := source.callCount()
			done := make(chan error)
			for range 20 {
				go func() { done <- f.confirm(t.Context()) }()
			}
			for range 20 {
				convey.So(<-done, convey.ShouldBeNil)
			}
			convey.So(source.callCount()-calls, convey.ShouldBeLessThan, 5)
		})
		convey.Convey("and its failure, instead of waiting for one another", func() {
			source.takes, source.forgotten = 50*time.Millisecond, 99
			done := make(chan error)
			began := time.Now()
			for range 40 {
				go func() { done <- f.confirm(t.Context()) }()
			}
			for range 40 {
				convey.So(<-done, convey.ShouldNotBeNil)
			}
			convey.So(time.Since(began), convey.ShouldBeLessThan, time.Second)
		})
		convey.Convey("and a client that left does not end the call of others", func() {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			convey.So(f.confirm(ctx), convey.ShouldBeNil)
		})
	})
}

// runningTargets answer which requests they run.
type runningTargets struct {
	noTargets
	runs map[string][]Run
}

func (r runningTargets) Runs(_ context.Context, t directory.Target) ([]Run, *verdict.Error) {
	runs, known := r.runs[t.ID]
	if !known {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "no answer")
	}
	return runs, nil
}

// TestRunsAtStart guards against streams that go on nowhere although a target was still answering them
// when their node started again, and against runs that began none.
func TestRunsAtStart(t *testing.T) {
	target := func(id, version string) directory.Target {
		return directory.Target{ID: id, Service: "s", Version: directory.VersionOf(version)}
	}
	targets := runningTargets{runs: map[string][]Run{"a": {{"begun", 3}, {"waiting", 0}}, "b": {{"other", 1}}}}
	read := func(list ...directory.Target) *streamOrigins {
		s := newStreamOrigins(time.Now, zerolog.Nop(), newMembers(time.Now, "self", 1, nil, 0), newPeerClient(time.Now), newMetrics())
		s.readRuns(t.Context(), targets, list)
		return s
	}
	convey.Convey("A run with events tells where its stream began", t, func() {
		s := read(target("a", "v1"), target("b", "v2"), target("silent", "v2"))
		o, found := s.FindRun("begun")
		convey.So(found, convey.ShouldBeTrue)
		convey.So(o.Version.String(), convey.ShouldEqual, "v1")
		_, found = s.FindRun("waiting")
		convey.So(found, convey.ShouldBeFalse)
	})
	convey.Convey("Targets of one version are not asked", t, func() {
		_, found := read(target("a", "v1"), target("b", "v1")).FindRun("begun")
		convey.So(found, convey.ShouldBeFalse)
	})
}
