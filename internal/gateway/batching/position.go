package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// maxQuote bounds what a plan is told. A plan that is past due has no end of its wait while
// work that is on time arrives faster than it is done; no client waits for a minute.
const maxQuote = time.Minute

// position knows the work that goes before a plan: the queued items and the plans, by priority
// and due time, and the arrivals that are expected. A nil position records nothing.
type position struct {
	byPriority map[int]*dueOrder
	arrivals   arrivals
	// planned holds what was recorded of the arrivals of plans.
	planned map[planKey]arrival
}

// newPosition returns the position of a core's queue and plans.
func newPosition(queue []*queuedItem, announced plans) *position {
	p := &position{byPriority: map[int]*dueOrder{}, planned: map[planKey]arrival{}}
	for _, q := range queue {
		p.enqueue(q)
	}
	for _, plan := range announced {
		p.add(plan.Due, plan.Priority, plan.size())
	}
	return p
}

// size returns the footprint of the plan's items.
func (p Plan) size() footprint { return footprint{items: p.Items, bytes: int64(p.Items) * p.Bytes} }

func (f footprint) negated() footprint { return footprint{}.minus(f) }

// add adds work to the order; a negative size removes it.
func (p *position) add(due time.Time, priority int, size footprint) {
	order := p.byPriority[priority]
	if order == nil {
		order = &dueOrder{}
		p.byPriority[priority] = order
	}
	order.add(due.UnixNano(), size)
	if order.root == nil {
		delete(p.byPriority, priority)
	}
}

// enqueue records an item that was put into the queue.
func (p *position) enqueue(q *queuedItem) {
	if p != nil {
		p.add(q.Due, q.Priority, footprint{items: 1, bytes: q.Bytes})
	}
}

// dequeue records an item that was taken out of the queue.
func (p *position) dequeue(q *queuedItem) {
	if p != nil {
		p.add(q.Due, q.Priority, footprint{items: -1, bytes: -q.Bytes})
	}
}

// announce records a plan.
func (p *position) announce(now, earliest time.Time, plan Plan) {
	if p == nil {
		return
	}
	p.add(plan.Due, plan.Priority, plan.size())
	if !earliest.After(plan.Due) {
		p.planned[planKey{plan.Request, plan.Stage}] = p.arrivals.record(now, aheadOf(now, plan.Due, plan.Priority), plan.size())
	}
}

// end records that a plan ended. The arrival of one that was cancelled is taken out.
func (p *position) end(now time.Time, plan Plan, cancelled bool) {
	if p == nil {
		return
	}
	p.add(plan.Due, plan.Priority, plan.size().negated())
	key := planKey{plan.Request, plan.Stage}
	if seen, known := p.planned[key]; known && cancelled {
		p.arrivals.remove(now, seen)
	}
	delete(p.planned, key)
}

// arrive records an item that was not planned.
func (p *position) arrive(now, earliest time.Time, q *queuedItem) {
	if p != nil && !q.pastDue(earliest) {
		p.arrivals.record(now, aheadOf(now, q.Due, q.Priority), footprint{items: 1, bytes: q.Bytes})
	}
}

// aheadOf returns how far a sort key lies ahead of a time.
func aheadOf(now, due time.Time, priority int) time.Duration {
	return due.Sub(now) + time.Duration(priority)*PriorityStep
}

// before returns the work that the order of batches (compareItems) puts before a plan. Work
// with the same sort key was there before and goes before it.
func (p *position) before(earliest time.Time, plan Plan) footprint {
	var sum footprint
	lastPastDue := earliest.UnixNano() - 1
	key := plan.Due.Add(time.Duration(plan.Priority) * PriorityStep)
	for priority, order := range p.byPriority {
		upTo := key.Add(-time.Duration(priority) * PriorityStep).UnixNano()
		pastDue := order.upTo(lastPastDue)
		switch {
		case earliest.After(plan.Due):
			sum = sum.plus(order.total()).minus(pastDue).plus(order.upTo(min(upTo, lastPastDue)))
		case upTo > lastPastDue:
			sum = sum.plus(order.upTo(upTo)).minus(pastDue)
		}
	}
	return sum
}

// PriorityWork is the queued and announced work of one priority.
type PriorityWork struct {
	Priority int
	Items    int
	Bytes    int64
}

// work returns the work by priority, the most urgent first.
func (p *position) work() []PriorityWork {
	if p == nil {
		return nil
	}
	var list []PriorityWork
	for _, priority := range slices.SortedFunc(maps.Keys(p.byPriority), cmp.Compare[int]) {
		total := p.byPriority[priority].total()
		list = append(list, PriorityWork{Priority: priority, Items: total.items, Bytes: total.bytes})
	}
	return list
}

// Quotes tells plans how long they wait. It is determined once for a message of plans and
// valid until the next event other than a Plan or a CancelPlan.
type Quotes struct {
	core  *Core
	now   time.Time
	state State
	// announced counts the items of the plans that were quoted before in the same message,
	// where the whole backlog counts.
	announced int
	// firstIdle is the time until the first target can take work.
	firstIdle time.Duration
	// bytesPerSecond is the rate at which the result memory turns over; 0 if unknown.
	bytesPerSecond float64
	// arrivals is the part of the last quote that is due to expected arrivals.
	arrivals time.Duration
	// queued holds the queued items of each group; nil until a plan needs them.
	queued map[groupKey][]*queuedItem
}

// Quotes returns the quotes for plans that are made now. It expires plans, at most once per
// scanInterval: a core that is idle gets no ticks, and while the plans of a lost node had each
// request refused, no other event followed that would have expired them.
func (c *Core) Quotes(now time.Time) *Quotes {
	if now.Sub(c.plansExpiredAt) >= scanInterval {
		c.expirePlans(now)
	}
	q := &Quotes{core: c, now: now}
	if c.position == nil || c.spec == nil {
		q.state = c.State(now)
		return q
	}
	q.firstIdle = c.addTargets(now, c.spec, &q.state)
	q.bytesPerSecond = c.retention.bytesPerSecond(q.state.MemoryBytes)
	c.position.arrivals.advance(now)
	return q
}

// ItemsPerSecond returns the combined rate of the targets; 0 without usable targets.
func (q *Quotes) ItemsPerSecond() float64 { return q.state.ItemsPerSecond }

// Arrivals returns which part of the last quote is due to the work that is expected to arrive
// while the plan waits. The rest is due to work that is known.
func (q *Quotes) Arrivals() time.Duration { return q.arrivals }

// Next returns how long the service takes for the work that goes before a plan, which must be
// handled before the next one is quoted. Without Admission.ByPosition this is the whole
// backlog.
//
// With it, the wait is the longer of two. The first is the time until the first target can
// take work and the time for the items before the plan at the rate of the targets. The second
// is the time in which the result memory for these items turns over, each at its own size.
// Both include the work that is expected to arrive during the wait and to go before the plan.
// Without usable targets the wait is 0, so that admission does not refuse by it.
//
// A wait that is too long refuses requests that would fit. One that is too short admits
// requests that are displaced.
//
// A plan whose group was submitted before, because its node did not get an answer in time, is
// not told its own items: the late answer refused the request because of them. If none of them
// is queued, all are in batches, and nothing goes before them.
func (q *Quotes) Next(p Plan) time.Duration {
	q.arrivals = 0
	submitted := q.core.Submitted(p)
	var own []*queuedItem
	if submitted {
		if own = q.queuedOf(p); len(own) == 0 {
			return 0
		}
	}
	switch {
	case q.core.position != nil && q.core.spec != nil:
		return q.byPosition(p, own)
	case submitted:
		return max(q.state.Backlog+q.state.TimeFor(q.announced-q.onTime(own)), 0)
	}
	wait := q.state.Backlog + q.state.TimeFor(q.announced)
	q.announced += p.Items
	return wait
}

// queuedOf returns the queued items of a plan whose group was submitted before.
func (q *Quotes) queuedOf(p Plan) []*queuedItem {
	if q.queued == nil {
		q.queued = make(map[groupKey][]*queuedItem)
		for _, item := range q.core.queue {
			q.queued[item.group()] = append(q.queued[item.group()], item)
		}
	}
	return q.queued[groupKey{p.Request, p.Stage}]
}

// onTime counts the items that are not past due.
func (q *Quotes) onTime(items []*queuedItem) int {
	earliest, n := q.core.earliestEnd(q.now), 0
	for _, item := range items {
		if !item.pastDue(earliest) {
			n++
		}
	}
	return n
}

// byPosition returns the wait of a plan of whose items some are queued already. Of these, the
// position counts those that the order of batches puts before the plan. That need not be all
// or none: the due time of a plan that was long under way is later than that of its items.
func (q *Quotes) byPosition(p Plan, own []*queuedItem) time.Duration {
	if q.state.ItemsPerSecond <= 0 {
		return 0
	}
	earliest := earliestEnd(q.now, q.core.spec)
	ahead := q.core.position.before(earliest, p)
	announced := &queuedItem{Item: Item{Due: p.Due, Priority: p.Priority}}
	for _, item := range own {
		if compareItems(item, announced, earliest) <= 0 {
			ahead = ahead.minus(footprint{items: 1, bytes: item.Bytes})
		}
	}
	alone, overtaken := q.overtaken(p, earliest.After(p.Due), q.firstIdle.Seconds()+float64(ahead.items)/q.state.ItemsPerSecond,
		func(c arrivalClass) float64 { return c.items / q.state.ItemsPerSecond })
	if q.bytesPerSecond > 0 {
		a, o := q.overtaken(p, earliest.After(p.Due), float64(ahead.bytes)/q.bytesPerSecond,
			func(c arrivalClass) float64 { return c.bytes / q.bytesPerSecond })
		if o > overtaken {
			alone, overtaken = a, o
		}
	}
	q.arrivals = seconds(overtaken - alone)
	return seconds(overtaken)
}

// overtaken returns a wait in seconds without and with the work that overtakes the plan, both
// bounded by maxQuote. load is the time that the arrivals of a class in one second take.
func (q *Quotes) overtaken(p Plan, pastDue bool, base float64, load func(arrivalClass) float64) (alone, wait float64) {
	ahead := aheadOf(q.now, p.Due, p.Priority).Seconds()
	classes := q.core.position.arrivals.classes
	list := make([]overtaking, 0, len(classes))
	for _, c := range slices.Backward(classes) {
		window := ahead - c.ahead()
		if pastDue {
			window = maxQuote.Seconds()
		}
		if window > 0 {
			list = append(list, overtaking{window: window, load: load(c)})
		}
	}
	return min(base, maxQuote.Seconds()), min(fixedPoint(base, list), maxQuote.Seconds())
}

func seconds(s float64) time.Duration { return saturate.Duration(s * float64(time.Second)) }
