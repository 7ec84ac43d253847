package gateway

import (
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Schedule of a graceful shutdown, from the signal on:
//
//	0                        not ready, members informed, idle connections closed
//	acceptAfterSignal        new requests are refused
//	listenerCloseDelay       the listener closes (grace/2 if that is shorter)
//	grace - abortMargin      unanswered requests are refused
//	grace - exitMargin       the node exits, whatever is in flight
//
// acceptAfterSignal must be shorter than listenerCloseDelay, so that the refusals reach
// clients that still connect, and abortMargin longer than exitMargin, so that the refusals
// reach their callers before the node exits.
const (
	// defaultGracePeriod is used if the settings name none. It is the grace period of the
	// users' deployments.
	defaultGracePeriod = 8 * time.Second
	// listenerCloseDelay is how long the load balancer has to stop sending requests: two
	// health checks, a second apart, and the time for the last connections to arrive. One was
	// opened 3.001 s after the signal.
	listenerCloseDelay = 3 * time.Second
	// acceptAfterSignal is how long after the signal new requests are still accepted. One
	// that was accepted after 3.001 s was cut off at the end of the grace period.
	acceptAfterSignal = 2500 * time.Millisecond
	// leavingRetryAfter is how long a client that a leaving node refused waits before it
	// tries another node. Another node can take the request at once; the short pause is for the
	// clients that were refused together.
	leavingRetryAfter = 50 * time.Millisecond
	// abortMargin is how long before the end of the grace period unanswered requests are
	// refused: twice exitMargin, so that the refusals arrive.
	abortMargin = time.Second
	// exitMargin is how long before the end of the grace period the node exits. The platform
	// measures the period by its own clock, and a process that is late by as much still exits
	// by itself.
	exitMargin = 500 * time.Millisecond
	// drainPollInterval is how often the shutdown checks whether work is in flight.
	drainPollInterval = 25 * time.Millisecond
)

// shutdownState holds whether the node is leaving, and since when. A shutdown begins at most
// once.
type shutdownState struct{ since atomic.Pointer[time.Time] }

func (s *shutdownState) begin(now time.Time) { s.since.Store(&now) }

func (s *shutdownState) begun() bool { return s.since.Load() != nil }

// refusesRequests decides whether a leaving node refuses new requests: from acceptAfterSignal
// on, when the load balancer has had time to send them to other nodes. Earlier ones can be
// finished in time.
func (s *shutdownState) refusesRequests(now time.Time) bool {
	since := s.since.Load()
	return since != nil && now.Sub(*since) >= acceptAfterSignal
}

// shutdownSchedule holds the times of the steps of a shutdown.
type shutdownSchedule struct {
	// closeListener is when the node stops accepting connections.
	closeListener time.Time
	// abort is when unanswered requests are refused.
	abort time.Time
	// exit is when the node exits, whatever is in flight.
	exit time.Time
}

// planShutdown decides when the steps of a graceful shutdown happen. Inputs: the time of the
// signal and the grace period. If a step is too early, it cuts off work that would have
// finished; if it is too late, the platform kills the process in the middle of it. See
// docs/decisions/0010-planned-stop.md, and the table of signals in docs/OPERATIONS.md.
func planShutdown(started time.Time, grace time.Duration) shutdownSchedule {
	return shutdownSchedule{
		closeListener: started.Add(min(listenerCloseDelay, grace/2)),
		abort:         started.Add(grace - abortMargin),
		exit:          started.Add(grace - exitMargin),
	}
}

// gracePeriod returns the grace period of the settings, or the default.
func gracePeriod(cfg *settings.Gateway) time.Duration {
	if cfg.GraceMs > 0 {
		return millis(cfg.GraceMs)
	}
	return defaultGracePeriod
}

// shutDown finishes the work in flight within the grace period. Idle connections are closed
// at once; new ones are accepted until the load balancer has had time to notice.
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
	giveUp := time.AfterFunc(steps.abort.Sub(g.now()), g.relay.Stop)
	defer giveUp.Stop()
	// The server goes on: shut down, it would drop what comes on open connections without a refusal.
	// Nothing depends on an error of the listener's end.
	_ = g.listeners.callers.Close()
	g.pollUntil(steps.exit, func() bool {
		return g.callers.inFlight.Load() == 0 && g.listeners.served.unanswered.Load() == 0 && g.coordinators.idle() && g.tunnels.idle()
	})
	// What is left has no request, or is cut off, which the log line shows.
	_ = g.servers.callers.Close()
	g.log.Info().Int64("cut", g.callers.inFlight.Load()).Dur("took", g.now().Sub(started)).Msg("stop: ended")
}

// pollUntil waits until a deadline or until done returns true.
func (g *Gateway) pollUntil(deadline time.Time, done func() bool) {
	for g.now().Before(deadline) && !done() {
		time.Sleep(drainPollInterval)
	}
}
