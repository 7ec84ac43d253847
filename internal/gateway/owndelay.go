package gateway

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/intake"
	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// delayInterval is how often a node measures its own delay. Each measurement wakes the process.
	delayInterval = 50 * time.Millisecond
	// delayWindow is for how long a delay has to last to count: two periods of a processor quota,
	// within which a node that does not use its quota up is on time at least once.
	delayWindow = 200 * time.Millisecond
)

// ownDelay measures how late the node's own work runs: how long a goroutine that is ready waits for
// the processor. A delay that lasts means that the node has more work than it can do.
type ownDelay struct {
	now     func() time.Time
	log     zerolog.Logger
	metrics *metrics
	// inFlight returns the number of requests without a final answer.
	inFlight func() int64
	// observed is called with the delay after each measurement.
	observed func(time.Duration)

	samples []delaySample
	late    bool
}

// delaySample is how late a measurement was that was due at a time.
type delaySample struct {
	due   time.Time
	delay time.Duration
}

// run measures until ctx is done.
func (d *ownDelay) run(ctx context.Context) {
	for {
		due := d.now().Add(delayInterval)
		if wait.For(ctx, delayInterval) != nil {
			return
		}
		// A timer's goroutine runs before those that wait; yielding puts it behind them.
		runtime.Gosched()
		d.record(due, d.now())
	}
}

// record adds a measurement that was due at a time and made at another. A delay lasts that is the
// shortest of all measurements that were due or made within the window.
func (d *ownDelay) record(due, now time.Time) {
	d.samples = slices.DeleteFunc(d.samples, func(s delaySample) bool { return now.Sub(s.due.Add(s.delay)) >= delayWindow })
	d.samples = append(d.samples, delaySample{due: due, delay: max(now.Sub(due), 0)})
	lasting := slices.MinFunc(d.samples, func(a, b delaySample) int { return cmp.Compare(a.delay, b.delay) }).delay
	d.metrics.ownDelay.Update(lasting.Seconds())
	d.observed(lasting)
	if late := (intake.Load{Delay: lasting}).RunsLate(); late != d.late {
		d.late = late
		d.log.Info().Bool("late", late).Dur("delay", lasting).Int64("inflight", d.inFlight()).Msg("node: its own work runs late")
	}
}
