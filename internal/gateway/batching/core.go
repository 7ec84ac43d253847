package batching

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// patienceFactor and patienceExtra say when a call counts as stuck.
	patienceFactor = 2.0
	patienceExtra  = 250 * time.Millisecond
	// limitFactor bounds a call by its patience; its items went elsewhere long
	// before.
	limitFactor = 3
	// planGrace is how long after items were due their plan is kept.
	planGrace = 500 * time.Millisecond
	// roomInUse is the part of the room that is taken on average when room bounds
	// the rate: calls come whole.
	roomInUse = 0.8
	// holdWeight is the weight of the newest result in the learnt time that
	// results take room.
	holdWeight = 0.05
	// maxAttempts bounds the calls that one item is part of.
	maxAttempts = 4
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
}

// planKey names the plan of one stage of one request.
type planKey struct {
	request string
	stage   int
}

// plan is what a request will ask for.
type plan struct {
	items int
	due   time.Time
}

// Core forms the calls of one service. Create it with New; it is not safe for
// concurrent use.
type Core struct {
	// spec is what the catalog says of the service's batches; nil before it is known.
	spec *catalog.Batch
	// targets are in the order in which they were first listed.
	targets []*target
	byID    map[string]*target
	items   map[Token]*queuedItem
	queue   []*queuedItem
	plans   map[planKey]plan
	running map[BatchID]*batch
	last    BatchID
	budget  *retrybudget.Budget
	// holding is the learnt time that a result takes room, in seconds, and
	// itemBytes the learnt size of one.
	holding   float64
	itemBytes float64
	effects   []Effect
	stats     Stats
}

// Stats count what the core did.
type Stats struct {
	Batches, Items, Expired, Retries, Refused int64
}

// New returns a core without targets.
func New(budget retrybudget.Policy) *Core {
	return &Core{
		byID:    map[string]*target{},
		items:   map[Token]*queuedItem{},
		running: map[BatchID]*batch{},
		plans:   map[planKey]plan{},
		budget:  retrybudget.New(budget),
	}
}

// Handle takes an event and returns what to do. The effects are valid until
// the next call.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	c.effects = nil
	switch ev := ev.(type) {
	case Configure:
		c.configure(ev)
	case Plan:
		c.plans[planKey{ev.Request, ev.Stage}] = plan{items: ev.Items, due: ev.Due}
		return nil
	case CancelPlan:
		delete(c.plans, planKey{ev.Request, ev.Stage})
		return nil
	case Submit:
		c.submit(now, ev)
	case Withdraw:
		c.withdraw(ev)
	case Finished:
		c.finished(now, ev)
	case Release:
		c.release(now, ev.Target, ev.Handles)
	case Tick:
	}
	c.passTime(now)
	c.dispatch(now)
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) configure(ev Configure) {
	if ev.Service != nil && ev.Service.Batch != nil {
		c.spec = ev.Service.Batch
	}
	listed := make(map[string]bool, len(ev.Targets))
	for _, t := range ev.Targets {
		listed[t.ID] = true
		c.list(t)
	}
	for _, t := range c.targets {
		if !listed[t.ID] {
			t.usable = false
		}
	}
	c.targets = slices.DeleteFunc(c.targets, func(t *target) bool {
		if !t.forgettable() {
			return false
		}
		delete(c.byID, t.ID)
		return true
	})
}

// list takes in a target of the service's list.
func (c *Core) list(listed directory.Target) {
	t := c.byID[listed.ID]
	if t == nil {
		t = newTarget(listed)
		c.byID[t.ID] = t
		c.targets = append(c.targets, t)
	}
	t.Target = listed
	t.usable = t.State != directory.Draining
}

func (c *Core) submit(now time.Time, ev Submit) {
	for _, item := range ev.Items {
		q := &queuedItem{Item: item, queued: true}
		c.items[item.Token] = q
		c.queue = append(c.queue, q)
		delete(c.plans, planKey{item.Request, item.Stage})
		c.budget.First(now)
	}
}

func (c *Core) withdraw(ev Withdraw) {
	for _, token := range ev.Tokens {
		c.forget(token)
	}
}

// forget drops an item from the books and the queue.
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

func (c *Core) release(now time.Time, id string, handles []string) {
	t := c.byID[id]
	if t == nil || len(handles) == 0 {
		return
	}
	for _, h := range handles {
		if r, known := t.memory.stored[h]; known {
			c.holding += holdWeight * (now.Sub(r.since).Seconds() - c.holding)
			c.itemBytes += holdWeight * (float64(r.bytes) - c.itemBytes)
		}
		t.memory.release(h)
	}
	c.emit(Discard{Target: t.Target, Handles: handles})
}

func (c *Core) finished(now time.Time, ev Finished) {
	done := c.running[ev.Batch]
	if done == nil {
		return
	}
	delete(c.running, ev.Batch)
	t := done.target
	t.running = nil
	t.memory.endReservation()
	if ev.Err != nil || len(ev.Outcomes) != len(done.items) {
		t.failed(now)
		c.returnItems(now, done, ev.Err)
		return
	}
	t.backoff.answered()
	t.answered = true
	t.slowdown.learn(now, now.Sub(done.started), done.planned)
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

// settle takes in one outcome and says whether its result is used.
func (c *Core) settle(now time.Time, done *batch, item Item, out Outcome) bool {
	t := done.target
	q := c.items[item.Token]
	if q == nil {
		return false
	}
	if !done.stuck {
		q.running--
	}
	switch out.Status {
	case Done:
		t.memory.store(out.Handle, storedResult{bytes: item.Bytes, since: done.started, expires: now.Add(c.spec.ResultTTL)})
		c.forget(item.Token)
		c.emit(Resolve{Token: item.Token, Result: Result{Handle: out.Handle, Target: t.ID, DataCentre: t.DataCentre}})
		return true
	case InputGone:
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input is gone at %s", t.ID))
	case PastDeadline:
		c.stats.Expired++
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time left had run out at %s", t.ID))
	case NoMemory:
		t.backoff.noMemory(now)
		c.requeue(now, q, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%s had no room", t.ID))
	case Failed:
		c.requeue(now, q, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s failed", t.ID))
	}
	return false
}

func (c *Core) fail(token Token, err *verdict.Error) {
	c.forget(token)
	c.emit(Resolve{Token: token, Err: err})
}

// returnItems puts the items of a call that failed or is stuck back.
func (c *Core) returnItems(now time.Time, failed *batch, err *verdict.Error) {
	if failed.stuck {
		return
	}
	if err == nil {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s answered for other items", failed.target.ID)
	}
	for _, item := range failed.items {
		if q := c.items[item.Token]; q != nil {
			q.running--
			c.requeue(now, q, err)
		}
	}
}

// requeue lets an item wait for another call, as far as the budget allows.
func (c *Core) requeue(now time.Time, q *queuedItem, cause *verdict.Error) {
	if q.queued {
		return
	}
	if q.attempts >= maxAttempts || !c.budget.Spend(now) {
		if q.running == 0 {
			c.stats.Refused++
			c.fail(q.Token, cause.WithVerdict(verdict.NotRun))
		}
		return
	}
	c.stats.Retries++
	q.queued = true
	c.queue = append(c.queue, q)
}

// passTime drops what is of no use any more and gives up on calls that are stuck.
func (c *Core) passTime(now time.Time) {
	for _, t := range c.targets {
		t.memory.expire(now)
	}
	maps.DeleteFunc(c.plans, func(_ planKey, p plan) bool { return now.After(p.due.Add(planGrace)) })
	for _, q := range slices.Clone(c.queue) {
		if q.running == 0 && !canFinish(now, c.spec, q.Deadline) {
			c.stats.Expired++
			c.fail(q.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item cannot be made in the time left"))
		}
	}
	for _, t := range c.targets {
		if b := t.running; b != nil && !b.stuck && !now.Before(b.stuckAt) {
			c.giveUp(now, b)
		}
	}
}

func (c *Core) giveUp(now time.Time, b *batch) {
	b.target.failed(now)
	b.target.slowdown.learn(now, now.Sub(b.started), b.planned)
	c.returnItems(now, b, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "%s did not answer", b.target.ID))
	b.stuck = true
}

// dispatch starts calls as long as there are items and targets for them.
func (c *Core) dispatch(now time.Time) {
	if c.spec == nil || len(c.queue) == 0 {
		return
	}
	sortQueue(c.queue, earliestEnd(now, c.spec))
	for _, t := range eligibleTargets(now, c.spec, c.targets, len(c.queue)) {
		if len(c.queue) == 0 {
			return
		}
		c.start(now, t)
	}
}

// start sends a target a batch of the first items of the queue that fit, if any.
func (c *Core) start(now time.Time, t *target) {
	taken, rest := newFilling(now, c.spec, t, c.targets).split(c.queue)
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
	patience := time.Duration(patienceFactor*float64(expected)) + patienceExtra
	c.last++
	b := &batch{
		id: c.last, target: t, items: items, started: now, planned: planned(c.spec, n),
		expectedEnd: now.Add(expected), stuckAt: now.Add(patience),
	}
	c.running[b.id] = b
	t.running = b
	t.memory.reserve(items)
	c.stats.Batches++
	c.stats.Items += int64(n)
	c.emit(Send{Batch: b.id, Target: t.Target, Items: items, Timeout: limitFactor * patience, TargetIdle: t.answered})
}

// Usable says whether an item may be sent to a target now; a shell asks once
// more just before it writes.
func (c *Core) Usable(id string) bool {
	t := c.byID[id]
	return t != nil && t.usable
}

// State is what a core holds, for logs and the state dump.
type State struct {
	Stats
	// Waiting counts items without a call; Late those of them that give way.
	Waiting, PastDue int
	// Targets counts those that take work, Working those with a call and Paused
	// those that are left alone.
	Targets, Busy, BackingOff int
	// UsedBytes and RoomBytes are the room taken and the room there is.
	UsedBytes, MemoryBytes int64
	// ItemsPerSecond is how many items all targets make with full calls.
	ItemsPerSecond float64
	// Planned counts items that will be submitted later.
	Planned int
	// Wait estimates how long a new item waits, and Backlog how long it takes to
	// make all that is waiting or planned.
	Wait, Backlog time.Duration
}

// State describes the core.
func (c *Core) State(now time.Time) State {
	s := State{Stats: c.stats, Waiting: len(c.queue)}
	if c.spec == nil {
		return s
	}
	soonest := time.Duration(-1)
	for _, t := range c.targets {
		s.UsedBytes += t.memory.used()
		if !t.usable {
			continue
		}
		s.Targets++
		s.MemoryBytes += c.spec.MemoryBytes
		if t.backoff.active(now) {
			s.BackingOff++
			continue
		}
		s.ItemsPerSecond += float64(c.spec.MaxItems) / t.expected(now, c.spec, c.spec.MaxItems).Seconds()
		left := time.Duration(0)
		if t.running != nil {
			s.Busy++
			left = max(t.running.expectedEnd.Sub(now), 0)
		}
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	earliest := earliestEnd(now, c.spec)
	for _, q := range c.queue {
		if q.pastDue(earliest) {
			s.PastDue++
		}
	}
	if room := c.roomPerSecond(s.MemoryBytes); room > 0 {
		s.ItemsPerSecond = min(s.ItemsPerSecond, room)
	}
	for _, p := range c.plans {
		s.Planned += p.items
	}
	if s.ItemsPerSecond > 0 {
		s.Backlog = soonest + time.Duration(float64(s.Waiting-s.PastDue+s.Planned)/s.ItemsPerSecond*float64(time.Second))
		s.Wait = soonest + time.Duration(float64(s.Waiting-s.PastDue)/s.ItemsPerSecond*float64(time.Second))
	}
	return s
}

// roomPerSecond is how many results the room lets the targets make, by how long
// results have been taking it; 0 for unknown.
func (c *Core) roomPerSecond(room int64) float64 {
	if c.holding <= 0 || c.itemBytes <= 0 {
		return 0
	}
	return roomInUse * float64(room) / (c.itemBytes * c.holding)
}

// Idle says whether nothing waits and nothing runs.
func (c *Core) Idle() bool { return len(c.queue) == 0 && len(c.running) == 0 }
