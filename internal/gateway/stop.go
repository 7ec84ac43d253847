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
//	acceptAfterSignal            new requests are refused
//	listenerCloseDelay            the listener closes (grace/2 when that is shorter)
//	grace - abortMargin       requests without an answer are refused
//	grace - exitMargin         the node ends, whatever is in flight
//
// So acceptAfterSignal comes before listenerCloseDelay, for the refusals to reach those
// who still connect, and abortMargin is above exitMargin, for the refusals to
// reach their callers before the end.
const (
	// defaultGracePeriod is the time to stop when the settings name none: the grace period
	// of the users' deployments.
	defaultGracePeriod = 8 * time.Second
	// listenerCloseDelay is how long the balancer is given to send nobody new: two questions,
	// a second apart, and the way of the last connections. One was opened 3.001 s after
	// the signal.
	listenerCloseDelay = 3 * time.Second
	// acceptAfterSignal is how long after the signal new requests are still taken: one that
	// was taken after 3.001 s was cut at the end of the grace time.
	acceptAfterSignal = 2500 * time.Millisecond
	// leavingRetryAfter is after how long a client that a leaving node refused may ask
	// another: at once, but for those that were refused together.
	leavingRetryAfter = 50 * time.Millisecond
	// abortMargin is how long before the end of the grace time requests without an answer
	// are refused: twice exitMargin, for the refusals to arrive.
	abortMargin = time.Second
	// exitMargin is kept free of the grace time, which the platform's clock measures: a
	// process that is late by as much still ends by itself.
	exitMargin = 500 * time.Millisecond
	// drainPollInterval is how often the stop checks whether work is in flight.
	drainPollInterval = 25 * time.Millisecond
)

// shutdownState says whether the node is leaving, and since when. It begins once.
type shutdownState struct{ since atomic.Pointer[time.Time] }

func (d *shutdownState) begin(now time.Time) { d.since.Store(&now) }

func (d *shutdownState) begun() bool { return d.since.Load() != nil }

// refusesRequests decides whether a leaving node refuses new requests: from
// acceptAfterSignal on, when the balancer has had time to send them elsewhere. What
// came before can be finished in time.
func (d *shutdownState) refusesRequests(now time.Time) bool {
	since := d.since.Load()
	return since != nil && now.Sub(*since) >= acceptAfterSignal
}

// shutdownSchedule are the moments of a planned stop.
type shutdownSchedule struct {
	// closeListener is when no new connections are taken any more.
	closeListener time.Time
	// abort is when requests without an answer are refused.
	abort time.Time
	// exit is when the node ends, whatever is in flight.
	exit time.Time
}

// planShutdown decides what a planned stop does when. Inputs: when the signal came, and
// the grace time. Too early, work is cut that would have ended; too late, the
// platform kills the process in the middle of it. See
// docs/decisions/0010-planned-stop.md, and the table of signals in
// docs/OPERATIONS.md.
func planShutdown(started time.Time, grace time.Duration) shutdownSchedule {
	return shutdownSchedule{
		closeListener: started.Add(min(listenerCloseDelay, grace/2)),
		abort:         started.Add(grace - abortMargin),
		exit:          started.Add(grace - exitMargin),
	}
}

// gracePeriod returns the time to stop.
func gracePeriod(cfg *settings.Gateway) time.Duration {
	if cfg.GraceMs > 0 {
		return millis(cfg.GraceMs)
	}
	return defaultGracePeriod
}

// shutDown finishes the work in flight, within the grace time. Idle connections are
// closed at once; new ones are taken until the balancer has had time to notice.
func (g *Gateway) shutDown() {
	started := g.now()
	grace := gracePeriod(g.cfg.Gateway)
	steps := planShutdown(started, grace)
	g.shutdown.begin(started)
	g.gossip.publishStatus()
	g.gossip.trigger()
	g.coordinators.handBack()
	g.servers.callers.SetKeepAlivesEnabled(false)
	g.log.Info().Dur("grace", grace).Int64("inflight", g.callers.inFlight.Load()).Msg("stop: leaving")
	g.pollUntil(steps.closeListener, func() bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), steps.exit.Sub(g.now()))
	defer cancel()
	giveUp := time.AfterFunc(steps.abort.Sub(g.now()), g.relay.Stop)
	defer giveUp.Stop()
	// Its error is the end of ctx; the last line shows how much was cut.
	_ = g.servers.callers.Shutdown(ctx)
	g.pollUntil(steps.exit, func() bool { return g.callers.inFlight.Load() == 0 && g.coordinators.idle() })
	g.log.Info().Int64("cut", g.callers.inFlight.Load()).Dur("took", g.now().Sub(started)).Msg("stop: ended")
}

// pollUntil waits until a time, or until something holds.
func (g *Gateway) pollUntil(deadline time.Time, done func() bool) {
	for g.now().Before(deadline) && !done() {
		time.Sleep(drainPollInterval)
	}
}
