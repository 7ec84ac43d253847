package batching

import "time"

// planGrace is how long after its due time a plan is kept, for requests that are late:
// about two batches. With a longer time, plans of lost nodes stay in the backlog and
// cause other requests to be refused.
const planGrace = 500 * time.Millisecond

// planKey identifies the plan for one stage of a request.
type planKey struct {
	request string
	stage   int
}

// plans holds the announced items that have not been submitted. They count towards the
// backlog (State), by which later requests are admitted, and decide nothing else.
//
// A plan is kept until the first items of its stage are submitted, until it is cancelled,
// or until planGrace after its due time, since a node that is lost does not cancel its
// plans. See docs/decisions/0013-planning-stages.md.
//
// A plan that is kept too long makes admission refuse requests that would fit; one that
// is dropped too early admits more than the service can carry.
type plans map[planKey]Plan

// add adds a plan, replacing an earlier one for the same stage.
func (p plans) add(ev Plan) {
	p[planKey{ev.Request, ev.Stage}] = ev
}

// remove removes the plan for a stage, if there is one.
func (p plans) remove(request string, stage int) {
	delete(p, planKey{request, stage})
}

// expire drops the plans whose planGrace is over, and returns them.
func (p plans) expire(now time.Time) []Plan {
	var expired []Plan
	for key, announced := range p {
		if now.After(announced.Due.Add(planGrace)) {
			delete(p, key)
			expired = append(expired, announced)
		}
	}
	return expired
}

// expirePlans drops the plans whose planGrace is over.
func (c *Core) expirePlans(now time.Time) {
	c.plansExpiredAt = now
	for _, expired := range c.plans.expire(now) {
		c.position.end(now, expired, false)
	}
}

// items returns the number of announced items.
func (p plans) items() int {
	n := 0
	for _, announced := range p {
		n += announced.Items
	}
	return n
}

// Submitted reports whether items that a plan announces were submitted before it arrived, and
// have no result yet.
func (c *Core) Submitted(p Plan) bool { return c.submitted[groupKey{p.Request, p.Stage}] > 0 }

// addPlan announces a plan, in place of an earlier one for the same stage. One whose group was
// submitted before is not added: its node did not wait for the answer, and its items would
// count twice.
func (c *Core) addPlan(now time.Time, ev Plan) {
	if c.Submitted(ev) {
		return
	}
	c.endPlan(now, planKey{ev.Request, ev.Stage}, true)
	c.plans.add(ev)
	c.position.announce(now, c.earliestEnd(now), ev)
}

// endPlan ends the plan for a stage, and reports whether there was one.
func (c *Core) endPlan(now time.Time, key planKey, cancelled bool) bool {
	plan, announced := c.plans[key]
	if announced {
		c.plans.remove(key.request, key.stage)
		c.position.end(now, plan, cancelled)
	}
	return announced
}
