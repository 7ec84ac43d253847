package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// retryShare is how many retries a first attempt pays for when the pool is
	// idle; the share shrinks to nothing as the pool fills.
	retryShare = 0.2
	// proofPrice is what a retry after a proof of not-run takes of the budget.
	proofPrice = 0.2
	// subset is how many targets of a pool a node uses while they are well.
	subset = 32
	// retryBank is the most retries saved up.
	retryBank = 10
	// fairAllowance is how much more work an organisation with a weight of 1 may
	// have had than the least served one and still go first, in items of the mean
	// size held.
	fairAllowance = 4
	// maxEjectedShare is the largest share of a pool that may be ejected.
	maxEjectedShare = 0.5
)

// pool holds the targets of one pool and the work that waits for them.
type pool struct {
	spec *bundle.Pool
	// all holds every target of the pool, those that this node prefers first.
	all []*target
	// allSlots counts the slots of all.
	allSlots int
	// targets is the part of all that this node uses; see widen.
	targets []*target
	queues  map[string]*queue
	held    int
	// heldWork is the expected time of all held work.
	heldWork time.Duration
	// busyAt is when work was last held, or all slots reported taken.
	busyAt time.Time
	// virtual is the largest virtual time of any queue that was served.
	virtual float64
	// retries and proven are the budgets of retries after a loss and after a proof
	// of not-run.
	retries, proven float64
	turn            uint64
	// retired is the number of the bundle that no longer names the pool; 0
	// while it is in force.
	retired int
	scratch []routing.Candidate
	indexes []int
}

// queue holds one organisation's work, the least slack first.
type queue struct {
	organisation string
	weight       float64
	// virtual is the weighted work that the organisation has had.
	virtual float64
	items   itemHeap
}

// item is one Submit that waits or runs.
type item struct {
	Submit
	expected time.Duration
	// latest is the latest start from which the request can still be whole in
	// time.
	latest time.Time
	index  int
	pool   *pool
	target *target
}

func newPool(spec *bundle.Pool) *pool {
	return &pool{spec: spec, queues: make(map[string]*queue), retries: retryBank, proven: retryBank}
}

// slots counts the slots of the targets that may get work.
func (p *pool) slots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if !t.leaving && !t.ejected(now) {
			n += t.spec.Slots
		}
	}
	return n
}

// share returns this node's part of the pool's slots: of all of them, as far as
// the targets that it uses are usable, divided among the nodes.
func (p *pool) share(now time.Time, nodes int) float64 {
	used := slotsOf(p.targets)
	if used == 0 {
		return 0
	}
	usable := float64(p.slots(now)) / float64(used)
	return usable * float64(p.allSlots) / float64(nodes)
}

func slotsOf(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += t.spec.Slots
	}
	return n
}

// widen lets the node use more targets while fewer than half of those that it
// uses are usable. A node uses few of a large pool's targets, so that its
// connections, reports and decisions do not grow with the pool.
func (p *pool) widen(now time.Time) {
	for len(p.targets) < len(p.all) && 2*p.usable(now) < min(subset, len(p.all)) {
		p.targets = p.all[:min(len(p.all), 2*max(1, len(p.targets)))]
	}
}

// usable counts the targets in use that may get work.
func (p *pool) usable(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if !t.leaving && !t.ejected(now) {
			n++
		}
	}
	return n
}

// load returns the share of the slots that this node's calls take.
func (p *pool) load(now time.Time) float64 {
	slots := p.slots(now)
	if slots == 0 {
		return 1
	}
	busy := 0
	for _, t := range p.targets {
		busy += t.inFlight
	}
	return min(1, float64(busy)/float64(slots))
}

// mayEject says whether one more target may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	ejected := 1
	for _, t := range p.targets {
		if t.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(p.targets))
}

// earnRetry lets a first attempt pay into the budgets of retries.
func (p *pool) earnRetry(now time.Time) {
	earned := retryShare * (1 - p.load(now))
	p.retries = min(retryBank, p.retries+earned)
	p.proven = min(retryBank, p.proven+earned)
}

// takeRetry pays for a retry. One after a proof of not-run has cost the target
// next to nothing; it is cheap, and losses do not use up its budget: the targets
// that are left of a pool can take what others refuse because they leave.
func (p *pool) takeRetry(kind Retry) bool {
	budget, price := &p.retries, 1.0
	if kind == AfterProof {
		budget, price = &p.proven, proofPrice
	}
	if *budget < price {
		return false
	}
	*budget -= price
	return true
}

// choose returns a free target for the item, or nil. Excluded targets are
// taken only where no other target may get work.
func (p *pool) choose(now time.Time, it *item, c *Config, rng *rand.Rand) *target {
	if !p.fill(now, it.Exclude, c.DataCentre) {
		p.fill(now, nil, c.DataCentre)
	}
	p.turn++
	q := routing.Query{Prefix: it.Prefix, Turn: p.turn}
	i := routing.Choose(c.Policy, p.scratch, q, rng)
	if i < 0 {
		return nil
	}
	return p.targets[p.indexes[i]]
}

// fill lists the usable targets outside exclude and says whether there are any.
func (p *pool) fill(now time.Time, exclude []string, dataCentre string) bool {
	p.scratch = p.scratch[:0]
	p.indexes = p.indexes[:0]
	for i, t := range p.targets {
		if t.usable(now) && !slices.Contains(exclude, t.spec.Name) {
			p.scratch = append(p.scratch, t.candidate(now, dataCentre))
			p.indexes = append(p.indexes, i)
		}
	}
	return len(p.scratch) > 0
}

// hold puts the item into its organisation's queue.
func (p *pool) hold(now time.Time, it *item, weight float64) {
	p.busyAt = now
	q := p.queues[it.Organisation]
	if q == nil {
		q = &queue{organisation: it.Organisation}
		p.queues[it.Organisation] = q
	}
	q.weight = weight
	if len(q.items) == 0 {
		q.virtual = max(q.virtual, p.virtual)
	}
	heap.Push(&q.items, it)
	p.held++
	p.heldWork += it.expected
}

// remove takes a held item out of its queue.
func (p *pool) remove(now time.Time, it *item) {
	p.busyAt = now
	q := p.queues[it.Organisation]
	heap.Remove(&q.items, it.index)
	p.held--
	p.heldWork -= it.expected
	if len(q.items) == 0 && q.virtual <= p.virtual {
		delete(p.queues, it.Organisation)
	}
}

// next returns the queue to serve: among the organisations that have not had
// much more than the least served one for their weight, the one whose first item
// has the least slack. Short waits go by slack alone; over longer ones no
// organisation gets ahead of its weight.
func (p *pool) next() *queue {
	least := math.Inf(1)
	for _, q := range p.queues {
		if len(q.items) > 0 {
			least = min(least, q.virtual)
		}
	}
	allowed := least + fairAllowance*(p.heldWork/time.Duration(max(1, p.held))).Seconds()
	var first *queue
	for _, q := range p.queues {
		if len(q.items) == 0 || q.virtual > allowed {
			continue
		}
		if first == nil || q.before(first) {
			first = q
		}
	}
	return first
}

// before orders queues by the latest start of their first items.
func (q *queue) before(other *queue) bool {
	a, b := q.items[0].latest, other.items[0].latest
	if a.Equal(b) {
		return q.organisation < other.organisation
	}
	return a.Before(b)
}

// charge counts work that an organisation has got.
func (p *pool) charge(q *queue, work time.Duration) {
	p.virtual = max(p.virtual, q.virtual)
	q.virtual += work.Seconds() / q.weight
}

// wait predicts how long new work of an organisation would be held: the work
// ahead of it in its own queue at the organisation's share of the slots, and
// never longer than all held work takes. The other nodes take their
// parts of the slots.
func (p *pool) wait(now time.Time, nodes int, organisation string, weight float64, latest time.Time) time.Duration {
	slots := p.share(now, nodes)
	if slots == 0 || p.held == 0 {
		return 0
	}
	var ahead time.Duration
	weights := weight
	for name, q := range p.queues {
		if name != organisation {
			if len(q.items) > 0 {
				weights += q.weight
			}
			continue
		}
		for _, it := range q.items {
			if !it.latest.After(latest) {
				ahead += it.expected
			}
		}
	}
	all := time.Duration(float64(p.heldWork) / slots)
	own := time.Duration(float64(ahead) * weights / weight / slots)
	return min(all, own)
}

// back returns when the first ejected target may be tried again; zero when no
// target can come back without news.
func (p *pool) back(now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		if t.leaving || !t.ejected(now) {
			continue
		}
		if first.IsZero() || t.ejectedUntil.Before(first) {
			first = t.ejectedUntil
		}
	}
	return first
}

// itemHeap orders items by their latest start.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
