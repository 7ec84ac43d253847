package node

import (
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Figures of the pause detector. None was measured; they are the ones of
// docs/decisions/0006-membership.md.
const (
	// pauseBeat is how often a node records that it runs.
	pauseBeat = 200 * time.Millisecond
	// pauseLimit is the gap between two beats that counts as a pause: ten beats.
	pauseLimit = 2 * time.Second
	// refreshLimit is how long a resumed node waits for a fresh update before it
	// acts on what it has: longer than one exchange may take (peerTimeout).
	refreshLimit = 3 * time.Second
	// pausedRetryAfter is when a caller that was refused for a pause may retry.
	pausedRetryAfter = time.Second
)

// pauseDetector notices that the process did not run for a while, as when it is
// stopped by a signal or its machine is starved. Its times are ages of the
// incarnation by the monotonic clock, in nanoseconds.
type pauseDetector struct {
	age func() time.Duration

	last       atomic.Int64
	staleUntil atomic.Int64
}

// beat records that the process runs, and reports whether it was paused.
func (p *pauseDetector) beat() bool {
	age := p.age()
	last := time.Duration(p.last.Swap(int64(age)))
	if age-last <= pauseLimit {
		return false
	}
	p.staleUntil.Store(int64(age + refreshLimit))
	return true
}

// refreshed records that an update arrived from a peer or the service.
func (p *pauseDetector) refreshed() { p.staleUntil.Store(0) }

// stale reports whether the process was paused and has had no update since.
func (p *pauseDetector) stale() bool {
	age := p.age()
	return age-time.Duration(p.last.Load()) > pauseLimit || int64(age) < p.staleUntil.Load()
}

// check refuses to act on what the node knew before it was paused. It runs just
// before the first byte of every call to a target.
func (p *pauseDetector) check() error {
	if p.stale() {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the node was paused and has not caught up yet").
			WithRetryAfter(pausedRetryAfter)
	}
	return nil
}
