package batching

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// queuedItem is an item that has no result yet, whether it waits in the queue or is
// in a batch.
type queuedItem struct {
	Item
	// attempts counts the batches that the item was part of.
	attempts int
	// running counts the batches that hold the item and have not ended or got stuck.
	running int
	// queued says that the item is in the queue.
	queued bool
	// ends counts the targets that ended with the item.
	ends int
}

// Core assembles the batches of one service: it owns the queue, the running batches
// and what is known of the targets, and applies the rules in the other files of the
// package. Create it with New; it is not safe for concurrent use.
type Core struct {
	// spec is what the catalog says of the service's batches; nil before it is known.
	spec *catalog.Batch
	// targets are in the order in which they were first listed.
	targets []*target
	byLife  map[directory.Life]*target
	// items are all that have no result yet, queue those of them that wait.
	items   map[Token]*queuedItem
	queue   []*queuedItem
	plans   plans
	running map[BatchID]*batch
	last    BatchID
	// evacuated says that all targets are in evacuated data centres.
	evacuated bool
	// limits bound the calls to cold targets.
	limits    *warmup.Limits
	budget    *retrybudget.Budget
	retention retention
	effects   []Effect
	stats     Stats
}

// Stats count what a core did since it was created.
type Stats struct {
	Batches, Items, Expired, Retries, Refused int64
}

// New returns a core without targets.
func New(budget retrybudget.Policy) *Core {
	return &Core{
		byLife:  map[directory.Life]*target{},
		items:   map[Token]*queuedItem{},
		running: map[BatchID]*batch{},
		plans:   plans{},
		limits:  warmup.New(),
		budget:  retrybudget.New(budget),
	}
}

// Handle takes in an event at a time and returns what the shell must do. The effects
// are valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = nil
	switch ev := ev.(type) {
	case Configure:
		c.configure(ev)
	case Plan:
		c.plans.add(ev)
		return nil
	case CancelPlan:
		c.plans.remove(ev.Request, ev.Stage)
		return nil
	case Submit:
		c.submit(now, ev)
	case Withdraw:
		c.withdraw(ev)
	case Finished:
		c.finished(now, ev)
	case Inspected:
		c.inspected(now, ev)
	case Release:
		c.release(now, ev.Target, ev.Handles)
	case Tick:
	}
	c.passTime(now)
	c.inspect(now)
	c.dispatch(now)
	c.dropUnreachable(now)
	return c.effects
}

// inspect has targets inspected whose turn it is, while there is work for them.
func (c *Core) inspect(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	for _, t := range c.targets {
		if t.usable && t.inspection.due(now) {
			t.inspection.running = true
			c.emit(Inspect{Target: t.Target})
		}
	}
}

func (c *Core) inspected(now time.Time, ev Inspected) {
	t := c.byLife[ev.Target]
	switch {
	case t == nil:
	case ev.Err != nil:
		t.inspection.failed()
	default:
		t.inspection.reported(now, ev.Report, c.spec, ownWork{running: t.running != nil, bytes: t.memory.used()})
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) configure(ev Configure) {
	if ev.Service != nil && ev.Service.Batch != nil {
		c.spec = ev.Service.Batch
	}
	c.evacuated = ev.AllEvacuated
	c.limits.SetBound(ev.WarmUp)
	for _, t := range c.targets {
		t.usable = false
	}
	for _, t := range ev.Targets {
		c.list(t)
	}
	c.targets = slices.DeleteFunc(c.targets, func(t *target) bool {
		if !t.forgettable() {
			return false
		}
		delete(c.byLife, t.Life())
		return true
	})
}

// list takes in a target of the service's list. One that started again under its identity
// is another: the results of its earlier lives are gone.
func (c *Core) list(listed directory.Target) {
	t := c.byLife[listed.Life()]
	if t == nil {
		c.loseResults(listed.ID)
		t = newTarget(listed)
		c.byLife[t.Life()] = t
		c.targets = append(c.targets, t)
	}
	t.Target = listed
	t.usable = t.Open()
}

// loseResults drops the results of a target's earlier lives.
func (c *Core) loseResults(id string) {
	for _, t := range c.targets {
		if t.ID == id {
			t.memory.lose()
		}
	}
}

func (c *Core) submit(now time.Time, ev Submit) {
	for _, item := range ev.Items {
		q := &queuedItem{Item: item, queued: true, ends: endsBefore(item)}
		c.items[item.Token] = q
		c.queue = append(c.queue, q)
		c.plans.remove(item.Request, item.Stage)
		c.budget.First(now)
	}
}

func (c *Core) withdraw(ev Withdraw) {
	for _, token := range ev.Tokens {
		c.forget(token)
	}
}

// forget drops an item, also from the queue.
func (c *Core) forget(token Token) {
	q := c.items[token]
	if q == nil {
		return
	}
	delete(c.items, token)
	if q.queued {
		c.queue = slices.DeleteFunc(c.queue, func(other *queuedItem) bool { return other == q })
	}
}

func (c *Core) release(now time.Time, life directory.Life, handles []string) {
	t := c.byLife[life]
	if t == nil || len(handles) == 0 {
		return
	}
	for _, h := range handles {
		if r, known := t.memory.stored[h]; known {
			c.retention.learn(now, r)
		}
		t.memory.release(h)
	}
	c.emit(Discard{Target: t.Target, Handles: handles})
}

// passTime drops results and plans whose time is over and items that cannot finish,
// and gives up batches that are stuck, in the order of the targets.
func (c *Core) passTime(now time.Time) {
	for _, t := range c.targets {
		t.memory.expire(now)
	}
	c.plans.expire(now)
	if c.evacuated {
		c.failUnservable()
	}
	for _, q := range slices.Clone(c.queue) {
		if q.running == 0 && !canFinish(now, c.spec, q.Deadline) {
			c.stats.Expired++
			c.fail(q.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item cannot be made in the time left"))
		}
	}
	for _, t := range c.targets {
		if b := t.running; b != nil && b.becomesStuck(now) {
			c.giveUp(now, b)
		}
	}
}

// failUnservable fails what waits while all targets are in evacuated data centres:
// nobody knows when one is taken back, and the callers get a time to retry after.
func (c *Core) failUnservable() {
	for _, q := range slices.Clone(c.queue) {
		if q.running == 0 {
			c.fail(q.Token, verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all data centres of the service are evacuated"))
		}
	}
}

// dropUnreachable fails the past-due items whose turn will not come in time.
func (c *Core) dropUnreachable(now time.Time) {
	if c.spec == nil {
		return
	}
	earliest := earliestEnd(now, c.spec)
	rate := c.capacity(now)
	for before, q := range slices.Clone(c.queue) {
		if q.running == 0 && q.pastDue(earliest) && !turnComesInTime(now, c.spec, rate, before, q.Deadline) {
			c.stats.Expired++
			c.fail(q.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the %d items before it leave no time", before))
		}
	}
}

// dispatch starts batches as long as there are items and eligible targets.
func (c *Core) dispatch(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	sortQueue(c.queue, earliestEnd(now, c.spec))
	for _, t := range eligibleTargets(now, c.spec, c.targets, len(c.queue)) {
		if len(c.queue) == 0 {
			return
		}
		if c.limits.Allows(now, t.Target, coordinates) {
			c.start(now, t)
		}
	}
}

// coordinates is why the core gives out the calls of cold targets: it assembles all
// batches of its service.
func coordinates() bool { return true }

// start sends a target a batch of the first items of the queue that fit, if any.
func (c *Core) start(now time.Time, t *target) {
	filling := newFilling(now, c.spec, t, c.targets)
	filling.suspects.running = c.running
	taken, rest := filling.split(c.queue)
	if len(taken) == 0 {
		return
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
	t.memory.reserve(items)
	c.limits.Sent(now, t.Target)
	c.stats.Batches++
	c.stats.Items += int64(n)
	c.emit(Send{Batch: b.id, Target: t.Target, Items: items, Timeout: timeout(expected), TargetIdle: t.answered})
}

// Idle says whether nothing waits and nothing runs.
func (c *Core) Idle() bool { return len(c.queue) == 0 && len(c.running) == 0 }
