package batching

import (
	"maps"
	"time"
)

// planGrace is how long after its items are due a plan is kept, for requests that are
// late: about the time of two batches. Longer keeps plans of nodes that are lost in the
// backlog, by which others are refused.
const planGrace = 500 * time.Millisecond

// planKey names the plan of one stage of one request.
type planKey struct {
	request string
	stage   int
}

// plans are the announced items that have not been submitted. They count in the
// backlog (State), by which later requests are admitted, and decide nothing else.
//
// A plan is kept until the first items of its stage are submitted, until it is
// cancelled, or until planGrace after its due time: a node that was lost cancels
// nothing. See docs/decisions/0013-planning-stages.md.
//
// A plan kept too long makes admission refuse requests that would fit; one dropped
// too early admits more than the service can carry.
type plans map[planKey]Plan

// add takes in an announcement, in place of an earlier one for the same stage.
func (p plans) add(ev Plan) {
	p[planKey{ev.Request, ev.Stage}] = ev
}

// remove ends the plan of a stage, if there is one.
func (p plans) remove(request string, stage int) {
	delete(p, planKey{request, stage})
}

// expire drops the plans that are long due.
func (p plans) expire(now time.Time) {
	maps.DeleteFunc(p, func(_ planKey, announced Plan) bool {
		return now.After(announced.Due.Add(planGrace))
	})
}

// items returns how many items are announced.
func (p plans) items() int {
	n := 0
	for _, announced := range p {
		n += announced.Items
	}
	return n
}
