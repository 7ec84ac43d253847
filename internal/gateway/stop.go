package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

// The times of a planned stop, from the signal on:
//
//	0                          not ready, members informed, idle connections closed
//	takeAfterSignal            new requests are refused
//	balancerNotices            the listener closes (grace/2 when that is shorter)
//	grace - giveUpMargin       requests without an answer are refused
//	grace - stopMargin         the node ends, whatever is in flight
//
// So takeAfterSignal comes before balancerNotices, for the refusals to reach those
// who still connect, and giveUpMargin is above stopMargin, for the refusals to
// reach their callers before the end.
const (
	// defaultGrace is the time to stop when the settings name none: the grace period
	// of the users' deployments.
	defaultGrace = 8 * time.Second
	// balancerNotices is how long the balancer is given to send nobody new: two questions,
	// a second apart, and the way of the last connections. One was opened 3.001 s after
	// the signal.
	balancerNotices = 3 * time.Second
	// takeAfterSignal is how long after the signal new requests are still taken: one that
	// was taken after 3.001 s was cut at the end of the grace time.
	takeAfterSignal = 2500 * time.Millisecond
	// retryElsewhere is after how long a client that a leaving node refused may ask
	// another: at once, but for those that were refused together.
	retryElsewhere = 50 * time.Millisecond
	// giveUpMargin is how long before the end of the grace time requests without an answer
	// are refused: twice stopMargin, for the refusals to arrive.
	giveUpMargin = time.Second
	// stopMargin is kept free of the grace time, which the platform's clock measures: a
	// process that is late by as much still ends by itself.
	stopMargin = 500 * time.Millisecond
	// drainPoll is how often the stop checks whether work is in flight.
	drainPoll = 25 * time.Millisecond
)

// departure says whether the node is leaving, and since when. It begins once.
type departure struct{ since atomic.Pointer[time.Time] }

func (d *departure) begin(now time.Time) { d.since.Store(&now) }

func (d *departure) begun() bool { return d.since.Load() != nil }

// refusesNew decides whether a leaving node refuses new requests: from
// takeAfterSignal on, when the balancer has had time to send them elsewhere. What
// came before can be finished in time.
func (d *departure) refusesNew(now time.Time) bool {
	since := d.since.Load()
	return since != nil && now.Sub(*since) >= takeAfterSignal
}

// stopSteps are the moments of a planned stop.
type stopSteps struct {
	// closeListener is when no new connections are taken any more.
	closeListener time.Time
	// giveUp is when requests without an answer are refused.
	giveUp time.Time
	// end is when the node ends, whatever is in flight.
	end time.Time
}

// planStop decides what a planned stop does when. Inputs: when the signal came, and
// the grace time. Too early, work is cut that would have ended; too late, the
// platform kills the process in the middle of it. See
// docs/decisions/0010-planned-stop.md, and the table of signals in
// docs/OPERATIONS.md.
func planStop(started time.Time, grace time.Duration) stopSteps {
	return stopSteps{
		closeListener: started.Add(min(balancerNotices, grace/2)),
		giveUp:        started.Add(grace - giveUpMargin),
		end:           started.Add(grace - stopMargin),
	}
}

// graceOf returns the time to stop.
func graceOf(cfg *settings.Gateway) time.Duration {
	if cfg.GraceMs > 0 {
		return millis(cfg.GraceMs)
	}
	return defaultGrace
}

// stop finishes the work in flight, within the grace time. Idle connections are
// closed at once; new ones are taken until the balancer has had time to notice.
func (g *Gateway) stop() {
	started := g.now()
	grace := graceOf(g.cfg.Gateway)
	steps := planStop(started, grace)
	g.departure.begin(started)
	g.gossip.publishStatus()
	g.gossip.trigger()
	g.coordinators.handBack()
	g.servers.callers.SetKeepAlivesEnabled(false)
	g.log.Info().Dur("grace", grace).Int64("inflight", g.callers.inflight.Load()).Msg("stop: leaving")
	g.waitUntil(steps.closeListener, func() bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), steps.end.Sub(g.now()))
	defer cancel()
	giveUp := time.AfterFunc(steps.giveUp.Sub(g.now()), g.relay.Stop)
	defer giveUp.Stop()
	// Its error is the end of ctx; the last line shows how much was cut.
	_ = g.servers.callers.Shutdown(ctx)
	g.waitUntil(steps.end, func() bool { return g.callers.inflight.Load() == 0 && g.coordinators.idle() })
	g.log.Info().Int64("cut", g.callers.inflight.Load()).Dur("took", g.now().Sub(started)).Msg("stop: ended")
}

// waitUntil waits until a time, or until something holds.
func (g *Gateway) waitUntil(end time.Time, holds func() bool) {
	for g.now().Before(end) && !holds() {
		time.Sleep(drainPoll)
	}
}
