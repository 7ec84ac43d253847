package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// finished takes in the end of a batch, also of one that got stuck before. An answer
// that is not for the items that were sent counts as a failure.
func (c *Core) finished(now time.Time, ev Finished) {
	done := c.running[ev.Batch]
	if done == nil {
		return
	}
	delete(c.running, ev.Batch)
	t := done.target
	t.running = nil
	t.idleSince = now
	c.pool.sort(t)
	t.memory.endReservation()
	if ev.Err != nil || len(ev.Outcomes) != len(done.items) {
		t.failed(now)
		if ev.TargetCrashed {
			c.countEnd(done)
		}
		c.retryItems(now, done, ev.Err)
		return
	}
	t.backoff.answered()
	t.answered = true
	t.slowdown.learn(now, now.Sub(done.started), done.planned)
	t.speed = speedClass(t.slowdown.at(now))
	c.clear(done)
	var unused []string
	for i, out := range ev.Outcomes {
		if !c.settle(now, done, done.items[i], out) && out.Handle != "" {
			unused = append(unused, out.Handle)
		}
	}
	if len(unused) > 0 {
		c.emit(Discard{Target: t.Target, Handles: unused})
	}
}

// settle takes in the outcome of one item and says whether its result is used. An
// item whose input is gone or whose time is over at the target is not retried: no
// target could compute it.
func (c *Core) settle(now time.Time, done *batch, item Item, out Outcome) bool {
	t := done.target
	q := c.items[item.ID]
	if q == nil {
		return false
	}
	if !done.stuck {
		q.running--
	}
	switch out.Status {
	case Done:
		t.memory.store(out.Handle, storedResult{bytes: item.Bytes, since: done.started, expires: now.Add(c.spec.ResultTTL)})
		c.forget(item.ID)
		c.emit(Resolve{ItemID: item.ID, Result: Result{Handle: out.Handle, Target: t.Incarnation().String(), DataCentre: t.DataCentre}})
		return true
	case InputGone:
		c.fail(item.ID, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input is gone at %s", t.ID))
	case PastDeadline:
		c.stats.Expired++
		c.fail(item.ID, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time left had run out at %s", t.ID))
	case NoMemory:
		t.backoff.noMemory(now)
		t.inspection.again(now)
		c.requeue(now, q, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%s had no room", t.ID))
	case Failed:
		c.requeue(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s failed", t.ID))
	}
	return false
}

// fail ends an item with an error.
func (c *Core) fail(token ItemID, err *verdict.Error) {
	c.forget(token)
	c.emit(Resolve{ItemID: token, Err: err})
}

// countEnd notes that the target of a batch ended with its items, also of one that got
// stuck before. A group fails as a whole with an item that ends its targets: what of it
// waits is not sent first.
func (c *Core) countEnd(ended *batch) {
	for _, item := range ended.items {
		q := c.items[item.ID]
		if q == nil {
			continue
		}
		q.ends++
		if q.endsTargets() {
			c.failGroup(q.group())
		}
	}
}

// failGroup fails the items of a group because they end their targets.
func (c *Core) failGroup(group groupKey) {
	for _, q := range slices.SortedFunc(maps.Values(c.items), func(a, b *queuedItem) int { return cmp.Compare(a.ID, b.ID) }) {
		if q.group() == group {
			c.stats.Refused++
			c.fail(q.ID, errEndsTargets())
		}
	}
}

// clear notes that the target of a batch outlived its items.
func (c *Core) clear(answered *batch) {
	for _, item := range answered.items {
		if q := c.items[item.ID]; q != nil {
			q.ends = 0
		}
	}
}

// retryItems takes the items of a batch that failed or is stuck out of it, and retries
// them; those of a batch that got stuck before have been.
func (c *Core) retryItems(now time.Time, failed *batch, err *verdict.Error) {
	if failed.stuck {
		return
	}
	if err == nil {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s answered for other items", failed.target.ID)
	}
	for _, item := range failed.items {
		if q := c.items[item.ID]; q != nil {
			q.running--
			c.requeue(now, q, err)
		}
	}
}

// requeue queues an item again, or fails it with a cause, by the rule of retries.
func (c *Core) requeue(now time.Time, q *queuedItem, cause *verdict.Error) {
	switch decideRetry(q, func() bool { return c.budget.Spend(now) }) {
	case retry:
		c.stats.Retries++
		q.queued = true
		c.queue = append(c.queue, q)
	case fail:
		c.stats.Refused++
		c.fail(q.ID, cause.WithVerdict(verdict.NotRun))
	case leave:
	}
}

// giveUp takes in that a batch is stuck.
func (c *Core) giveUp(now time.Time, b *batch) {
	b.target.failed(now)
	b.target.slowdown.learn(now, now.Sub(b.started), b.planned)
	c.retryItems(now, b, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "%s did not answer", b.target.ID))
	b.stuck = true
}
