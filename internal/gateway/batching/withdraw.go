package batching

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// startedPruneInterval is how often startedRequests drops entries. Each pass looks at all
// items and entries, so it is not made at each tick; in return an entry is kept for up to
// this much longer than needed.
const startedPruneInterval = time.Second

// Withdrawn is the cause of the error with which the items of a withdrawn group are resolved.
// It describes the group that no longer fitted, which is the withdrawn group itself or a more
// valuable one.
type Withdrawn struct {
	// Priority is the group's, End when it was projected to be done, and Due when it was due.
	Priority int
	End, Due time.Time
}

// Error implements error.
func (w Withdrawn) Error() string {
	return fmt.Sprintf("work of priority %d would be done %v after it is due", w.Priority, w.End.Sub(w.Due).Round(time.Millisecond))
}

// withdrawDisplaced refuses queued groups of which nothing has run, if more urgent work went
// before them or before more valuable groups, so that these would be late (projection).
// It runs once per tick, after dispatch has sorted the queue.
//
// A group can be withdrawn if its stage has no inputs, if no item of its request was ever in
// a batch of this coordinator, and if WithdrawableUntil has not passed. Without a catalog or a
// usable target nothing is withdrawn, since no wait is known.
//
// An admitted request that is displaced would otherwise wait until its deadline, and its
// client would learn only then that it has to retry. Withdrawing too much refuses requests
// that would have been in time; withdrawing too little holds requests in vain.
func (c *Core) withdrawDisplaced(now time.Time) {
	if !c.admission.Withdraw || c.spec == nil || len(c.queue) == 0 {
		return
	}
	most := c.projectedCapacity(now)
	if most.itemsPerSecond <= 0 {
		return
	}
	if displaced := displacedGroups(now, c.spec, most, c.queuedGroups(now)); len(displaced) > 0 {
		c.withdrawGroups(displaced)
	}
}

// projectedCapacity returns the capacity that a projection is made with. Unlike the upper bound
// of capacity, by which items are dropped, it does not count on stuck batches: their targets take
// no work until the calls time out. They count from then on while all targets are stuck. Those
// that back off count, since most do so for a fraction of a batch.
func (c *Core) projectedCapacity(now time.Time) capacity {
	working, stuck := availability{firstIdle: math.MaxInt64}, availability{firstIdle: math.MaxInt64}
	usable := c.pool.uninspected()
	if usable > 0 {
		working.add(0, nominalRate(c.spec, usable))
	}
	for _, list := range c.pool.inspectedLists() {
		usable += len(list.targets)
		c.pool.examined += len(list.targets)
		for _, t := range list.targets {
			free := &working
			if t.isStuck() {
				free = &stuck
			}
			free.add(max(t.running.left(now), t.backoff.left(now)), c.limitedRate(now, c.spec, t))
		}
	}
	if working.firstIdle == math.MaxInt64 {
		working = stuck
	}
	if bound := c.retention.itemsPerSecond(int64(usable) * c.spec.MemoryBytes); bound > 0 {
		working.itemsPerSecond = min(working.itemsPerSecond, bound)
	}
	return capacity{itemsPerSecond: working.itemsPerSecond, firstIdle: working.firstIdle}
}

// withdrawGroups fails all items of groups that are queued as a whole.
func (c *Core) withdrawGroups(groups map[groupKey]Withdrawn) {
	var gone []*queuedItem
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedItem) bool {
		_, withdrawn := groups[q.group()]
		if withdrawn {
			gone = append(gone, q)
		}
		return withdrawn
	})
	c.stats.Withdrawn += int64(len(groups))
	for _, q := range gone {
		c.forget(q)
		c.dequeue(q)
		c.emit(Resolve{ItemID: q.ID, Err: verdict.New(verdict.NotRun, verdict.ReasonOverload,
			"withdrawn, more urgent work goes before it").WithCause(groups[q.group()])})
	}
}

// queuedGroups returns the groups in the queue, in the order of their first items.
func (c *Core) queuedGroups(now time.Time) []*queuedGroup {
	earliest := earliestEnd(now, c.spec)
	byKey := make(map[groupKey]*queuedGroup)
	var groups []*queuedGroup
	var g *queuedGroup
	for _, q := range c.queue {
		// The items of a group are next to each other, apart from those of equal sort keys.
		if g == nil || g.key != q.group() {
			g = byKey[q.group()]
		}
		if g == nil {
			g = &queuedGroup{
				key: q.group(), due: q.Due, priority: q.Priority, position: len(groups),
				pastDue: q.pastDue(earliest), withdrawable: !c.started.contains(q.Request),
			}
			byKey[g.key] = g
			groups = append(groups, g)
		}
		g.items++
		// Items of a group that was submitted twice differ if it was at another coordinator
		// in between, which may have run it.
		g.withdrawable = g.withdrawable && q.withdrawable(now)
	}
	return groups
}

// withdrawable reports whether an item may be withdrawn if nothing of its request has run here.
func (q *queuedItem) withdrawable(now time.Time) bool {
	return len(q.Inputs) == 0 && now.Before(q.WithdrawableUntil)
}

// queuedGroup is a group as a projection sees it.
type queuedGroup struct {
	key   groupKey
	items int
	due   time.Time
	// priority is as in Item, position the group's place in the queue.
	priority, position int
	pastDue            bool
	withdrawable       bool
}

// displacedGroups returns the groups of a queue that are to be withdrawn, with the reason.
//
// While each group fits, the queue is left alone, and what is a little late stays. Once one
// does not fit, the groups of its priority and less urgent ones have to be in time without any
// tolerance. Otherwise those that are late by a part of a batch would stay. They would become
// past due, go behind all others, and be withdrawn just before their due time. More urgent
// groups keep the tolerance: they may have objectives that are hardly longer than a batch.
func displacedGroups(now time.Time, spec *catalog.Batch, most capacity, groups []*queuedGroup) map[groupKey]Withdrawn {
	tolerant := newProjection(now, spec, most)
	tolerant.addAll(groups)
	if len(tolerant.withdrawn) == 0 {
		return nil
	}
	strict := newProjection(now, spec, most)
	strict.strictFrom = math.MaxInt
	for _, cause := range tolerant.withdrawn {
		strict.strictFrom = min(strict.strictFrom, cause.Priority)
	}
	strict.strict = true
	strict.addAll(groups)
	return strict.withdrawn
}

// projection projects when the groups of a queue will be done, and decides which of them are
// withdrawn so that the others are in time.
//
// Groups are added in the order of the queue. The items ahead of a group take the time that
// the combined rate of the targets gives (projectedCapacity), after the first target is idle. The group itself
// then takes as long as a full batch in the catalog. It fits if it is done later than due by
// at most that duration, which is to say if its batch begins before it is due: the estimate is
// no more accurate than a batch, and no group is withdrawn for its own batch alone. Where the
// projection is strict, a group fits if it is done before it is due.
//
// If a group does not fit, the least valuable of the withdrawable groups among it and those
// before it is withdrawn, until it fits: the one with the highest priority number, and among
// these the one that is due latest. Three cases withdraw less than that:
//
//   - If it would not even fit without any of the less valuable groups, these stay, and it is
//     withdrawn itself if that is allowed.
//   - No group of a more urgent priority is withdrawn for it.
//   - Past due, it is not worth the place of a group that can be in time. Without this case, a
//     single late group that cannot be withdrawn would have all others withdrawn that can be.
//
// The cost is that of sorting the groups by value.
type projection struct {
	now      time.Time
	capacity capacity
	// batch is the duration of a full batch.
	batch time.Duration
	// strict is whether groups of the priority strictFrom and less urgent ones have to be done
	// before they are due.
	strict     bool
	strictFrom int
	// ahead counts the items of the groups that were added and stay.
	ahead int
	// removable holds the withdrawable groups that were added and stay, the least valuable
	// first, and removableItems counts their items by priority.
	removable      leastValuableFirst
	removableItems map[int]int
	withdrawn      map[groupKey]Withdrawn
}

func newProjection(now time.Time, spec *catalog.Batch, most capacity) *projection {
	return &projection{
		now: now, capacity: most, batch: nominalDuration(spec, spec.MaxItems),
		removableItems: map[int]int{}, withdrawn: map[groupKey]Withdrawn{},
	}
}

func (p *projection) addAll(groups []*queuedGroup) {
	for _, g := range groups {
		p.add(g)
	}
}

// add adds the next group of the queue.
func (p *projection) add(g *queuedGroup) {
	if !p.makeRoom(g) {
		return
	}
	p.ahead += g.items
	if g.withdrawable {
		heap.Push(&p.removable, g)
		p.removableItems[g.priority] += g.items
	}
}

// makeRoom withdraws groups so that a group fits. It returns false if that group itself was
// withdrawn. A group that stays although it cannot be in time gets at least the room to be
// done within the tolerance.
func (p *projection) makeRoom(g *queuedGroup) bool {
	margins := []time.Duration{0}
	// Without items ahead, only its own batch would make the group late.
	if p.strict && g.priority >= p.strictFrom && p.ahead > 0 {
		margins = []time.Duration{p.batch, 0}
	}
	for _, margin := range margins {
		excess := p.excess(g, margin)
		if excess == 0 {
			return true
		}
		cause := Withdrawn{Priority: g.priority, End: p.end(), Due: g.due}
		if p.lessValuable(g) >= excess {
			for p.excess(g, margin) > 0 {
				p.withdrawLeastValuable(cause)
			}
			return true
		}
		if g.withdrawable {
			p.withdrawn[g.key] = cause
			return false
		}
	}
	return true
}

// end returns when a group that is added next is projected to be done.
func (p *projection) end() time.Time {
	return p.now.Add(p.capacity.firstIdle + durationFor(p.ahead, p.capacity.itemsPerSecond) + p.batch)
}

// excess returns how many of the items ahead have to go for the batch of a group to begin a
// margin before the group is due. It is more than all of them if that is not enough.
func (p *projection) excess(g *queuedGroup, margin time.Duration) int {
	left := g.due.Sub(p.now) - p.capacity.firstIdle - margin
	if left < 0 {
		return p.ahead + 1
	}
	return max(p.ahead-saturate.Int(left.Seconds()*p.capacity.itemsPerSecond), 0)
}

// lessValuable counts the items ahead of a group that may be withdrawn in its favour.
func (p *projection) lessValuable(g *queuedGroup) int {
	if g.pastDue {
		return 0
	}
	items := 0
	for priority, n := range p.removableItems {
		// Of its own priority, those ahead of a withdrawable group are due earlier, and
		// it goes before they do.
		if priority > g.priority || priority == g.priority && !g.withdrawable {
			items += n
		}
	}
	return items
}

// withdrawLeastValuable withdraws the least valuable group that was added.
func (p *projection) withdrawLeastValuable(cause Withdrawn) {
	least := heap.Pop(&p.removable).(*queuedGroup)
	p.withdrawn[least.key] = cause
	p.ahead -= least.items
	p.removableItems[least.priority] -= least.items
}

// leastValuableFirst is a heap of groups (container/heap).
type leastValuableFirst []*queuedGroup

func (h leastValuableFirst) Len() int      { return len(h) }
func (h leastValuableFirst) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h leastValuableFirst) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].priority, h[i].priority), h[j].due.Compare(h[i].due), cmp.Compare(h[j].position, h[i].position)) < 0
}

// Push implements heap.Interface.
func (h *leastValuableFirst) Push(g any) { *h = append(*h, g.(*queuedGroup)) }

// Pop implements heap.Interface.
func (h *leastValuableFirst) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return g
}

// startedRequests holds the requests of which a batch had items, so that no group of them is
// withdrawn as not run. An entry is kept until the latest deadline of these items, and for as
// long as an item of the request has no result. The zero value is not usable.
type startedRequests struct {
	until    map[string]time.Time
	prunedAt time.Time
}

func newStartedRequests() startedRequests {
	return startedRequests{until: map[string]time.Time{}}
}

func (s *startedRequests) contains(request string) bool {
	_, started := s.until[request]
	return started
}

// record records the requests of the items of a batch.
func (s *startedRequests) record(items []Item) {
	for _, item := range items {
		if item.Deadline.After(s.until[item.Request]) {
			s.until[item.Request] = item.Deadline
		}
	}
}

// prune drops entries that are no longer needed, at most once per startedPruneInterval.
func (s *startedRequests) prune(now time.Time, items map[ItemID]*queuedItem) {
	if now.Sub(s.prunedAt) < startedPruneInterval {
		return
	}
	s.prunedAt = now
	open := make(map[string]bool)
	for _, q := range items {
		open[q.Request] = true
	}
	for request, until := range s.until {
		if now.After(until) && !open[request] {
			delete(s.until, request)
		}
	}
}
