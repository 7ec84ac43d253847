package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// finishBatch takes in the end of a batch, also of one that got stuck before. An answer
// that is not for the items that were sent counts as a failure.
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
		if ev.Ended {
			c.recordCrash(done)
		}
		c.retryItems(now, done, ev.Err)
		return
	}
	t.backoff.recordSuccess()
	t.lastBatchAnswered = true
	t.slowdown.observe(now, now.Sub(done.sentAt), done.nominal)
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

// applyOutcome takes in the outcome of one item and says whether its result is used. An
// item whose input is gone or whose time is over at the target is not retried: no
// target could compute it.
func (c *Core) applyOutcome(now time.Time, done *batch, item Item, out Outcome) bool {
	t := done.target
	q := c.items[item.Token]
	if q == nil {
		return false
	}
	if !done.stuck {
		q.runningBatches--
	}
	switch out.Status {
	case Done:
		t.memory.store(out.Handle, storedResult{bytes: item.Bytes, sentAt: done.sentAt, expiresAt: now.Add(c.spec.ResultTTL)})
		c.removeItem(item.Token)
		c.emit(Resolve{Token: item.Token, Result: Result{Handle: out.Handle, Target: t.Life().String(), DataCentre: t.DataCentre}})
		return true
	case InputGone:
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input is gone at %s", t.ID))
	case PastDeadline:
		c.stats.Expired++
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time left had run out at %s", t.ID))
	case NoMemory:
		t.backoff.recordNoMemory(now)
		t.inspection.inspectNow(now)
		c.requeue(now, q, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%s had no room", t.ID))
	case Failed:
		c.requeue(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s failed", t.ID))
	}
	return false
}

// fail ends an item with an error.
func (c *Core) fail(token Token, err *verdict.Error) {
	c.removeItem(token)
	c.emit(Resolve{Token: token, Err: err})
}

// recordCrash notes that the target of a batch ended with its items, also of one that got
// stuck before. A group fails as a whole with an item that ends its targets: what of it
// waits is not sent first.
func (c *Core) recordCrash(ended *batch) {
	for _, item := range ended.items {
		q := c.items[item.Token]
		if q == nil {
			continue
		}
		q.crashes++
		if q.crashesTargets() {
			c.failGroup(q.group())
		}
	}
}

// failGroup fails the items of a group because they end their targets.
func (c *Core) failGroup(group groupKey) {
	for _, q := range slices.SortedFunc(maps.Values(c.items), func(a, b *queuedItem) int { return cmp.Compare(a.Token, b.Token) }) {
		if q.group() == group {
			c.stats.Refused++
			c.fail(q.Token, errCrashesTargets())
		}
	}
}

// clearCrashes notes that the target of a batch outlived its items.
func (c *Core) clearCrashes(answered *batch) {
	for _, item := range answered.items {
		if q := c.items[item.Token]; q != nil {
			q.crashes = 0
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
		if q := c.items[item.Token]; q != nil {
			q.runningBatches--
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
		c.fail(q.Token, cause.WithVerdict(verdict.NotRun))
	case leave:
	}
}

// markStuck takes in that a batch is stuck.
func (c *Core) markStuck(now time.Time, b *batch) {
	b.target.recordFailure(now)
	b.target.slowdown.observe(now, now.Sub(b.sentAt), b.nominal)
	c.retryItems(now, b, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "%s did not answer", b.target.ID))
	b.stuck = true
}
