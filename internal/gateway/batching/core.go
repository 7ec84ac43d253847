package batching

import (
	"slices"
	"sync"
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
	pool *pool
	// items are all that have no result yet, queue those of them that wait.
	items   map[ItemID]*queuedItem
	queue   []*queuedItem
	plans   plans
	running map[BatchID]*batch
	last    BatchID
	// evacuated says that all targets are in evacuated data centres.
	evacuated bool
	// limits bound the calls to cold targets.
	limits *warmup.Limiter
	// gate says what targets ask for.
	gate      Gate
	budget    *retrybudget.Budget
	retention retention
	effects   []Effect
	stats     Stats
	// passed is when passTargets last ran.
	passed time.Time
	// late is how late the last tick was.
	late time.Duration
}

// passInterval is how often passTargets runs besides ticks at most: it looks at all
// targets, 0.05 ms for a thousand, and a batch that got stuck is noticed as late as this.
const passInterval = 10 * time.Millisecond

// Stats count what a core did since it was created.
type Stats struct {
	Batches, Items, Expired, Retries, Refused int64
}

// Option changes a Core under construction.
type Option func(*Core)

// WithGate sets which targets may get a call; all by default.
func WithGate(g Gate) Option { return func(c *Core) { c.gate = g } }

// New returns a core without targets.
func New(budget retrybudget.Policy, opts ...Option) *Core {
	c := &Core{
		gate:    openGate{},
		pool:    newPool(),
		items:   map[ItemID]*queuedItem{},
		running: map[BatchID]*batch{},
		plans:   plans{},
		limits:  warmup.NewLimiter(),
		budget:  retrybudget.New(budget),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
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
		c.late = ev.Delay
	}
	if c.targetsDue(now, ev) {
		c.passed = now
		c.passTargets(now)
	}
	c.passQueue(now)
	c.inspectAgain(now)
	c.dispatch(now)
	c.dropUnreachable(now)
	return c.effects
}

// targetsDue says whether passTargets runs at an event.
func (c *Core) targetsDue(now time.Time, ev Event) bool {
	_, tick := ev.(Tick)
	return tick || now.Sub(c.passed) >= passInterval
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) configure(ev Configure) {
	if ev.Service != nil && ev.Service.Batch != nil {
		c.spec = ev.Service.Batch
	}
	c.evacuated = ev.AllEvacuated
	c.limits.SetBound(ev.WarmUp)
	for _, t := range c.pool.targets {
		t.listed = false
	}
	for _, t := range ev.Targets {
		c.list(t)
	}
	for _, t := range c.pool.targets {
		if !t.listed {
			t.usable = false
			c.pool.sort(t)
		}
	}
	c.pool.prune()
}

// list takes in a target of the service's list.
func (c *Core) list(listed directory.Target) {
	t := c.pool.byLife[listed.Incarnation()]
	if t == nil {
		t = newTarget(listed)
		c.pool.add(t)
	}
	t.Target = listed
	t.listed, t.usable = true, t.Schedulable()
	c.pool.sort(t)
}

func (c *Core) submit(now time.Time, ev Submit) {
	for _, item := range ev.Items {
		q := &queuedItem{Item: item, queued: true, ends: endsBefore(item)}
		c.items[item.ID] = q
		c.queue = append(c.queue, q)
		c.plans.remove(item.Request, item.Stage)
		c.budget.RecordRequest(now)
	}
}

func (c *Core) withdraw(ev Withdraw) {
	for _, token := range ev.ItemIDs {
		c.forget(token)
	}
}

// forget drops an item, also from the queue.
func (c *Core) forget(token ItemID) {
	q := c.items[token]
	if q == nil {
		return
	}
	delete(c.items, token)
	if q.queued {
		c.queue = slices.DeleteFunc(c.queue, func(other *queuedItem) bool { return other == q })
	}
}

func (c *Core) release(now time.Time, life directory.Incarnation, handles []string) {
	t := c.pool.byLife[life]
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

// passQueue drops plans whose time is over and items that cannot finish.
func (c *Core) passQueue(now time.Time) {
	c.plans.expire(now)
	if c.evacuated {
		c.failUnservable()
	}
	for _, q := range slices.Clone(c.queue) {
		if q.running == 0 && !canFinish(now, c.spec, q.Deadline) {
			c.stats.Expired++
			c.fail(q.ID, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item cannot be made in the time left"))
		}
	}
}

// passTargets drops results whose time is over and gives up batches that are stuck, in
// the order of the targets, and notes how the learnt speeds have aged.
func (c *Core) passTargets(now time.Time) {
	c.pool.examined += len(c.pool.targets)
	for _, t := range c.pool.targets {
		t.memory.expire(now)
		t.speed = speedClass(t.slowdown.at(now))
	}
	c.pool.rest(now)
	for _, t := range c.pool.targets {
		if b := t.running; b != nil && b.becomesStuck(now, c.late) {
			c.giveUp(now, b)
		}
	}
}

// failUnservable fails what waits while all targets are in evacuated data centres:
// nobody knows when one is taken back, and the callers get a time to retry after.
func (c *Core) failUnservable() {
	for _, q := range slices.Clone(c.queue) {
		if q.running == 0 {
			c.fail(q.ID, verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all data centres of the service are evacuated"))
		}
	}
}

// dropUnreachable fails the past-due items whose turn will not come in time.
func (c *Core) dropUnreachable(now time.Time) {
	if c.spec == nil {
		return
	}
	earliest := earliestEnd(now, c.spec)
	rate := sync.OnceValue(func() capacity { return c.capacity(now) })
	for before, q := range slices.Clone(c.queue) {
		if q.running == 0 && q.pastDue(earliest) && !turnComesInTime(now, c.spec, rate(), before, q.Deadline) {
			c.stats.Expired++
			c.fail(q.ID, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the %d items before it leave no time", before))
		}
	}
}

// Idle says whether nothing waits and nothing runs.
func (c *Core) Idle() bool { return len(c.queue) == 0 && len(c.running) == 0 }
