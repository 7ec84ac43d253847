package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// finishBatch handles the end of a batch, including one that became stuck. An answer with
// a different number of outcomes than items were sent counts as a failure.
func (c *Core) finishBatch(now time.Time, ev Finished) {
	done := c.running[ev.Batch]
	if done == nil {
		return
	}
	delete(c.running, ev.Batch)
	t := done.target
	t.running = nil
	t.idleSince = now
	c.pool.reclassify(t)
	t.memory.endReservation()
	if ev.Err != nil || len(ev.Outcomes) != len(done.items) {
		t.recordFailure(now)
		if ev.TargetCrashed {
			c.recordCrash(done)
		}
		c.retryItems(now, done, ev.Err)
		return
	}
	t.backoff.recordSuccess()
	t.lastBatchAnswered = true
	t.slowdown.observeAnswer(now, now.Sub(done.sentAt), done.nominal, ev.Slowdown)
	t.speedClass = speedClassOf(t.slowdown.at(now))
	c.clearCrashes(done)
	var unused []string
	for i, out := range ev.Outcomes {
		if !c.applyOutcome(now, done, done.items[i], out) && out.Handle != "" {
			unused = append(unused, out.Handle)
		}
	}
	if len(unused) > 0 {
		c.emit(Discard{Target: t.Target, Handles: unused})
	}
}

// applyOutcome applies the outcome of one item and reports whether its result is used. An
// item is not retried if an input is gone or if its deadline passed at the target, since
// no other target could compute it.
func (c *Core) applyOutcome(now time.Time, done *batch, item Item, out Outcome) bool {
	t := done.target
	q := c.items[item.ID]
	if q == nil {
		return false
	}
	if !done.stuck {
		q.runningBatches--
	}
	switch out.Status {
	case Done:
		t.memory.store(out.Handle, storedResult{bytes: item.Bytes, sentAt: done.sentAt, expiresAt: now.Add(c.spec.ResultTTL)})
		c.removeItem(item.ID)
		c.emit(Resolve{ItemID: item.ID, Result: Result{Handle: out.Handle, Target: t.Incarnation().String(), DataCentre: t.DataCentre}})
		return true
	case InputGone:
		c.fail(item.ID, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input of the item no longer existed when target %s needed it", t.ID))
	case PastDeadline:
		c.stats.Expired++
		c.fail(item.ID, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline had passed when target %s reached the item", t.ID))
	case NoMemory:
		t.backoff.recordNoMemory(now)
		t.inspection.inspectNow(now)
		c.requeue(now, q, verdict.New(verdict.NotRun, verdict.ReasonOverload, "target %s had no memory for the result", t.ID))
	case Failed:
		c.requeue(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "target %s failed to compute the result", t.ID))
	}
	return false
}

// fail ends an item with an error.
func (c *Core) fail(id ItemID, err *verdict.Error) {
	c.removeItem(id)
	c.emit(Resolve{ItemID: id, Err: err})
}

// recordCrash records that the target of a batch, which may be stuck, crashed while it
// had the items. If an item has crashed too many targets, its whole group fails, so that
// the queued items of the group are not sent to crash further targets.
func (c *Core) recordCrash(ended *batch) {
	for _, item := range ended.items {
		q := c.items[item.ID]
		if q == nil {
			continue
		}
		q.crashes++
		if q.crashesTargets() {
			c.failGroup(q.group())
		}
	}
}

// failGroup fails the items of a group because they crash targets.
func (c *Core) failGroup(group groupKey) {
	for _, q := range slices.SortedFunc(maps.Values(c.items), func(a, b *queuedItem) int { return cmp.Compare(a.ID, b.ID) }) {
		if q.group() == group {
			c.stats.Refused++
			c.fail(q.ID, errCrashesTargets())
		}
	}
}

// clearCrashes resets the crash counts of a batch's items, since its target survived
// them.
func (c *Core) clearCrashes(answered *batch) {
	for _, item := range answered.items {
		if q := c.items[item.ID]; q != nil {
			q.crashes = 0
		}
	}
}

// retryItems takes the items out of a failed or stuck batch and retries them. Those of a
// batch that became stuck earlier were retried then.
func (c *Core) retryItems(now time.Time, failed *batch, err *verdict.Error) {
	if failed.stuck {
		return
	}
	if err == nil {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "target %s answered with another number of outcomes than items were sent", failed.target.ID)
	}
	for _, item := range failed.items {
		if q := c.items[item.ID]; q != nil {
			q.runningBatches--
			c.requeue(now, q, err)
		}
	}
}

// requeue puts an item back into the queue, fails it with cause, or leaves it as it is,
// as decideRetry says.
func (c *Core) requeue(now time.Time, q *queuedItem, cause *verdict.Error) {
	switch decideRetry(q, func() bool { return c.budget.Spend(now) }) {
	case retry:
		c.stats.Retries++
		q.queued = true
		c.queue = append(c.queue, q)
		c.position.enqueue(q)
	case fail:
		c.stats.Refused++
		c.fail(q.ID, cause.WithVerdict(verdict.NotRun))
	case leave:
	}
}

// markStuck marks a batch as stuck and retries its items.
func (c *Core) markStuck(now time.Time, b *batch) {
	b.target.recordFailure(now)
	b.target.slowdown.observeOverdue(now, now.Sub(b.sentAt), b.nominal)
	c.retryItems(now, b, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "target %s did not answer in time", b.target.ID))
	b.stuck = true
}
