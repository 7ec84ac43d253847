// Package boottime is a clock for ages, leases and deadlines that goes on while the machine
// is suspended. Go's monotonic clock stands still then: a node that was suspended for eight
// seconds would take its view, its members and the time left of its requests for as fresh
// as before.
//
// It relies on the kernel: CLOCK_BOOTTIME counts what CLOCK_MONOTONIC does, and suspensions
// besides. Reading it costs a system call, where time.Now needs none, so it is read only
// when the time of day and the monotonic clock have moved apart, as a suspension has them
// do, and once in checkInterval. Where the kernel has no such clock, suspensions do not
// count.
//
// Timers and contexts are the runtime's: after a suspension they go on with what was left
// of them. Who acts at the end of one asks the clock again.
package boottime

import (
	"sync/atomic"
	"time"
)

const (
	// apart is by how much the time of day and the monotonic clock may move apart before
	// the kernel is asked for the reason: a step of the time of day, or a suspension. Less
	// than what is measured here, heartbeats of 500 ms, and more than the time of day is
	// slewed within checkInterval.
	apart = 10 * time.Millisecond
	// checkInterval is how often the kernel is asked in any case: a suspension and a step
	// of the time of day may hide each other.
	checkInterval = time.Second
)

// Clock gives the time. Create it with New; it is safe for concurrent use.
type Clock struct {
	// now reads the time of day and the monotonic clock, suspended how long the machine
	// has been suspended since it started; false when the kernel does not say.
	now       func() time.Time
	suspended func() (time.Duration, bool)

	start time.Time
	// first is suspended when the clock was created.
	first time.Duration
	// gap is how long the machine has been suspended since then, and drift by how much the
	// time of day was ahead of the monotonic clock when that was last asked for, at checked
	// after the start; all in nanoseconds.
	gap, drift, checked atomic.Int64
}

// New returns a clock.
func New() *Clock { return newClock(time.Now, suspendedTime) }

func newClock(now func() time.Time, suspended func() (time.Duration, bool)) *Clock {
	c := &Clock{now: now, suspended: suspended, start: now()}
	// Where the kernel does not say it never will, and the clock is time.Now.
	c.first, _ = suspended()
	return c
}

// Now returns the time. Differences and comparisons of its results count suspensions; the
// time of day in them is of no use.
func (c *Clock) Now() time.Time {
	t := c.now()
	since := t.Sub(c.start)
	// Without their monotonic parts times are compared by the time of day.
	drift := int64(t.Round(0).Sub(c.start.Round(0)) - since)
	if moved := drift - c.drift.Load(); moved > int64(apart) || moved < -int64(apart) || int64(since)-c.checked.Load() > int64(checkInterval) {
		c.check(since, drift)
	}
	return t.Add(time.Duration(c.gap.Load()))
}

// check asks the kernel how long the machine has been suspended.
func (c *Clock) check(since time.Duration, drift int64) {
	c.checked.Store(int64(since))
	c.drift.Store(drift)
	if total, known := c.suspended(); known {
		c.gap.Store(max(int64(total-c.first), c.gap.Load()))
	}
}
