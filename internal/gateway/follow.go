package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/wait"
)

// How long calls to the source wait and how long after that their answers may take
// to begin. The head of an answer must come within both; its rest has
// answerTimeout, as a slow link needs long for a large configuration.
const (
	// readerWait and readerSlack are for the readers. A connection that has silently died
	// is noticed within both, well before a new configuration has to be in force.
	readerWait = 1200 * time.Millisecond
	// readerSlack: see readerWait.
	readerSlack = 400 * time.Millisecond
	// watchWait and watchSlack are for the other nodes. Their watches are ended
	// when a member is known to be ahead, so that they may wait for long and spare
	// the source.
	watchWait = 20 * time.Second
	// watchSlack: see watchWait. It is longer than readerSlack, as nobody waits for it.
	watchSlack = 700 * time.Millisecond
	// probeWait and probeSlack are for a source that is down, so that the end of its
	// trouble is noticed soon.
	probeWait = 100 * time.Millisecond
	// probeSlack: see probeWait.
	probeSlack = 600 * time.Millisecond
	// snapshotTimeout bounds the time to the head of the whole, which a source that is
	// slow gives after a second or two.
	snapshotTimeout = 3 * time.Second
	// answerTimeout bounds the rest of an answer whose head has come: a large
	// configuration takes seconds over a slow link that nodes share.
	answerTimeout = 6 * time.Second
)

// How long a node pauses between its calls to the source.
const (
	// watchPause is how long changes gather between two watches, which saves calls to
	// the source during a release. Each change is late by as much.
	watchPause = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failure, at a node without a
	// configuration and at readers: such a node serves nobody until the source answers.
	minRetryPause = 100 * time.Millisecond
	// maxRetryPause: see minRetryPause.
	maxRetryPause = 500 * time.Millisecond
	// maxFollowerRetryPause is the longest pause after a failure at the other nodes; the shortest
	// is half of it. Hundreds of nodes that all return to a source in trouble keep it
	// there.
	maxFollowerRetryPause = 2 * time.Second
	// readerCheckInterval is how often a node that leaves the source to the readers checks that it
	// still may: half of a round of gossip, by which that changes.
	readerCheckInterval = 250 * time.Millisecond
)

// sourceFollower keeps the view up to date: it watches the source, or leaves that to
// the readers among the members, and catches up with a member that is ahead. While
// the source fails the node goes on with the view that it has, and takes over what
// members know.
type sourceFollower struct {
	source  Source
	views   *viewKeeper
	members *members
	health  *sourceHealth
	peers   *peerClient
	metrics *metrics
	log     zerolog.Logger
	now     func() time.Time

	// catchingUp is true while a member's view is being fetched.
	catchingUp atomic.Bool
}

// run reads the source until ctx ends: all of it at first and after its history is
// lost, else what changes. The only error of a wait is the end of ctx, which the loop
// checks.
func (f *sourceFollower) run(ctx context.Context) {
	full := true
	for ctx.Err() == nil {
		if !full && f.members.followsReaders() {
			_ = wait.For(ctx, readerCheckInterval)
			continue
		}
		started := f.now()
		err := f.read(ctx, full)
		switch {
		case err == nil:
			full = false
			f.recordSuccess()
			_ = wait.For(ctx, watchPause)
		case errors.Is(err, ErrHistoryGone):
			f.log.Info().Int64("revision", int64(f.views.load().Revision)).Msg("source: history gone, reading all")
			full = true
		default:
			f.recordFailure(started, err)
			_ = wait.For(ctx, f.drawRetryPause())
		}
	}
}

// recordSuccess notes that the source has answered.
func (f *sourceFollower) recordSuccess() {
	if f.health.markReached(f.now()) {
		f.log.Info().Int64("revision", int64(f.views.load().Revision)).Msg("source: reachable again")
	}
}

// recordFailure notes that a call to the source that began at started has failed. The log
// shows the first of a row of failures.
func (f *sourceFollower) recordFailure(started time.Time, err error) {
	lost, lastReached := f.health.markFailed(started)
	f.metrics.sourceFailures.Inc(1)
	if lost {
		f.log.Warn().Err(err).Dur("sinceHeard", f.now().Sub(lastReached)).Msg("source: lost")
	}
}

// drawRetryPause is how long the node waits after the source failed, drawn at random so
// that nodes that lost the source together do not return together.
func (f *sourceFollower) drawRetryPause() time.Duration {
	shortest, longest := retryBounds(f.views.load().Catalog != nil, f.members.isReader())
	return shortest + rand.N(longest-shortest)
}

// retryBounds decides how long a node waits after the source failed. Inputs:
// whether it has a configuration, and whether it is a reader. A node that has one
// and is no reader can live by what members report, and spares the source. Too
// short loads a source in trouble; too long delays the first request or a change.
func retryBounds(configured, reader bool) (shortest, longest time.Duration) {
	if configured && !reader {
		return maxFollowerRetryPause / 2, maxFollowerRetryPause
	}
	return minRetryPause, maxRetryPause
}

// watchBounds decides how long a watch waits at the source, and how much longer
// the head of its answer may take. Inputs, in the order in which they count:
// whether the last call to the source failed, and whether the node is one of the
// readers, by its roster of this moment. Too long delays the discovery of a
// connection that has silently died; too short costs calls to the source. See
// docs/decisions/0011-the-gateway.md, "What a node knows".
func watchBounds(down, reader bool) (wait, slack time.Duration) {
	switch {
	case down:
		return probeWait, probeSlack
	case reader:
		return readerWait, readerSlack
	}
	return watchWait, watchSlack
}

// read makes one call to the source: for the whole, or for what changes.
func (f *sourceFollower) read(ctx context.Context, full bool) error {
	if full {
		return f.readSnapshot(ctx)
	}
	wait, slack := watchBounds(f.health.isDown(), f.members.isReader())
	return f.readChanges(ctx, wait, slack)
}

func (f *sourceFollower) readSnapshot(ctx context.Context) error {
	ctx, answered, cancel := withAnswerTimeout(ctx, snapshotTimeout)
	defer cancel()
	f.metrics.sourceCalls.Inc(1)
	ch, err := f.source.Snapshot(ctx, answered)
	if err != nil {
		return err
	}
	if known := f.views.load().Revision; ch.Revision < known {
		f.log.Warn().Int64("revision", int64(known)).Int64("listed", int64(ch.Revision)).Msg("source: the whole is older than the view, not taken")
	}
	f.views.apply(ch, func(now time.Time, v *view.View) *view.View {
		return v.WithSnapshot(now, ch, f.health.lastOutage())
	})
	return nil
}

// readChanges waits for what changes at the source. When a member's view was taken
// over meanwhile, the answer is dropped, as it could be older; the next watch
// brings it again.
func (f *sourceFollower) readChanges(ctx context.Context, wait, slack time.Duration) error {
	ctx, answered, cancel := withAnswerTimeout(ctx, wait+slack)
	defer cancel()
	f.health.setWatchCancel(cancel)
	f.metrics.sourceCalls.Inc(1)
	after := f.views.load().Revision
	ch, err := f.source.Watch(ctx, after, wait, answered)
	if err != nil {
		return err
	}
	f.views.apply(ch, func(now time.Time, v *view.View) *view.View {
		if v.Revision != after {
			return v
		}
		return v.WithChanges(now, ch, f.health.lastOutage())
	})
	return nil
}

// withAnswerTimeout returns a context that ends when no answer has begun within limit,
// or when one that has begun takes longer than answerTimeout.
func withAnswerTimeout(ctx context.Context, limit time.Duration) (_ context.Context, answered func(), cancel context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, end)
	return ctx, func() { timer.Reset(answerTimeout) }, func() {
		timer.Stop()
		end()
	}
}
