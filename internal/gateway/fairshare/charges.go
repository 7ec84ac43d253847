package fairshare

import (
	"container/list"
	"time"
)

// charges holds the tokens that requests have taken, so that only what was taken is given back
// when a plan is cancelled.
type charges struct {
	byRequest map[string]*list.Element
	// byTime holds the charges, the oldest first.
	byTime *list.List
}

// charge is what one request has taken.
type charge struct {
	request string
	name    Name
	at      time.Time
	items   int
	// stage is the latest stage that was charged.
	stage int
}

func newCharges() charges {
	return charges{byRequest: map[string]*list.Element{}, byTime: list.New()}
}

// covers reports whether the request of a plan has a charge for an earlier stage. Clients choose
// the IDs of requests and may use one for many, so a stage that was charged already is that of
// another request.
func (c *charges) covers(p Plan) bool {
	e := c.byRequest[p.Request]
	if e == nil {
		return false
	}
	charged := e.Value.(*charge)
	return charged.name == p.Name && charged.stage < p.Stage
}

// add adds the items of a plan to the charge of its request.
func (c *charges) add(now time.Time, p Plan) {
	if e := c.byRequest[p.Request]; e != nil {
		charged := e.Value.(*charge)
		if charged.name == p.Name {
			charged.items += p.Items
			charged.stage = p.Stage
			return
		}
		c.remove(e)
	}
	if c.byTime.Len() >= maxCharges {
		c.remove(c.byTime.Front())
	}
	c.byRequest[p.Request] = c.byTime.PushBack(&charge{request: p.Request, name: p.Name, at: now, items: p.Items, stage: p.Stage})
}

// take removes the items of a cancelled plan from the charge of its request, and returns how
// many of them had been charged.
func (c *charges) take(p Plan) int {
	e := c.byRequest[p.Request]
	if e == nil {
		return 0
	}
	charged := e.Value.(*charge)
	if charged.name != p.Name {
		return 0
	}
	items := min(p.Items, charged.items)
	charged.items -= items
	if charged.items == 0 {
		c.remove(e)
	}
	return items
}

func (c *charges) remove(e *list.Element) {
	delete(c.byRequest, e.Value.(*charge).request)
	c.byTime.Remove(e)
}

// expire drops the charges that can no longer be given back.
func (c *charges) expire(now time.Time) {
	for e := c.byTime.Front(); e != nil && now.Sub(e.Value.(*charge).at) >= chargeTime; e = c.byTime.Front() {
		c.remove(e)
	}
}
