package node

import (
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// pulseInterval is how often a node notes that it is awake.
	pulseInterval = 200 * time.Millisecond
	// pauseLimit is the gap between two pulses that counts as a pause.
	pauseLimit = 2 * time.Second
	// refreshLimit is how long a woken node waits for fresh news before it acts
	// on what it has.
	refreshLimit = 3 * time.Second
)

// pulse tells a process that was paused from one that runs. Its times are ages
// of the incarnation by the monotonic clock, in nanoseconds.
type pulse struct {
	last       atomic.Int64
	staleUntil atomic.Int64
	wakes      atomic.Int64
}

// beat notes that the process is awake and is true when it was paused.
func (p *pulse) beat(age time.Duration) bool {
	last := time.Duration(p.last.Swap(int64(age)))
	if age-last <= pauseLimit {
		return false
	}
	p.wakes.Add(1)
	p.staleUntil.Store(int64(age + refreshLimit))
	return true
}

// refreshed notes that news came after the process woke.
func (p *pulse) refreshed() { p.staleUntil.Store(0) }

// asleep says whether the process was paused and has not caught up yet.
func (p *pulse) asleep(age time.Duration) bool {
	return age-time.Duration(p.last.Load()) > pauseLimit || int64(age) < p.staleUntil.Load()
}

// checkAwake refuses to act on what the node knew before it was paused. It runs
// just before the first byte of every call to a target.
func (n *Node) checkAwake() error {
	if n.pulse.asleep(n.Age()) {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the node was paused and has not caught up yet").
			WithRetryAfter(time.Second)
	}
	return nil
}
