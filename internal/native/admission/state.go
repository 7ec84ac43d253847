package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// Held returns how many attempts are held.
func (c *Core) Held() int {
	n := 0
	for _, p := range c.pools {
		n += p.held
	}
	return n
}

// InFlight returns how many requests are admitted and not closed.
func (c *Core) InFlight() int { return len(c.open) }

// NextTick returns when Step must get a Tick: when the first held attempt reaches
// its latest start, or an ejected target of a pool with held work may be probed.
// It is zero when nothing is held.
func (c *Core) NextTick(now time.Time) time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, p := range c.pools {
		if p.held == 0 {
			continue
		}
		sooner(p.firstProbe(now))
		for _, q := range p.queues {
			if len(q.items) > 0 {
				sooner(q.items[0].latestStart)
			}
		}
	}
	return next
}

// Targets describes every target, in the order of their names.
func (c *Core) Targets(now time.Time) []message.TargetState {
	states := make([]message.TargetState, 0, len(c.targets))
	for _, name := range sortedKeys(c.targets) {
		t := c.targets[name]
		s := message.TargetState{
			Target: name, Pool: t.pool.spec.Name, DataCentre: t.spec.DataCentre,
			InFlight: t.inFlight, Slots: t.spec.Slots, Ejected: t.ejected(now), Leaving: t.leaving, ReportAgeMs: -1,
		}
		if t.reported {
			s.ReportAgeMs = int(now.Sub(t.reportedAt).Milliseconds())
		}
		states = append(states, s)
	}
	return states
}

// Organisations describes every organisation, in the order of their names.
func (c *Core) Organisations() []message.OrganisationState {
	states := make([]message.OrganisationState, 0, len(c.organisations))
	for _, name := range sortedKeys(c.organisations) {
		org := c.organisations[name]
		states = append(states, message.OrganisationState{
			Organisation: name, InFlight: org.inFlight, Concurrency: org.spec.Limits.Concurrency,
		})
	}
	return states
}
