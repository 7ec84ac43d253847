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

// queuedItem is an item that has no result yet. It is in the queue, in at least one
// batch, or both.
type queuedItem struct {
	Item
	// attempts counts the batches that the item was part of.
	attempts int
	// runningBatches counts the batches that hold the item and have neither ended nor
	// become stuck.
	runningBatches int
	// queued reports whether the item is in the queue.
	queued bool
	// crashes counts the targets that crashed while they had the item.
	crashes int
}

// Core assembles the batches of one service. It owns the queue, the running batches and
// the state of the targets, and applies the rules in the other files of the package.
// Create it with New. It is not safe for concurrent use.
type Core struct {
	// spec holds the batch parameters of the service; nil until the catalog is known.
	spec *catalog.Batch
	pool *pool
	// busy holds the busy targets while dispatch chooses among idle ones.
	busy *busyTargets
	// items holds every item without a result, queue those of them that wait for a batch.
	items map[ItemID]*queuedItem
	queue []*queuedItem
	// submitted counts the items of each group without a result.
	submitted map[groupKey]int
	// position knows what goes before a plan; nil without Admission.ByPosition.
	position  *position
	plans     plans
	running   map[BatchID]*batch
	lastBatch BatchID
	// allEvacuated reports whether all targets are in evacuated data centres.
	allEvacuated bool
	// limits bounds the calls to cold targets.
	limits *warmup.Limiter
	// gate bounds the calls to targets that asked for fewer.
	gate      Gate
	budget    *retrybudget.Budget
	retention retention
	effects   []Effect
	stats     Stats
	// lastScan is when scanTargets last ran.
	lastScan time.Time
	// plansExpiredAt is when expirePlans last ran.
	plansExpiredAt time.Time
	// tickDelay is how late the last tick was.
	tickDelay time.Duration
	// admission are the rules of admission that apply.
	admission Admission
	// started holds the requests of which a batch had items.
	started startedRequests
}

// scanInterval is the minimum time from one scan of all targets to the next at an event
// other than a tick. A scan of a thousand targets takes 0.05 ms and is not made at each
// event; in return the detection of a stuck batch may be delayed by the interval.
const scanInterval = 10 * time.Millisecond

// Stats counts what a core has done since it was created.
type Stats struct {
	Batches, Items, Expired, Retries, Refused int64
	// Withdrawn counts groups.
	Withdrawn int64
}

// Option configures a Core under construction.
type Option func(*Core)

// WithGate sets the gate that bounds the calls to targets. By default nothing is bounded.
func WithGate(g Gate) Option { return func(c *Core) { c.gate = g } }

// New returns a core without targets.
func New(budget retrybudget.Policy, opts ...Option) *Core {
	c := &Core{
		gate:      allowAllGate{},
		busy:      &busyTargets{classes: map[int]*busyClass{}},
		pool:      newPool(),
		items:     map[ItemID]*queuedItem{},
		submitted: map[groupKey]int{},
		running:   map[BatchID]*batch{},
		plans:     plans{},
		started:   newStartedRequests(),
		limits:    warmup.NewLimiter(),
		budget:    retrybudget.New(budget),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Handle processes one event and returns the effects that the caller must carry out. The
// effects are valid until the next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = nil
	switch ev := ev.(type) {
	case Configure:
		c.configure(ev)
	case Plan:
		c.addPlan(now, ev)
		return nil
	case CancelPlan:
		c.endPlan(now, planKey{ev.Request, ev.Stage}, true)
		return nil
	case Submit:
		c.submit(now, ev)
	case Withdraw:
		c.withdraw(ev)
	case Finished:
		c.finishBatch(now, ev)
	case Inspected:
		c.recordInspection(now, ev)
	case Release:
		c.release(now, ev.Target, ev.Handles)
	case Tick:
		c.tickDelay = ev.Delay
	}
	if c.scanDue(now, ev) {
		c.lastScan = now
		c.scanTargets(now)
	}
	c.expireQueue(now)
	c.reinspect(now)
	c.dispatch(now)
	if _, tick := ev.(Tick); tick {
		c.withdrawDisplaced(now)
		c.started.prune(now, c.items)
	}
	c.dropUnschedulable(now)
	return c.effects
}

// scanDue reports whether scanTargets runs at an event.
func (c *Core) scanDue(now time.Time, ev Event) bool {
	_, tick := ev.(Tick)
	return tick || now.Sub(c.lastScan) >= scanInterval
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) configure(ev Configure) {
	if ev.Service != nil && ev.Service.Batch != nil {
		c.spec = ev.Service.Batch
	}
	c.allEvacuated = ev.AllEvacuated
	c.admission = ev.Admission
	switch {
	case !ev.Admission.ByPosition:
		c.position = nil
	case c.position == nil:
		c.position = newPosition(c.queue, c.plans)
	}
	c.limits.SetBound(ev.WarmUp)
	for _, t := range c.pool.targets {
		t.listed = false
	}
	for _, t := range ev.Targets {
		c.addListed(t)
	}
	for _, t := range c.pool.targets {
		if !t.listed {
			t.usable = false
			c.pool.reclassify(t)
		}
	}
	c.pool.prune()
}

// addListed adds or updates a target from the service's target list.
func (c *Core) addListed(listed directory.Target) {
	t := c.pool.byIncarnation[listed.Incarnation()]
	if t == nil {
		t = newTarget(listed)
		c.pool.add(t)
	}
	t.Target = listed
	t.listed, t.usable = true, t.Schedulable()
	c.pool.reclassify(t)
}

func (c *Core) submit(now time.Time, ev Submit) {
	var group groupKey
	planned := false
	for i, item := range ev.Items {
		q := &queuedItem{Item: item, queued: true, crashes: priorCrashes(item)}
		if i == 0 || q.group() != group {
			group = q.group()
			planned = c.endPlan(now, planKey{item.Request, item.Stage}, false)
		}
		if !planned {
			c.position.arrive(now, c.earliestEnd(now), q)
		}
		c.items[item.ID] = q
		c.submitted[group]++
		c.queue = append(c.queue, q)
		c.position.enqueue(q)
		c.budget.RecordRequest(now)
	}
}

// withdraw removes items. They are taken out of the queue in one pass: with one pass for
// each, the withdrawal of 20,000 items kept a coordinator from answering for 3.8 s.
func (c *Core) withdraw(ev Withdraw) {
	for _, id := range ev.ItemIDs {
		if q := c.items[id]; q != nil {
			c.forget(q)
			c.dequeue(q)
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedItem) bool { return c.items[q.ID] != q })
}

// removeItem drops an item and takes it out of the queue.
func (c *Core) removeItem(id ItemID) {
	q := c.items[id]
	if q == nil {
		return
	}
	c.forget(q)
	if c.dequeue(q) {
		c.queue = slices.DeleteFunc(c.queue, func(other *queuedItem) bool { return other == q })
	}
}

// dequeue records that an item leaves the queue, and reports whether it was there. The caller
// removes it from c.queue.
func (c *Core) dequeue(q *queuedItem) bool {
	if !q.queued {
		return false
	}
	q.queued = false
	c.position.dequeue(q)
	return true
}

// earliestEnd returns when an item that is sent now can be ready; now without a catalog.
func (c *Core) earliestEnd(now time.Time) time.Time {
	if c.spec == nil {
		return now
	}
	return earliestEnd(now, c.spec)
}

// forget drops an item. The caller takes it out of the queue.
func (c *Core) forget(q *queuedItem) {
	delete(c.items, q.ID)
	c.submitted[q.group()]--
	if c.submitted[q.group()] <= 0 {
		delete(c.submitted, q.group())
	}
}

func (c *Core) release(now time.Time, incarnation directory.Incarnation, handles []string) {
	t := c.pool.byIncarnation[incarnation]
	if t == nil || len(handles) == 0 {
		return
	}
	for _, h := range handles {
		if r, known := t.memory.stored[h]; known {
			c.retention.observe(now, r)
		}
		t.memory.release(h)
	}
	c.emit(Discard{Target: t.Target, Handles: handles})
}

// expireQueue drops expired plans, and fails queued items that cannot finish before their
// deadline.
func (c *Core) expireQueue(now time.Time) {
	c.expirePlans(now)
	if c.allEvacuated {
		c.failEvacuated()
	}
	c.failQueued(func(_ int, q *queuedItem) *verdict.Error {
		if canFinish(now, c.spec, q.Deadline) {
			return nil
		}
		c.stats.Expired++
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item cannot finish before its deadline")
	})
}

// scanTargets drops expired results, updates the speed classes, which change as slowdowns
// decay, makes long idle targets spare, and handles stuck batches, in the order of the
// targets.
func (c *Core) scanTargets(now time.Time) {
	c.pool.examined += len(c.pool.targets)
	for _, t := range c.pool.targets {
		t.memory.expire(now)
		t.speedClass = speedClassOf(t.slowdown.at(now))
	}
	c.pool.expireIdle(now)
	for _, t := range c.pool.targets {
		if b := t.running; b != nil && b.becomesStuck(now, c.tickDelay) {
			c.markStuck(now, b)
		}
	}
}

// failEvacuated fails the items that are in no batch while all targets are in evacuated
// data centres. Nobody knows when an evacuation will be lifted, so callers get a time to
// retry after instead of waiting.
func (c *Core) failEvacuated() {
	c.failQueued(func(int, *queuedItem) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all data centres of the service are evacuated")
	})
}

// failQueued ends the queued items, but for those in a running batch, for which decide returns
// an error. decide gets the number of items before each. The queue is gone through once: with
// one pass for each item that fails, dropping 7,000 of 20,000 kept a coordinator from answering
// for 6 s.
func (c *Core) failQueued(decide func(ahead int, q *queuedItem) *verdict.Error) {
	ahead := -1
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedItem) bool {
		ahead++
		if q.runningBatches > 0 {
			return false
		}
		err := decide(ahead, q)
		if err == nil {
			return false
		}
		c.forget(q)
		c.dequeue(q)
		c.emit(Resolve{ItemID: q.ID, Err: err})
		return true
	})
}

// dropUnschedulable fails the past-due items that cannot be in a batch early enough to be
// ready before their deadline (canStartInTime). Items that a running batch holds are left
// to it.
func (c *Core) dropUnschedulable(now time.Time) {
	if c.spec == nil {
		return
	}
	earliest := earliestEnd(now, c.spec)
	rate := sync.OnceValue(func() capacity { return c.capacity(now) })
	c.failQueued(func(ahead int, q *queuedItem) *verdict.Error {
		if !q.pastDue(earliest) || canStartInTime(now, c.spec, rate(), ahead, q.Deadline) {
			return nil
		}
		c.stats.Expired++
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item cannot finish before its deadline behind %d others", ahead)
	})
}

// Idle reports whether the queue is empty and no batch is running.
func (c *Core) Idle() bool { return len(c.queue) == 0 && len(c.running) == 0 }
