package gateway

import (
	"sync"
	"time"
)

const (
	// reachableFor is how long after its last answer the source counts as reachable. It is
	// longer than the 1.6 s within which a reader's watch ends (readerWait and readerSlack).
	reachableFor = 2500 * time.Millisecond
	// behindAfter is how much later than a member a node may get the same change from the
	// source. It is longer than watchPause, for which changes are collected between two
	// watches.
	behindAfter = 400 * time.Millisecond
)

// sourceHealth records when the source was reached and when it failed, and since when a
// member is known to be ahead. It owns the lock that guards them, and calls nothing but the
// function that restarts the current watch.
type sourceHealth struct {
	// firstFailure is closed when a call to the source fails for the first time.
	firstFailure chan struct{}
	// age is that of the view.
	age viewAge

	mu sync.Mutex
	// lastReached is when the source last answered; zero if never.
	lastReached time.Time
	// lastFailure is when the last failed call began; zero if none failed.
	lastFailure time.Time
	// down is whether the last call failed.
	down bool
	// aheadSince is since when a member is known to be ahead; zero if none is.
	aheadSince time.Time
	// restart ends the current watch, so that it begins anew; nil before the first.
	restart func()
}

func newSourceHealth() *sourceHealth { return &sourceHealth{firstFailure: make(chan struct{})} }

// markReached records an answer and reports whether the source was down before.
func (h *sourceHealth) markReached(now time.Time) (recovered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReached = now
	recovered = h.down
	h.down = false
	return recovered
}

// markFailed records a failed call. It reports whether the source was up before, and returns
// when it was last reached. The failure counts from the start of the call, since the source
// may have recovered while the call was waiting.
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

// isDown reports whether the last call to the source failed.
func (h *sourceHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// isReachable reports whether the source has answered within reachableFor.
func (h *sourceHealth) isReachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down && !h.lastReached.IsZero() && now.Sub(h.lastReached) <= reachableFor
}

// lastOutage returns when the last failed call began; zero if none failed.
func (h *sourceHealth) lastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure
}

// ageMs returns the milliseconds since the source was last reached; -1 if it never was.
func (h *sourceHealth) ageMs(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastReached.IsZero() {
		return -1
	}
	return int(now.Sub(h.lastReached).Milliseconds())
}

// isBehind records whether a member is ahead of this node, and decides whether this node
// counts as behind and has to catch up with that member.
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

// behindFor returns for how long a member has been known to be ahead; 0 if none is.
func (h *sourceHealth) behindFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.aheadSince.IsZero() {
		return 0
	}
	return now.Sub(h.aheadSince)
}

// shouldCatchUp decides whether a node takes updates from a member that is ahead, or still
// waits for its own watch of the source. Inputs, in order of precedence: whether the node
// leaves the source to the readers, so that no watch of its own will return the change;
// whether the source is unreachable or never answered, so that there is nothing to wait for;
// and how long the member has been known to be ahead, from gossip that is up to a round old.
//
// Catching up too early costs a call between members for a change that the source delivers
// anyway; too late, the node uses an older configuration and targets that are leaving. See
// docs/decisions/0011-the-gateway.md, "Changes in the store".
func shouldCatchUp(aheadFor time.Duration, followsReaders, unreachable bool) bool {
	return followsReaders || unreachable || aheadFor >= behindAfter
}

// setWatchRestart sets the function that ends the current watch, so that it begins anew.
func (h *sourceHealth) setWatchRestart(restart func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restart = restart
}

// restartWatch ends the current watch, so that the next one starts at the revision that the node
// has by then, and on another connection.
func (h *sourceHealth) restartWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.restart != nil {
		h.restart()
	}
}
