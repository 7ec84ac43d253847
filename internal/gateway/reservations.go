package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/reservation"
	"github.com/honeydyke/honeydyke/internal/message"
)

// reservations is a coordinator's side of reserving capacity for retries (package
// reservation). The zero value reserves nothing: its quotes are those of an earlier version.
type reservations struct {
	// ledger is nil if nothing is reserved.
	ledger *reservation.Ledger
	// reported are the counters that were last reported to the metrics.
	reported reservation.Stats
}

// reservationState describes the ledger of a service.
type reservationState struct {
	reservation.State
	// enabled is whether the service has a ledger.
	enabled bool
}

// configure switches reservations on or off. What was reserved before is lost when they are
// switched off.
func (r *reservations) configure(enabled bool) {
	switch {
	case !enabled:
		*r = reservations{}
	case r.ledger == nil:
		r.ledger = &reservation.Ledger{}
	}
}

// reservationRequest returns what a plan reserves capacity for.
func reservationRequest(p batching.Plan) reservation.Request {
	return reservation.Request{ID: p.Request, Digest: p.Digest, Stage: p.Stage, Items: p.Items, Bytes: p.Bytes, Priority: p.Priority}
}

// claim reports whether a plan claims a reservation.
func (r *reservations) claim(now time.Time, p batching.Plan) bool {
	return r.ledger != nil && r.ledger.Claim(now, reservationRequest(p))
}

// wait adds the time for the reservations that go before a first attempt to the time that it
// waits for other work.
func (r *reservations) wait(now time.Time, p batching.Plan, wait time.Duration, perSecond float64) time.Duration {
	if r.ledger == nil {
		return wait
	}
	return r.ledger.Wait(now, reservationRequest(p), p.Due, wait, perSecond)
}

// offer sets when the requests of a message could return, the most urgent first. A plan that
// claimed a reservation gets an offer too, since it may be refused nonetheless.
func (r *reservations) offer(now time.Time, plans []stagePlan, perSecond float64) {
	if r.ledger == nil {
		return
	}
	for _, p := range slices.SortedStableFunc(slices.Values(plans), func(a, b stagePlan) int { return cmp.Compare(a.plan.Priority, b.plan.Priority) }) {
		if p.cancelled {
			continue
		}
		request := reservationRequest(p.plan)
		request.OverShare = p.quote.OverShare
		switch q := r.ledger.Quote(now, request, perSecond).(type) {
		case reservation.Offer:
			p.quote.ReturnAfter = q.After
		case reservation.Held:
			p.quote.ReturnAfter, p.quote.Held = q.After, true
		case reservation.Full:
			p.quote.ReturnAfter = relay.NoOffer
		case reservation.Unknown:
			// The plan is from a member of an earlier version.
		}
	}
}

// cancel ends the offer to a cancelled plan, and reserves capacity if the node asks for it.
func (r *reservations) cancel(now time.Time, p stagePlan, perSecond float64) {
	switch {
	case r.ledger == nil:
	case p.reserve == nil:
		r.ledger.Withdraw(p.plan.Request, p.plan.Stage)
	default:
		r.ledger.Reserve(now, reservationRequest(p.plan), p.reserveFrom, p.reserve.Keep, perSecond)
	}
}

// submitted ends the offer to a stage, whose request was admitted.
func (r *reservations) submitted(request string, stage int) {
	if r.ledger != nil {
		r.ledger.Withdraw(request, stage)
	}
}

// state returns the state of the ledger.
func (r *reservations) state(now time.Time) reservationState {
	if r.ledger == nil {
		return reservationState{}
	}
	return reservationState{State: r.ledger.State(now), enabled: true}
}

// unreported returns a state with what its counters have counted since the last call.
func (r *reservations) unreported(s reservationState) reservationState {
	before := r.reported
	r.reported = s.Stats
	s.Stats = reservation.Stats{
		Offered: s.Offered - before.Offered, Claimed: s.Claimed - before.Claimed,
		Lapsed: s.Lapsed - before.Lapsed, Dropped: s.Dropped - before.Dropped,
	}
	return s
}

// state returns the state of the coordinator.
func (c *coordinator) state(now time.Time) serviceState {
	return serviceState{State: c.core.State(now), reservations: c.reservations.state(now), shares: c.shares.state(now)}
}

// encodeReservations returns nil for a service that reserves nothing.
func encodeReservations(r reservationState) *message.ReservationState {
	if !r.enabled {
		return nil
	}
	return &message.ReservationState{
		Open: r.Open, Offered: int(r.Offered), Claimed: int(r.Claimed), Lapsed: int(r.Lapsed), Dropped: int(r.Dropped),
	}
}
