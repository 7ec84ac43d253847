package batching

import (
	"time"
)

// maxInspecting bounds the inspections of spare targets that run at once: each takes some
// 4 ms, most of it a new connection, so that a coordinator begins with thousands of
// targets a second; many more at once take it longer than inspectTimeout to read.
const maxInspecting = 32

// dispatch starts batches as long as there are items and targets that may take them.
//
// A target that took nothing speaks for the others in its data centre that have no more
// memory: items differ for them by nothing else. Without that each item that waits for a
// target near it was offered to all idle targets elsewhere at each event.
func (c *Core) dispatch(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	sortQueue(c.queue, earliestEnd(now, c.spec))
	near := newNearness(now, c.spec, c.pool)
	inVain := map[string]int64{}
	list := c.pool.candidates(now)
	for len(list) > 0 && len(c.queue) > 0 {
		var t *target
		c.pool.examined += len(list)
		t, list = takeNext(list)
		if memory, tried := inVain[t.DataCentre]; tried && t.available(now, c.spec) <= memory {
			continue
		}
		if c.pool.fasterTakeAll(now, c.spec, t, len(c.queue)) || !c.limits.Allows(now, t.Target, coordinates) || !c.gate.Allows(t.Incarnation()) {
			continue
		}
		if c.start(near, t) {
			near.forget()
			clear(inVain)
			continue
		}
		inVain[t.DataCentre] = t.available(now, c.spec)
	}
	c.inspectSpares(near)
}

// coordinates is why the core gives out the calls of cold targets: it assembles all
// batches of its service.
func coordinates() bool { return true }

// start sends a target a batch of the first items of the queue that fit; false when none
// do.
func (c *Core) start(near *nearness, t *target) bool {
	now := near.now
	filling := newFilling(near, t)
	filling.suspects.running = c.running
	taken, rest := filling.split(c.queue)
	if len(taken) == 0 {
		return false
	}
	c.queue = rest
	items := make([]Item, len(taken))
	for i, q := range taken {
		q.queued = false
		q.running++
		q.attempts++
		items[i] = q.Item
	}
	n := len(items)
	expected := t.expected(now, c.spec, n)
	c.last++
	b := &batch{
		id: c.last, target: t, items: items, started: now, planned: planned(c.spec, n),
		expectedEnd: now.Add(expected), stuckAt: now.Add(stuckAfter(expected)),
	}
	c.running[b.id] = b
	t.running = b
	c.pool.sort(t)
	t.memory.reserve(items)
	c.limits.Take(now, t.Target)
	c.gate.Take(t.Incarnation())
	c.stats.Batches++
	c.stats.Items += int64(n)
	c.emit(Send{Batch: b.id, Target: t.Target, Items: items, Timeout: timeout(expected), TargetIdle: t.answered})
	return true
}

// inspectSpares has spare targets inspected for the groups that found no target: one for
// each group, in its data centre where there is one, else, unless a target there takes
// the group in time, where most are spare.
//
// Too few leave groups waiting for some milliseconds more; too many cost a call and a
// connection each.
func (c *Core) inspectSpares(near *nearness) {
	spare, asked := 0, 0
	for _, place := range c.pool.places {
		spare += len(place.spare.targets)
		asked += len(place.asked.targets)
	}
	if spare == 0 || asked >= maxInspecting {
		// A full service has a long queue, which need not be looked through at each event.
		return
	}
	wanted := map[*place]int{}
	for _, q := range firstOfGroups(c.queue) {
		if place := c.pool.spareFor(near, q); place != nil {
			wanted[place]++
		}
	}
	unmet := 0
	for _, place := range c.pool.places {
		n := min(wanted[place]-len(place.asked.targets), maxInspecting-asked, len(place.spare.targets))
		for range n {
			if !c.inspectSpare(place) {
				unmet++
				continue
			}
			asked++
		}
	}
	// Other data centres stand in for one whose spare targets may get no call.
	for _, place := range c.pool.places {
		for unmet > 0 && asked < maxInspecting && c.inspectSpare(place) {
			unmet--
			asked++
		}
	}
}

// inspectSpare has one spare target of a data centre inspected; false when none may get a
// call.
func (c *Core) inspectSpare(p *place) bool {
	for i := len(p.spare.targets) - 1; i >= 0; i-- {
		t := p.spare.targets[i]
		if !c.gate.Take(t.Incarnation()) {
			continue
		}
		t.inspection.running = true
		c.pool.sort(t)
		c.emit(Inspect{Target: t.Target})
		return true
	}
	return false
}

// spareFor returns the data centre in which a group needs a spare target; nil for none.
func (p *pool) spareFor(near *nearness, q *queuedItem) *place {
	own := p.byPlace[q.DataCentre]
	switch {
	case own != nil && own.unknown() > 0:
		return own
	case q.DataCentre != "" && near.takesInTime(q):
		return nil
	}
	return p.sparest()
}

// sparest returns the data centre with most spare targets; nil without data centres.
func (p *pool) sparest() *place {
	var most *place
	for _, place := range p.places {
		if most == nil || len(place.spare.targets) > len(most.spare.targets) {
			most = place
		}
	}
	return most
}

// inspectAgain has known targets inspected whose turn it is, while there is work for them.
func (c *Core) inspectAgain(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	for _, list := range c.pool.known() {
		c.pool.examined += len(list.targets)
		for _, t := range list.targets {
			if t.inspection.due(now) && c.gate.Take(t.Incarnation()) {
				t.inspection.running = true
				c.emit(Inspect{Target: t.Target})
			}
		}
	}
}

// inspected takes in what a target reports, or that it gave no answer.
func (c *Core) inspected(now time.Time, ev Inspected) {
	t := c.pool.byLife[ev.Target]
	if t == nil {
		return
	}
	if !t.inspection.answered {
		t.idleSince = now
	}
	if ev.Err != nil {
		t.inspection.failed()
	} else {
		t.inspection.reported(now, ev.Report, c.spec, ownWork{running: t.running != nil, bytes: t.memory.used()})
	}
	c.pool.sort(t)
}

// firstOfGroups returns the first item of each group of a queue, in its order.
func firstOfGroups(queue []*queuedItem) []*queuedItem {
	seen := make(map[groupKey]bool, len(queue))
	var first []*queuedItem
	for _, q := range queue {
		if !seen[q.group()] {
			seen[q.group()] = true
			first = append(first, q)
		}
	}
	return first
}
