package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
)

// planStages announces the planned stages of a service, or withdraws them. done is closed when
// the quotes for all stages are set.
type planStages struct {
	// received is when the member's message arrived.
	received time.Time
	stages   []stagePlan
	done     chan struct{}
}

// stagePlan is one planned stage, or its cancellation.
type stagePlan struct {
	plan      batching.Plan
	cancelled bool
	// reserve is as in requestPlan.
	reserve *relay.Reservation
	// reserveFrom is when the client may retry.
	reserveFrom time.Time
	// quote receives the answer. A cancellation sets none.
	quote *relay.Quote
}

func (m *planStages) add(p requestPlan, s relay.PlannedStage, quote *relay.Quote) {
	m.stages = append(m.stages, stagePlan{
		plan: batching.Plan{
			Request: p.Request, Stage: s.Stage, Items: s.Items, Due: s.Due, Priority: s.Priority, Bytes: s.Bytes,
			Organisation: p.Organisation, Digest: p.Digest,
		},
		cancelled: p.cancelled, reserve: p.reserve, reserveFrom: m.reserveFrom(p), quote: quote,
	})
}

// reserveFrom returns when the client of a refused request may retry; the zero time if nothing
// is to be reserved.
func (m *planStages) reserveFrom(p requestPlan) time.Time {
	switch {
	case p.reserve == nil:
		return time.Time{}
	case p.refusedAt.IsZero():
		return m.received.Add(p.reserve.After)
	}
	return p.refusedAt.Add(p.reserve.After)
}

// plan passes planned stages to the core and sets their quotes. The time for which the items of
// the stages will wait for their turn at this coordinator counts as backlog too (turnWait),
// unless they were submitted already: a request whose items waited in the queue was refused
// because its plan had waited behind the processing of these items.
// Rates and idle targets are determined once for all stages, which makes a plan in a large
// message cheaper than one of its own.
func (c *coordinator) plan(m *planStages) {
	now := c.now()
	quotes, late := c.core.Quotes(now), c.turns.estimate(now.Sub(m.received))
	c.shares.observeRate(now, quotes.ItemsPerSecond())
	for _, p := range m.stages {
		if p.cancelled {
			c.reservations.cancel(now, p, quotes.ItemsPerSecond())
			c.handle(batching.CancelPlan{Request: p.plan.Request, Stage: p.plan.Stage})
			c.shares.cancel(now, p.plan)
			continue
		}
		p.quote.Reserved = c.reservations.claim(now, p.plan)
		p.quote.Backlog = quotes.Next(p.plan)
		if !c.core.Submitted(p.plan) {
			p.quote.Backlog += late
		}
		if !p.quote.Reserved {
			p.quote.Backlog = c.reservations.wait(now, p.plan, p.quote.Backlog, quotes.ItemsPerSecond())
		}
		p.quote.OverShare = c.shares.ask(now, p.plan)
		p.quote.Arrivals = quotes.Arrivals()
		c.handle(p.plan)
	}
	c.reservations.offer(now, m.stages, quotes.ItemsPerSecond())
	close(m.done)
}
