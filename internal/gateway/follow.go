package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/wait"
)

// A call to the source waits for changes for a while (wait), and its answer may take longer
// to start (slack). The header of the answer must arrive within both together. The rest of
// the answer has answerTimeout, since a large configuration takes long over a slow link.
const (
	// readerWait and readerSlack apply to the readers. They bound how long a dead connection
	// goes unnoticed, well below the time in which a new configuration has to come into
	// force.
	readerWait = 1200 * time.Millisecond
	// readerSlack: see readerWait.
	readerSlack = 400 * time.Millisecond
	// watchWait and watchSlack apply to the other nodes. Their watches are cancelled when a
	// member is known to be ahead, so they can wait long, which spares the source.
	watchWait = 20 * time.Second
	// watchSlack: see watchWait. It is longer than readerSlack because nothing waits for it.
	watchSlack = 700 * time.Millisecond
	// probeWait and probeSlack apply while the source is down, so that its recovery is
	// noticed soon.
	probeWait = 100 * time.Millisecond
	// probeSlack: see probeWait.
	probeSlack = 600 * time.Millisecond
	// snapshotTimeout bounds the time until the header of a snapshot arrives, which takes a
	// slow source a second or two.
	snapshotTimeout = 3 * time.Second
	// answerTimeout bounds the rest of an answer whose header has arrived. A large
	// configuration takes seconds over a slow link that nodes share.
	answerTimeout = 6 * time.Second
)

// Pauses between the calls of a node to the source.
const (
	// watchPause is the pause between two watches. Collecting changes for that long saves
	// calls to the source during a rollout, and delays each change by as much.
	watchPause = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failure at readers and at nodes
	// without a configuration, which serve no requests until the source answers.
	minRetryPause = 100 * time.Millisecond
	// maxRetryPause: see minRetryPause.
	maxRetryPause = 500 * time.Millisecond
	// maxFollowerRetryPause is the longest pause after a failure at the other nodes; the
	// shortest is half of it. Hundreds of nodes that all return at once to a failing source
	// keep it from recovering.
	maxFollowerRetryPause = 2 * time.Second
	// readerCheckInterval is how often a node that leaves the source to the readers checks
	// that it still may. It is half a gossip round, and the answer changes only by gossip.
	readerCheckInterval = 250 * time.Millisecond
)

// sourceFollower keeps the view up to date. It watches the source, or leaves that to the
// readers among the members, and catches up with a member that is ahead. While the source is
// failing, the node keeps using its view and takes updates from members.
type sourceFollower struct {
	source  Source
	views   *viewKeeper
	members *members
	health  *sourceHealth
	peers   *peerClient
	metrics *metrics
	log     zerolog.Logger
	now     func() time.Time

	// onListed is called once after the first snapshot.
	onListed func(ctx context.Context)
	// onHistory is called once after the start with what the source still knew of the time before when
	// it was asked, and whether that is all; nil if nothing happened before.
	onHistory func(asked time.Time, ch view.Changes, complete bool)

	// catchingUp is set while updates are fetched from a member.
	catchingUp atomic.Bool
	// mu guards what follows, and makes callers of confirm and forgottenSince wait for one another.
	mu sync.Mutex
	// confirmedAt is the start of the last call that confirmed the view.
	confirmedAt time.Time
	// unconfirmedAt is the start of the last call that failed to, with unconfirmed.
	unconfirmedAt time.Time
	unconfirmed   error
	// gone is the newest revision of which the source has forgotten what followed, -1 for none, by the
	// search that ended at searchedAt.
	gone       int64
	searchedAt time.Time
}

// run reads the source until ctx is done: a full snapshot at first and whenever the source's
// history no longer covers the view, and changes otherwise. wait.For fails only when ctx is
// done, which the loop checks.
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
			f.reportHistory(ctx)
			_ = wait.For(ctx, watchPause)
		case errors.Is(err, ErrHistoryGone):
			f.log.Info().Int64("revision", int64(f.views.load().Revision)).Msg("source: history no longer covers the view, reading a snapshot")
			full = true
		case errors.Is(err, errWatchRestarted):
		default:
			full = full || f.isUnreadable(err)
			f.recordFailure(started, err)
			_ = wait.For(ctx, f.drawRetryPause())
		}
	}
}

// isUnreadable reports whether a watch has to be followed by a snapshot, since its answer could not be
// read.
func (f *sourceFollower) isUnreadable(err error) bool {
	var unreadable UnreadableError
	if !errors.As(err, &unreadable) {
		return false
	}
	f.log.Warn().Err(err).Int64("revision", int64(f.views.load().Revision)).Msg("source: an answer could not be read, reading a snapshot")
	return true
}

// recordSuccess records that the source has answered.
func (f *sourceFollower) recordSuccess() {
	if f.health.markReached(f.now()) {
		f.log.Info().Int64("revision", int64(f.views.load().Revision)).Msg("source: reachable again")
	}
}

// recordFailure records that a call to the source failed; the call began at started. Only the
// first of consecutive failures is logged.
func (f *sourceFollower) recordFailure(started time.Time, err error) {
	lost, lastReached := f.health.markFailed(started)
	f.metrics.sourceFailures.Inc(1)
	if lost {
		f.log.Warn().Err(err).Dur("sinceHeard", f.now().Sub(lastReached)).Msg("source: lost")
	}
}

// drawRetryPause returns how long the node waits after a failure. The pause is random, so
// that nodes that lost the source together do not return to it together.
func (f *sourceFollower) drawRetryPause() time.Duration {
	shortest, longest := retryBounds(f.views.load().Catalog != nil, f.members.isReader())
	return shortest + rand.N(longest-shortest)
}

// retryBounds decides how long a node waits after a failure of the source. Inputs: whether
// the node has a configuration, and whether it is a reader. A node that has one and is no
// reader can rely on the members' reports, and spares the source. If the pause is too short,
// it loads a failing source; if it is too long, it delays the first request or a change.
func retryBounds(configured, reader bool) (shortest, longest time.Duration) {
	if configured && !reader {
		return maxFollowerRetryPause / 2, maxFollowerRetryPause
	}
	return minRetryPause, maxRetryPause
}

// watchBounds decides how long a watch waits at the source, and how much longer the header of
// its answer may take. Inputs, in order of precedence: whether the last call to the source
// failed, and whether the node is currently a reader according to its roster. If the bounds
// are too long, a dead connection is noticed late; if they are too short, they cost calls to
// the source. See docs/decisions/0011-the-gateway.md, "What a node knows".
func watchBounds(down, reader bool) (wait, slack time.Duration) {
	switch {
	case down:
		return probeWait, probeSlack
	case reader:
		return readerWait, readerSlack
	}
	return watchWait, watchSlack
}

// read makes one call to the source: for a full snapshot, or for changes.
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
	started := f.now()
	ch, err := f.source.Snapshot(ctx, answered)
	if err != nil {
		return err
	}
	if known := f.views.load().Revision; ch.Revision < known {
		f.log.Warn().Int64("revision", int64(known)).Int64("listed", int64(ch.Revision)).Msg("source: snapshot older than the view, dropped except for a newer configuration")
	}
	f.views.apply(ch, func(now time.Time, v *view.View) *view.View {
		return v.WithSnapshot(now, ch, f.health.lastOutage())
	})
	if f.views.load().Revision >= ch.Revision {
		f.health.age.confirm(f.now(), started)
	}
	return nil
}

// errWatchRestarted is the error of a watch that this node ended itself. It says nothing of the
// source.
var errWatchRestarted = errors.New("the watch begins anew")

// readChanges waits for changes at the source. If a member's updates were applied meanwhile,
// the answer may be older than the view and is dropped; the next watch returns the changes
// again.
func (f *sourceFollower) readChanges(ctx context.Context, wait, slack time.Duration) error {
	ctx, restart := context.WithCancelCause(ctx)
	defer restart(nil)
	f.health.setWatchRestart(func() { restart(errWatchRestarted) })
	ctx, answered, cancel := withAnswerTimeout(ctx, wait+slack)
	defer cancel()
	f.metrics.sourceCalls.Inc(1)
	started, after := f.now(), f.views.load().Revision
	ch, err := f.source.Watch(ctx, after, wait, answered)
	if err != nil && context.Cause(ctx) == errWatchRestarted {
		return errWatchRestarted
	}
	if err != nil {
		return err
	}
	if f.applyChanges(ch, after) {
		confirmed := started
		if len(ch.List) == 0 && f.now().Sub(started) >= wait {
			// The source waited to the end for a change.
			confirmed = started.Add(wait)
		}
		f.health.age.confirm(f.now(), confirmed)
	}
	return nil
}

// withAnswerTimeout returns a context that is cancelled if no answer has started within
// limit, or if an answer takes longer than answerTimeout once it has started. The caller
// calls answered when the answer starts.
func withAnswerTimeout(ctx context.Context, limit time.Duration) (_ context.Context, answered func(), cancel context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, end)
	return ctx, func() { timer.Reset(answerTimeout) }, func() {
		timer.Stop()
		end()
	}
}
