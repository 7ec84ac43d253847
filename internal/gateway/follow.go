package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

const (
	// readerWait is how long a reader's watch waits for news. A connection that
	// has silently died is noticed within it and the slack.
	readerWait  = 1200 * time.Millisecond
	readerSlack = 400 * time.Millisecond
	// watchWait is how long the watches of the other nodes wait. They are ended
	// when a member is heard to know more.
	watchWait  = 20 * time.Second
	watchSlack = 700 * time.Millisecond
	// newsTakes is how long after a member a node may hear the same news by
	// itself: news gather between two watches.
	newsTakes = 400 * time.Millisecond
	// gatherNews is how long news gather between two watches.
	gatherNews = 250 * time.Millisecond
	// snapshotTimeout bounds reading everything.
	snapshotTimeout = 3 * time.Second
	// answerTimeout bounds the rest of an answer whose head has come. A megabyte
	// takes a second over the slowest links.
	answerTimeout = 6 * time.Second
	// minRetry and maxRetry bound the pause after the source failed.
	minRetry = 100 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// probeWait and probeSlack bound a watch while the source is down, so that
	// the end of its trouble is noticed soon.
	probeWait  = 100 * time.Millisecond
	probeSlack = 600 * time.Millisecond
	// newCatalogSlack is how long the answer to a node that reads a configuration
	// which members know may take to begin.
	newCatalogSlack = 1500 * time.Millisecond
	// hearsFor is how long after its last answer a node counts as hearing the
	// source.
	hearsFor = 2500 * time.Millisecond
	// relayCheck is how often a node that leaves the source to others looks
	// whether it still may.
	relayCheck = 250 * time.Millisecond
	// followerRetry bounds the pause after the source failed at a node that need
	// not look at it often.
	followerRetry = 2 * time.Second
)

// sourceHealth remembers how well the source can be heard.
type sourceHealth struct {
	mu       sync.Mutex
	heard    time.Time
	troubled time.Time
	down     bool
	// behindSince is since when a member is known to have heard more; zero for not.
	behindSince time.Time
	// endWatch ends the watch at work.
	endWatch context.CancelFunc
}

// follow reads the source until ctx ends: all of it at first and after its
// history is lost, else what changes. Of many nodes most leave it to others.
func (g *Gateway) follow(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		if !whole && g.members.followsReaders() {
			pause(ctx, relayCheck)
			continue
		}
		begun := g.now()
		err := g.read(ctx, whole)
		switch {
		case err == nil:
			whole = false
			g.sourceHeard()
			pause(ctx, gatherNews)
			continue
		case errors.Is(err, ErrHistoryGone):
			g.log.Info().Int64("revision", g.view.Load().Revision).Msg("source: history gone, reading all")
			whole = true
			continue
		}
		g.sourceFailed(begun, err)
		pause(ctx, g.retryPause())
	}
}

// retryPause is how long a node waits after the source failed.
func (g *Gateway) retryPause() time.Duration {
	if g.view.Load().Catalog != nil && !g.members.isReader() {
		return followerRetry/2 + rand.N(followerRetry/2)
	}
	return minRetry + rand.N(maxRetry-minRetry)
}

func (g *Gateway) read(ctx context.Context, whole bool) error {
	if whole {
		ctx, answered, cancel := untilAnswered(ctx, snapshotTimeout)
		defer cancel()
		g.metrics.sourceCalls.Inc(1)
		ch, err := g.ports.Source.Snapshot(ctx, answered)
		if err != nil {
			return err
		}
		g.apply(ch, func(now time.Time, v *view.View, troubled time.Time) *view.View {
			return v.WithSnapshot(now, ch, troubled)
		})
		return nil
	}
	wait, slack := g.watchTime()
	return g.readChanges(ctx, wait, slack)
}

// readChanges waits for what changes at the source. What a member told meanwhile
// goes before it; the next watch tells the rest.
func (g *Gateway) readChanges(ctx context.Context, wait, slack time.Duration) error {
	ctx, answered, cancel := untilAnswered(ctx, wait+slack)
	defer cancel()
	g.source.watching(cancel)
	g.metrics.sourceCalls.Inc(1)
	after := g.view.Load().Revision
	ch, err := g.ports.Source.Watch(ctx, after, wait, answered)
	if err != nil {
		return err
	}
	g.apply(ch, func(now time.Time, v *view.View, troubled time.Time) *view.View {
		if v.Revision != after {
			return v
		}
		return v.WithChanges(now, ch, troubled)
	})
	return nil
}

// untilAnswered returns a context that ends when no answer has come in time, or
// when one that has begun takes too long.
func untilAnswered(ctx context.Context, limit time.Duration) (_ context.Context, answered func(), cancel context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, end)
	return ctx, func() { timer.Reset(answerTimeout) }, func() {
		timer.Stop()
		end()
	}
}

// watchTime returns how long the next watch waits, and how much longer its
// answer may take.
func (g *Gateway) watchTime() (wait, slack time.Duration) {
	if g.source.isDown() {
		return probeWait, probeSlack
	}
	if g.members.isReader() {
		return readerWait, readerSlack
	}
	return watchWait, watchSlack
}

// watching notes how to end the watch at work.
func (h *sourceHealth) watching(end context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endWatch = end
}

// checkBehind looks at what members are known to have heard. A watch that should
// have told it by now is ended, and what a member knows is taken over.
func (g *Gateway) checkBehind(ctx context.Context) {
	v := g.view.Load()
	newest := g.members.aheadOf(v)
	if !g.source.behind(g.now(), newest.member != "", newest.followsReaders) {
		return
	}
	if !g.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.asking.Store(false)
		g.catchUp(ctx, newest)
		g.source.end()
	}()
}

// behind notes whether a member is known to have heard more, and says whether
// that has been so for longer than news need to come by themselves. To a node
// that leaves the source to others they do not.
func (h *sourceHealth) behind(now time.Time, known, relayed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !known {
		h.behindSince = time.Time{}
		return false
	}
	if h.behindSince.IsZero() {
		h.behindSince = now
	}
	// A node that cannot hear the source at all has nothing to wait for.
	return relayed || h.down || h.heard.IsZero() || now.Sub(h.behindSince) >= newsTakes
}

// hears says whether the source has answered lately.
func (h *sourceHealth) hears(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down && !h.heard.IsZero() && now.Sub(h.heard) <= hearsFor
}

// end ends the watch at work.
func (h *sourceHealth) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endWatch != nil {
		h.endWatch()
	}
}

func (g *Gateway) sourceHeard() {
	h := &g.source
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = g.now()
	if h.down {
		h.down = false
		g.log.Info().Int64("revision", g.view.Load().Revision).Msg("source: heard again")
	}
}

// sourceFailed remembers a failure. The trouble counts from the beginning of the
// call that failed: it may have ended while the call waited.
func (g *Gateway) sourceFailed(begun time.Time, err error) {
	h := &g.source
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubled = begun
	g.metrics.sourceFailures.Inc(1)
	if !h.down {
		h.down = true
		g.log.Warn().Err(err).Dur("sinceHeard", g.now().Sub(h.heard)).Msg("source: lost")
	}
}

func (h *sourceHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// lastTrouble returns when the source was last in trouble; zero for never.
func (h *sourceHealth) lastTrouble() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.troubled
}

// apply changes the view and tells those who work by it.
func (g *Gateway) apply(ch view.Changes, change func(time.Time, *view.View, time.Time) *view.View) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	old := g.view.Load()
	now := g.now()
	next := change(now, old.WithTime(now), g.source.lastTrouble())
	if next == old {
		return
	}
	g.view.Store(next)
	g.logChanges(old, next, ch)
	if next.Directory == old.Directory && next.Catalog == old.Catalog {
		return
	}
	g.batches.configure(next)
	g.relay.Prune(next.Directory)
	g.prompts.prune(next.Directory)
	g.publishStatus()
	g.spread()
}

func (g *Gateway) logChanges(old, next *view.View, ch view.Changes) {
	if next.Version() != old.Version() {
		g.log.Info().Int64("version", next.Version()).Int64("was", old.Version()).Int64("revision", next.Revision).
			Int("routes", next.Catalog.RouteCount()).Msg("view: configuration in force")
	}
	for _, c := range ch.List {
		switch c := c.(type) {
		case view.TargetChange:
			g.log.Info().Str("target", c.Target.ID).Str("service", c.Target.Service).Str("address", c.Target.Address).
				Str("state", c.Target.State.String()).Int64("revision", ch.Revision).Msg("view: target")
		case view.TargetGone:
			g.log.Info().Str("target", c.ID).Int64("revision", ch.Revision).Msg("view: target gone")
		case view.Rejected:
			g.log.Error().Str("key", c.Key).Str("why", c.Reason).Msg("view: entry refused")
		case view.CatalogChange:
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
