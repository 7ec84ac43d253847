package batching

import (
	"time"
)

// maxConcurrentInspections bounds the inspections of spare targets that run at once. An
// inspection takes about 4 ms, most of it for a new connection, so a coordinator can put
// thousands of targets per second into use. It could not read the answers to many more at
// once within the inspectTimeout of package gateway.
const maxConcurrentInspections = 32

// dispatch starts batches as long as there are queued items and eligible targets.
//
// A target that takes no item rules out the others in its data centre that have no more
// free memory, since nothing else makes a difference to which items fit. Otherwise each
// item that waits for a local target would be checked against all idle targets elsewhere
// at each event.
func (c *Core) dispatch(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	sortQueue(c.queue, earliestEnd(now, c.spec))
	loc := newLocality(now, c.spec, c.pool)
	declined := map[string]int64{}
	list := c.pool.candidates(now)
	busyKnown := false
	for len(list) > 0 && len(c.queue) > 0 {
		var t *target
		c.pool.examined++
		t, list = popBest(list)
		if memory, tried := declined[t.DataCentre]; tried && t.available(now, c.spec) <= memory {
			continue
		}
		if !busyKnown {
			c.busy.reset(now, c.spec, c.pool)
			busyKnown = true
		}
		if c.busy.fasterTargetsSuffice(t, len(c.queue)) || !c.limits.Allows(now, t.Target, isCoordinator) || !c.gate.Allows(t.Incarnation()) {
			continue
		}
		if c.startBatch(loc, t) {
			c.busy.add(t)
			loc.reset()
			clear(declined)
			continue
		}
		declined[t.DataCentre] = t.available(now, c.spec)
	}
	c.inspectSpares(loc)
}

// isCoordinator tells the warm-up limits that this core may use the allowance of cold
// targets. It always may, since it assembles all batches of its service.
func isCoordinator() bool { return true }

// startBatch sends a target the first items of the queue that fit into a batch. It
// returns false when none fit.
func (c *Core) startBatch(loc *locality, t *target) bool {
	now := loc.now
	filler := newBatchFiller(loc, t)
	filler.suspects.running = c.running
	taken, rest := filler.selectItems(c.queue)
	if len(taken) == 0 {
		return false
	}
	c.queue = rest
	items := make([]Item, len(taken))
	for i, q := range taken {
		c.dequeue(q)
		q.runningBatches++
		q.attempts++
		items[i] = q.Item
	}
	n := len(items)
	expected := t.expectedDuration(now, c.spec, n)
	c.lastBatch++
	b := &batch{
		id: c.lastBatch, target: t, items: items, sentAt: now, nominal: nominalDuration(c.spec, n),
		expectedEnd: now.Add(expected), stuckAt: now.Add(stuckAfter(expected)), timeoutAt: now.Add(sendTimeout(expected)),
	}
	c.running[b.id] = b
	t.running = b
	c.pool.reclassify(t)
	t.memory.reserve(items)
	c.started.record(items)
	c.limits.Take(now, t.Target)
	c.gate.Take(t.Incarnation())
	c.stats.Batches++
	c.stats.Items += int64(n)
	c.emit(Send{Batch: b.id, Target: t.Target, Items: items, Timeout: sendTimeout(expected), TargetIdle: t.lastBatchAnswered})
	return true
}

// inspectSpares requests inspections of spare targets for the groups that found no
// target, one per group. It is in the group's own data centre if that has targets that
// were not inspected; otherwise, unless a local target can take the group in time, where
// most targets are spare.
//
// Too few inspections leave groups waiting for some milliseconds more; too many cost a
// call and a connection each.
func (c *Core) inspectSpares(loc *locality) {
	spare, inspecting := 0, 0
	for _, dc := range c.pool.dataCentres {
		spare += len(dc.spare.targets)
		inspecting += len(dc.inspecting.targets)
	}
	if spare == 0 || inspecting >= maxConcurrentInspections {
		// Nothing can be inspected, so the queue need not be traversed: it is long when
		// all targets are in use.
		return
	}
	wanted := map[*dataCentreTargets]int{}
	for _, q := range firstPerGroup(c.queue) {
		if dc := c.pool.dataCentreToInspect(loc, q); dc != nil {
			wanted[dc]++
		}
	}
	unmet := 0
	for _, dc := range c.pool.dataCentres {
		n := min(wanted[dc]-len(dc.inspecting.targets), maxConcurrentInspections-inspecting, len(dc.spare.targets))
		for range n {
			if !c.inspectSpare(dc) {
				unmet++
				continue
			}
			inspecting++
		}
	}
	// For each inspection that the gate denied, inspect a spare target in any data
	// centre.
	for _, dc := range c.pool.dataCentres {
		for unmet > 0 && inspecting < maxConcurrentInspections && c.inspectSpare(dc) {
			unmet--
			inspecting++
		}
	}
}

// inspectSpare requests the inspection of one spare target of a data centre. It returns
// false when the gate allows no call to any of them.
func (c *Core) inspectSpare(dc *dataCentreTargets) bool {
	for i := len(dc.spare.targets) - 1; i >= 0; i-- {
		t := dc.spare.targets[i]
		if !c.gate.Take(t.Incarnation()) {
			continue
		}
		t.inspection.running = true
		c.pool.reclassify(t)
		c.emit(Inspect{Target: t.Target})
		return true
	}
	return false
}

// dataCentreToInspect returns the data centre in which to inspect a spare target for a
// group; nil for none.
func (p *pool) dataCentreToInspect(loc *locality, q *queuedItem) *dataCentreTargets {
	own := p.byDataCentre[q.DataCentre]
	switch {
	case own != nil && own.uninspected() > 0:
		return own
	case q.DataCentre != "" && loc.localInTime(q):
		return nil
	}
	return p.mostSpare()
}

// mostSpare returns the data centre with the most spare targets; nil if there are no data
// centres.
func (p *pool) mostSpare() *dataCentreTargets {
	var most *dataCentreTargets
	for _, dc := range p.dataCentres {
		if most == nil || len(dc.spare.targets) > len(most.spare.targets) {
			most = dc
		}
	}
	return most
}

// reinspect requests the inspections that are due at idle and busy targets, as long as
// items are queued.
func (c *Core) reinspect(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	for _, list := range c.pool.inspectedLists() {
		c.pool.examined += len(list.targets)
		for _, t := range list.targets {
			if t.inspection.due(now) && c.gate.Take(t.Incarnation()) {
				t.inspection.running = true
				c.emit(Inspect{Target: t.Target})
			}
		}
	}
}

// recordInspection records a target's report, or that it gave none.
func (c *Core) recordInspection(now time.Time, ev Inspected) {
	t := c.pool.byIncarnation[ev.Target]
	if t == nil {
		return
	}
	if !t.inspection.completed {
		t.idleSince = now
	}
	if ev.Err != nil {
		t.inspection.recordFailure()
	} else {
		t.inspection.recordReport(now, ev.Report, c.spec, ownWork{running: t.running != nil, bytes: t.memory.used()})
		t.recordReportedSlowdown(now, ev.Report.Slowdown)
	}
	c.pool.reclassify(t)
}

// firstPerGroup returns the first item of each group, in the order of the queue.
func firstPerGroup(queue []*queuedItem) []*queuedItem {
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
