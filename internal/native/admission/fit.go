package admission

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: what fits its deadline.
//
// A request is refused at its start when the predicted time of all its stages,
// waits included, passes its deadline. An attempt of a stage is refused when it
// cannot start by its latest start: the deadline less its own expected time less
// the predicted time of the stages after it.
//
// Inputs of an attempt, in the order in which they count: how much work the pool
// holds; whether any target in use is in service, and when the first ejected one
// is probed; the predicted wait against the latest start. All are of this moment,
// and the expected times are those of estimate.go. Without learned times the
// bundle's minimum times count. With Config.NeverRefuse only the first two count.
//
// Why so: work that cannot end in time takes slots from work that can
// (docs/decisions/0008-holding-and-refusing.md). A wrong "it fits" wastes the time
// of a target and the caller's wait; a wrong "it does not" refuses a request that
// would have ended in time.
const (
	// maxHeld bounds the attempts held for one pool. It bounds memory.
	maxHeld = 4096
)

// fitInput is what decides whether an attempt can start in time.
type fitInput struct {
	now time.Time
	// latestStart is when the attempt must start for its request to end in time.
	latestStart time.Time
	// held counts the attempts held for the pool.
	held int
	// heldPerSlot is the expected time of all held work over the usable slots.
	heldPerSlot time.Duration
	// slots counts the slots of the pool's targets in service.
	slots int
	// probeAt is when the first ejected target is probed; zero for never.
	probeAt time.Time
	// wait is the predicted time until the attempt gets a slot.
	wait time.Duration
	// holdAnyway is Config.NeverRefuse.
	holdAnyway bool
}

// judgeFit says why an attempt cannot start in time and after which time a retry is
// worth it; the reason is empty for an attempt that can.
func judgeFit(in fitInput) (reason verdict.Reason, retryAfter time.Duration) {
	if in.held >= maxHeld {
		return verdict.ReasonOverload, in.heldPerSlot
	}
	if in.slots == 0 && in.probeAt.IsZero() {
		return verdict.ReasonNoTarget, unknownRetryAfter
	}
	if in.slots == 0 && in.probeAt.After(in.latestStart) {
		return verdict.ReasonNoTarget, in.probeAt.Sub(in.now)
	}
	if in.holdAnyway {
		return "", 0
	}
	if start := in.now.Add(in.wait); start.After(in.latestStart) {
		return verdict.ReasonOverload, start.Sub(in.latestStart)
	}
	return "", 0
}

// fitInput gathers the inputs of judgeFit for an attempt.
func (c *Core) fitInput(now time.Time, p *pool, it *item) fitInput {
	in := fitInput{
		now: now, latestStart: it.latestStart, held: p.held, slots: p.slots(now), holdAnyway: c.cfg.NeverRefuse,
	}
	in.heldPerSlot = p.heldPerSlot(in.slots)
	if in.slots == 0 {
		in.probeAt = p.firstProbe(now)
	}
	if !in.holdAnyway {
		in.wait = p.wait(now, c.shedder.nodes, it.Organisation, c.weight(it.Organisation), it.latestStart)
	}
	return in
}

// refusalFor returns the answer to an attempt that does not fit, and nil for one
// that does.
func (c *Core) refusalFor(now time.Time, p *pool, it *item) *verdict.Error {
	switch reason, retryAfter := judgeFit(c.fitInput(now, p, it)); reason {
	case verdict.ReasonOverload:
		return c.overload(retryAfter)
	case verdict.ReasonNoTarget:
		return c.noTarget(p, retryAfter)
	default:
		return nil
	}
}

// excess predicts by how much the stages of a request would pass its deadline; not
// above 0 when they fit.
func (c *Core) excess(now time.Time, e Open) time.Duration {
	if c.cfg.NeverRefuse {
		return 0
	}
	left := c.remaining(now, e.Organisation, e.Pipeline, e.Size, e.Deadline)
	return slices.Max(left) - e.Deadline.Sub(now)
}

// latestStart returns the latest start of an attempt from which its request can
// still end in time; with NeverRefuse the request's deadline.
func (c *Core) latestStart(now time.Time, it *item) time.Time {
	if c.cfg.NeverRefuse {
		return it.Deadline
	}
	left := c.remaining(now, it.Organisation, it.Pipeline, it.Size, it.Deadline)
	return it.Deadline.Add(-it.expected - remainingAfter(it.Pipeline, it.Stage, left))
}

// refuseLate refuses the held work of a pool whose latest start has come. Work is
// refused then and not at its deadline, so that its caller can go elsewhere.
func (c *Core) refuseLate(now time.Time, p *pool) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(p.queues) {
		q := p.queues[name]
		for len(q.items) > 0 && !now.Before(q.items[0].latestStart) {
			it := q.items[0]
			p.remove(now, it)
			delete(c.items, it.ID)
			effects = append(effects, Refuse{ID: it.ID, Err: c.overload(p.heldPerSlot(p.slots(now)))})
		}
	}
	return effects
}
