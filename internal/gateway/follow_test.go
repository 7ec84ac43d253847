package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

func TestWatchBounds(t *testing.T) {
	shouldBe := func(down, reader bool, wait, slack time.Duration) {
		w, s := watchBounds(down, reader)
		convey.So(w, convey.ShouldEqual, wait)
		convey.So(s, convey.ShouldEqual, slack)
	}
	convey.Convey("A source that is down is probed by readers and other nodes", t, func() {
		shouldBe(true, true, probeWait, probeSlack)
		shouldBe(true, false, probeWait, probeSlack)
	})
	convey.Convey("Otherwise readers use short watches and other nodes long ones", t, func() {
		shouldBe(false, true, readerWait, readerSlack)
		shouldBe(false, false, watchWait, watchSlack)
		convey.So(readerWait+readerSlack, convey.ShouldBeLessThan, reachableFor)
	})
}

func TestRetryBounds(t *testing.T) {
	convey.Convey("Only a node that has a configuration and is not a reader uses the long pause", t, func() {
		for _, c := range []struct {
			configured, reader bool
			longest            time.Duration
		}{{false, false, maxRetryPause}, {false, true, maxRetryPause}, {true, true, maxRetryPause}, {true, false, maxFollowerRetryPause}} {
			shortest, longest := retryBounds(c.configured, c.reader)
			convey.So(longest, convey.ShouldEqual, c.longest)
			convey.So(shortest, convey.ShouldBeBetween, 0, longest)
		}
	})
}

func TestShouldCatchUp(t *testing.T) {
	convey.Convey("A node whose own watch may still return the change waits for it", t, func() {
		convey.So(shouldCatchUp(behindAfter-1, false, false), convey.ShouldBeFalse)
		convey.So(shouldCatchUp(behindAfter, false, false), convey.ShouldBeTrue)
	})
	convey.Convey("A node that leaves the source to readers, or cannot reach it, does not wait", t, func() {
		convey.So(shouldCatchUp(0, true, false), convey.ShouldBeTrue)
		convey.So(shouldCatchUp(0, false, true), convey.ShouldBeTrue)
	})
}

func TestSourceHealth(t *testing.T) {
	start := time.Now()
	convey.Convey("A source that was never reached is not reachable and has no age", t, func() {
		h := newSourceHealth()
		convey.So(h.isReachable(start), convey.ShouldBeFalse)
		convey.So(h.ageMs(start), convey.ShouldEqual, -1)
		convey.Convey("it is reachable for reachableFor after an answer", func() {
			convey.So(h.markReached(start), convey.ShouldBeFalse)
			convey.So(h.isReachable(start.Add(reachableFor)), convey.ShouldBeTrue)
			convey.So(h.isReachable(start.Add(reachableFor+1)), convey.ShouldBeFalse)
			convey.So(h.ageMs(start.Add(time.Second)), convey.ShouldEqual, 1000)
			convey.Convey("and until a call fails; the outage counts from the start of that call", func() {
				lost, reached := h.markFailed(start.Add(time.Second))
				convey.So(lost, convey.ShouldBeTrue)
				convey.So(reached, convey.ShouldEqual, start)
				convey.So(h.isReachable(start.Add(time.Second)), convey.ShouldBeFalse)
				convey.So(h.lastOutage(), convey.ShouldEqual, start.Add(time.Second))
				lost, _ = h.markFailed(start.Add(2 * time.Second))
				convey.So(lost, convey.ShouldBeFalse)
				convey.So(h.markReached(start.Add(3*time.Second)), convey.ShouldBeTrue)
			})
			convey.Convey("the time that a member is ahead counts from when that was first known", func() {
				convey.So(h.isBehind(start, true, false), convey.ShouldBeFalse)
				convey.So(h.isBehind(start.Add(behindAfter), true, false), convey.ShouldBeTrue)
				convey.So(h.isBehind(start.Add(behindAfter), false, false), convey.ShouldBeFalse)
				convey.So(h.isBehind(start.Add(behindAfter), true, false), convey.ShouldBeFalse)
			})
		})
	})
}

func TestSourceStateLog(t *testing.T) {
	convey.Convey("Of consecutive failures only the first is logged, and of the answers after them only the first", t, func() {
		var lines []string
		log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, msg string) { lines = append(lines, msg) }))
		f := &sourceFollower{
			views: newViewKeeper(time.Now, log, nil), health: newSourceHealth(),
			metrics: newMetrics(), log: log, now: time.Now,
		}
		f.recordFailure(time.Now(), errors.New("silent"))
		f.recordFailure(time.Now(), errors.New("silent"))
		f.recordSuccess()
		f.recordSuccess()
		convey.So(lines, convey.ShouldResemble, []string{"source: lost", "source: reachable again"})
	})
}

func TestTargetsLapseAfterOutage(t *testing.T) {
	convey.Convey("Given a follower with a target in its view", t, func() {
		s := newFakeStore()
		f := &sourceFollower{
			source: &fakeSource{fakeStore: s}, health: newSourceHealth(), metrics: newMetrics(), log: zerolog.Nop(), now: time.Now,
			views: newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {}),
		}
		s.publish(view.TargetChange{Target: directory.Target{ID: "t", Service: "s"}})
		convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
		shouldBeIn := func(state directory.State) {
			target, ok := f.views.load().Directory.All()["t"]
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(target.State, convey.ShouldEqual, state)
		}
		shouldBeIn(directory.Ready)
		removeTarget := func() {
			s.publish(view.TargetRemoval{ID: "t"})
			convey.So(f.readChanges(t.Context(), time.Second, time.Second), convey.ShouldBeNil)
		}
		convey.Convey("a target that the source removes is removed", func() {
			removeTarget()
			convey.So(f.views.load().Directory.All(), convey.ShouldBeEmpty)
		})
		convey.Convey("a target that the source removes after an outage lapses", func() {
			f.recordFailure(time.Now(), errors.New("silent"))
			removeTarget()
			shouldBeIn(directory.Lapsed)
		})
		convey.Convey("a target that a snapshot lacks after an outage lapses", func() {
			f.recordFailure(time.Now(), errors.New("silent"))
			s.changes = s.changes[:1]
			convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
			shouldBeIn(directory.Lapsed)
		})
	})
}

// TestRestartedWatch guards against a watch that the node ended itself, and begins anew, being
// taken for a failure of the source: the node paused, reported that it does not reach the source, and let targets
// lapse.
func TestRestartedWatch(t *testing.T) {
	convey.Convey("A watch that is restarted begins anew at once, and the source counts as up", t, func() {
		source := &fakeSource{fakeStore: newFakeStore()}
		f := &sourceFollower{
			source: source, health: newSourceHealth(), metrics: newMetrics(), log: zerolog.Nop(), now: time.Now,
			views:   newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {}),
			members: newMembers(time.Now, "10.0.0.1:1", 1, nil, 0),
		}
		ctx, stop := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		runs.Go(func() { f.run(ctx) })
		defer runs.Wait()
		defer stop()
		calls := func(n int) func() bool { return func() bool { return source.callCount() == n } }
		convey.So(holdsWithin(time.Second, calls(2)), convey.ShouldBeTrue)
		f.health.restartWatch()
		convey.So(holdsWithin(minRetryPause, calls(3)), convey.ShouldBeTrue)
		convey.So(f.health.isDown(), convey.ShouldBeFalse)
		convey.So(f.health.lastOutage().IsZero(), convey.ShouldBeTrue)
	})
}

// holdsWithin waits until something holds, and reports whether it did within a time.
func holdsWithin(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// unreadableSource answers watches so that they cannot be read, and lists.
type unreadableSource struct {
	*fakeSource
	watches, lists int
}

func (s *unreadableSource) Watch(_ context.Context, _ view.Revision, _ time.Duration, answered func()) (view.Changes, error) {
	s.watches++
	answered()
	return view.Changes{}, UnreadableError{Cause: io.ErrUnexpectedEOF}
}

func (s *unreadableSource) Snapshot(ctx context.Context, answered func()) (view.Changes, error) {
	s.lists++
	return s.fakeSource.Snapshot(ctx, answered)
}

// TestUnreadableWatchLeadsToAList guards against a node that asks for the same changes again and again
// although their answer cannot be read, and goes on by an old configuration.
func TestUnreadableWatchLeadsToAList(t *testing.T) {
	convey.Convey("After a watch that cannot be read the node reads a list", t, func() {
		f, history := newHistoryFollower(1)
		source := &unreadableSource{fakeSource: history.fakeSource}
		f.source, f.members = source, newMembers(time.Now, "self", 1, nil, 0)
		f.onListed, f.onHistory = func(context.Context) {}, nil
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		f.run(ctx)
		convey.So(source.watches, convey.ShouldBeGreaterThan, 1)
		convey.So(source.lists, convey.ShouldBeBetweenOrEqual, source.watches, source.watches+1)
	})
}
