package batching

import (
	"cmp"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/catalog"
	"github.com/honeydyke/honeydyke/internal/directory"
	"github.com/honeydyke/honeydyke/internal/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// patienceFactor and patienceExtra say when a call counts as stuck.
	patienceFactor = 2.0
	patienceExtra  = 250 * time.Millisecond
	// limitFactor bounds a call by its patience; its items went elsewhere long
	// before.
	limitFactor = 3
	// priorityStep is how much later an item of the next priority counts as due.
	priorityStep = 200 * time.Millisecond
	// maxAttempts bounds the calls that one item is part of.
	maxAttempts = 4
)

// work is an item that has no result yet.
type work struct {
	Item
	attempts int
	// running counts the calls at work that hold the item.
	running int
	waiting bool
}

// call is a call at work.
type call struct {
	target  string
	items   []Item
	started time.Time
	planned time.Duration
	stuckAt time.Time
	// stuck calls have outlasted their patience; their items wait elsewhere.
	stuck bool
}

// Core forms the calls of one service. Create it with New; it is not safe for
// concurrent use.
type Core struct {
	batch   *catalog.Batch
	targets map[string]*target
	order   []string
	works   map[Token]*work
	queue   []*work
	calls   map[CallID]*call
	last    CallID
	budget  *retrybudget.Budget
	effects []Effect
	stats   Stats
}

// Stats count what the core did.
type Stats struct {
	Calls, Items, Expired, Repeats, Refused int64
}

// New returns a core without targets.
func New(budget retrybudget.Policy) *Core {
	return &Core{
		targets: map[string]*target{},
		works:   map[Token]*work{},
		calls:   map[CallID]*call{},
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
	case Submit:
		c.submit(now, ev)
	case Withdraw:
		c.withdraw(ev)
	case Finished:
		c.finished(now, ev)
	case Release:
		c.release(ev.Target, ev.Handles)
	case Tick:
	}
	c.passTime(now)
	c.dispatch(now)
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) configure(ev Configure) {
	if ev.Service != nil && ev.Service.Batch != nil {
		c.batch = ev.Service.Batch
	}
	seen := make(map[string]bool, len(ev.Targets))
	for _, t := range ev.Targets {
		seen[t.ID] = true
		if c.targets[t.ID] == nil {
			c.targets[t.ID] = newTarget(t)
			c.order = append(c.order, t.ID)
		}
		c.targets[t.ID].Target = t
		c.targets[t.ID].usable = t.State != directory.Draining
	}
	for id, t := range c.targets {
		if !seen[id] {
			t.usable = false
		}
	}
	c.order = slices.DeleteFunc(c.order, c.forgettable)
}

// forgettable drops a target that is gone, has no call and holds nothing.
func (c *Core) forgettable(id string) bool {
	t := c.targets[id]
	if t.usable || t.call != 0 || len(t.results) > 0 {
		return false
	}
	delete(c.targets, id)
	return true
}

func (c *Core) submit(now time.Time, ev Submit) {
	for _, item := range ev.Items {
		w := &work{Item: item, waiting: true}
		c.works[item.Token] = w
		c.queue = append(c.queue, w)
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
	w := c.works[token]
	if w == nil {
		return
	}
	delete(c.works, token)
	if w.waiting {
		c.queue = slices.DeleteFunc(c.queue, func(other *work) bool { return other == w })
	}
}

func (c *Core) release(id string, handles []string) {
	t := c.targets[id]
	if t == nil || len(handles) == 0 {
		return
	}
	for _, h := range handles {
		t.release(h)
	}
	c.emit(Free{Target: t.Target, Handles: handles})
}

func (c *Core) finished(now time.Time, ev Finished) {
	done := c.calls[ev.Call]
	if done == nil {
		return
	}
	delete(c.calls, ev.Call)
	t := c.targets[done.target]
	if t == nil {
		return
	}
	t.call = 0
	t.reserved = 0
	if ev.Err != nil || len(ev.Outcomes) != len(done.items) {
		t.failed(now)
		c.returnItems(now, done, ev.Err)
		return
	}
	t.failures = 0
	t.learn(now, now.Sub(done.started), done.planned)
	var unused []string
	for i, out := range ev.Outcomes {
		if !c.settle(now, t, done, done.items[i], out) && out.Handle != "" {
			unused = append(unused, out.Handle)
		}
	}
	if len(unused) > 0 {
		c.emit(Free{Target: t.Target, Handles: unused})
	}
}

// settle takes in one outcome and says whether its result is used.
func (c *Core) settle(now time.Time, t *target, done *call, item Item, out Outcome) bool {
	w := c.works[item.Token]
	if w == nil {
		return false
	}
	if !done.stuck {
		w.running--
	}
	switch out.Refusal {
	case Made:
		t.hold(out.Handle, item.Bytes, now.Add(c.batch.HandleTTL))
		c.forget(item.Token)
		c.emit(Resolve{Token: item.Token, Result: Result{Handle: out.Handle, Target: t.ID, DataCentre: t.DataCentre}})
		return true
	case InputGone:
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input is gone at %s", t.ID))
	case Late:
		c.stats.Expired++
		c.fail(item.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time left had run out at %s", t.ID))
	case NoRoom:
		t.pausedUntil = now.Add(noRoomPause)
		c.requeue(now, w, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%s had no room", t.ID))
	case Failed:
		c.requeue(now, w, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s failed", t.ID))
	}
	return false
}

func (c *Core) fail(token Token, err *verdict.Error) {
	c.forget(token)
	c.emit(Resolve{Token: token, Err: err})
}

// returnItems puts the items of a call that failed or is stuck back.
func (c *Core) returnItems(now time.Time, failed *call, err *verdict.Error) {
	if failed.stuck {
		return
	}
	if err == nil {
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "%s answered for other items", failed.target)
	}
	for _, item := range failed.items {
		if w := c.works[item.Token]; w != nil {
			w.running--
			c.requeue(now, w, err)
		}
	}
}

// requeue lets an item wait for another call, as far as the budget allows.
func (c *Core) requeue(now time.Time, w *work, cause *verdict.Error) {
	if w.waiting {
		return
	}
	if w.attempts >= maxAttempts || !c.budget.Spend(now) {
		if w.running == 0 {
			c.stats.Refused++
			c.fail(w.Token, cause.WithVerdict(verdict.NotRun))
		}
		return
	}
	c.stats.Repeats++
	w.waiting = true
	c.queue = append(c.queue, w)
}

// passTime drops what is of no use any more and gives up on calls that are stuck.
func (c *Core) passTime(now time.Time) {
	for _, t := range c.targets {
		t.expire(now)
	}
	for _, w := range slices.Clone(c.queue) {
		if !now.Before(w.Deadline) && w.running == 0 {
			c.stats.Expired++
			c.fail(w.Token, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the item waited too long"))
		}
	}
	for _, running := range c.calls {
		if !running.stuck && !now.Before(running.stuckAt) {
			c.giveUp(now, running)
		}
	}
}

func (c *Core) giveUp(now time.Time, running *call) {
	t := c.targets[running.target]
	t.failed(now)
	t.learn(now, now.Sub(running.started), running.planned)
	c.returnItems(now, running, verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "%s did not answer", running.target))
	running.stuck = true
}

// dispatch starts calls as long as there are items and targets for them.
func (c *Core) dispatch(now time.Time) {
	if c.batch == nil {
		return
	}
	for len(c.queue) > 0 {
		c.sort(now)
		t := c.pick(now, c.queue[0])
		if t == nil || !c.start(now, t) {
			return
		}
	}
}

// sort puts items that can still be in time first, by when they are due.
func (c *Core) sort(now time.Time) {
	soonest := now.Add(planned(c.batch, 1))
	slices.SortStableFunc(c.queue, func(a, b *work) int {
		if late := compareBool(soonest.After(a.Due), soonest.After(b.Due)); late != 0 {
			return late
		}
		return cmp.Compare(a.rank(), b.rank())
	})
}

func (w *work) rank() int64 {
	return w.Due.Add(time.Duration(w.Priority) * priorityStep).UnixNano()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// pick returns the idle target at which the item ends first, or nil when
// waiting for another is better.
func (c *Core) pick(now time.Time, w *work) *target {
	var best *target
	var bestCost time.Duration
	for _, id := range c.order {
		t := c.targets[id]
		if !t.idle(now) || t.room(c.batch) < w.Bytes {
			continue
		}
		cost := t.expected(now, c.batch, 1)
		if w.DataCentre != "" && t.DataCentre != w.DataCentre {
			cost += cost / 8
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil || c.worthWaiting(now, bestCost) {
		return nil
	}
	return best
}

// worthWaiting says whether a busy target would be done with its call and the
// next one before an idle target is.
func (c *Core) worthWaiting(now time.Time, idleCost time.Duration) bool {
	for _, id := range c.order {
		t := c.targets[id]
		if !t.usable || t.call == 0 || c.calls[t.call].stuck {
			continue
		}
		left := max(t.free.Sub(now), 0)
		if left+t.expected(now, c.batch, 1) < idleCost {
			return true
		}
	}
	return false
}

// start sends the most urgent items that fit to a target.
func (c *Core) start(now time.Time, t *target) bool {
	room := t.room(c.batch)
	var items []Item
	var rest []*work
	for _, w := range c.queue {
		if len(items) < c.batch.Size && w.Bytes <= room {
			room -= w.Bytes
			w.waiting = false
			w.running++
			w.attempts++
			items = append(items, w.Item)
			continue
		}
		rest = append(rest, w)
	}
	if len(items) == 0 {
		return false
	}
	c.queue = rest
	c.last++
	n := len(items)
	expected := t.expected(now, c.batch, n)
	patience := time.Duration(patienceFactor*float64(expected)) + patienceExtra
	c.calls[c.last] = &call{
		target: t.ID, items: items, started: now, planned: planned(c.batch, n), stuckAt: now.Add(patience),
	}
	t.call = c.last
	t.free = now.Add(expected)
	for _, item := range items {
		t.reserved += item.Bytes
	}
	c.stats.Calls++
	c.stats.Items += int64(n)
	c.emit(Start{Call: c.last, Target: t.Target, Items: items, Limit: limitFactor * patience})
	return true
}

// Usable says whether an item may be sent to a target now; a shell asks once
// more just before it writes.
func (c *Core) Usable(id string) bool {
	t := c.targets[id]
	return t != nil && t.usable
}

// Wait estimates how long a new item waits before its call starts.
func (c *Core) Wait(now time.Time) time.Duration {
	usable := 0
	for _, t := range c.targets {
		if t.usable && !now.Before(t.pausedUntil) {
			usable++
		}
	}
	if c.batch == nil || usable == 0 {
		return 0
	}
	full := planned(c.batch, c.batch.Size)
	return time.Duration(float64(full) * float64(len(c.queue)) / float64(usable*c.batch.Size))
}

// Idle says whether nothing waits and nothing runs.
func (c *Core) Idle() bool { return len(c.queue) == 0 && len(c.calls) == 0 }

// Stats returns the counts so far and how many items wait.
func (c *Core) Stats() (Stats, int) { return c.stats, len(c.queue) }
