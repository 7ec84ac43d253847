package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// reachableFor is how long after its last answer the source counts as reachable from
	// this node. It is above the 1.6 s within which a reader's watch ends (readerWait and
	// readerSlack).
	reachableFor = 2500 * time.Millisecond
	// behindAfter is how long after a member a node may receive the same change by itself.
	// It is above watchPause, for which changes gather between two watches. No other
	// time was run.
	behindAfter = 400 * time.Millisecond
)

// sourceHealth remembers when the source was reached and when it failed, and
// since when a member is known to be ahead. It owns the lock over these; it calls
// nobody but the function that ends the current watch.
type sourceHealth struct {
	// firstFailure is closed when a call to the source fails for the first time.
	firstFailure chan struct{}

	mu sync.Mutex
	// lastReached is when the source last answered; zero for never.
	lastReached time.Time
	// lastFailure is when the last call that failed began; zero for never.
	lastFailure time.Time
	// down says whether the last call failed.
	down bool
	// aheadSince is since when a member is known to be ahead; zero for not.
	aheadSince time.Time
	// cancelWatch ends the current watch.
	cancelWatch context.CancelFunc
}

func newSourceHealth() *sourceHealth { return &sourceHealth{firstFailure: make(chan struct{})} }

// markReached notes an answer and says whether the source was down before it.
func (h *sourceHealth) markReached(now time.Time) (recovered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReached = now
	recovered = h.down
	h.down = false
	return recovered
}

// markFailed notes a call that failed and says whether the source was up before
// it, and when it was last reached. The outage counts from the beginning of the
// call: it may have ended while the call waited.
func (h *sourceHealth) markFailed(started time.Time) (lost bool, lastReached time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastFailure.IsZero() {
		close(h.firstFailure)
	}
	h.lastFailure = started
	lost = !h.down
	h.down = true
	return lost, h.lastReached
}

// isDown says whether the last call to the source failed.
func (h *sourceHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// isReachable says whether the source has answered within reachableFor.
func (h *sourceHealth) isReachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down && !h.lastReached.IsZero() && now.Sub(h.lastReached) <= reachableFor
}

// lastOutage returns when the last call that failed began; zero for never.
func (h *sourceHealth) lastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure
}

// ageMs returns the milliseconds since the source was reached; -1 for never.
func (h *sourceHealth) ageMs(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastReached.IsZero() {
		return -1
	}
	return int(now.Sub(h.lastReached).Milliseconds())
}

// isBehind notes whether a member is ahead of this node, and decides whether this
// node is behind, so that it has to catch up with that member.
func (h *sourceHealth) isBehind(now time.Time, memberAhead, followsReaders bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !memberAhead {
		h.aheadSince = time.Time{}
		return false
	}
	if h.aheadSince.IsZero() {
		h.aheadSince = now
	}
	unreachable := h.down || h.lastReached.IsZero()
	return shouldCatchUp(now.Sub(h.aheadSince), followsReaders, unreachable)
}

// shouldCatchUp decides whether a node takes over what a member that is ahead of
// it knows, or still waits for its own watch of the source. Inputs, in the order in
// which they count: whether the node leaves the source to the readers, so that no
// watch of its own will bring the change; whether the source does not answer it
// (or never has), which leaves nothing to wait for; and for how long the member has
// been known to be ahead, by gossip that is up to a round old.
//
// Too early costs a call between members for a change that the source delivers
// anyway; too late, the node works by an older configuration and by targets that
// are leaving. See docs/decisions/0011-the-gateway.md, "Changes in the store".
func shouldCatchUp(aheadFor time.Duration, followsReaders, unreachable bool) bool {
	return followsReaders || unreachable || aheadFor >= behindAfter
}

// setWatchCancel notes how to end the current watch.
func (h *sourceHealth) setWatchCancel(cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelWatch = cancel
}

// cancelCurrentWatch ends the current watch, so that the next one begins at the
// revision that the node has by then.
func (h *sourceHealth) cancelCurrentWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelWatch != nil {
		h.cancelWatch()
	}
}
