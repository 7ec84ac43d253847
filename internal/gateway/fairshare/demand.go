package fairshare

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// timeConstant is that of the average of what an organisation asks for. With a shorter one
	// single requests count as a burst; with a longer one an organisation is held to its share
	// for longer after it has stopped asking for more.
	timeConstant = 2 * time.Second
	// minAveraged is the least time that demands are averaged over. Before that a single plan
	// would stand for any rate; no plan is marked then.
	minAveraged = 100 * time.Millisecond
	// maxHalfLives is after how many half-lives the scale of the demands is set anew. At the
	// limits on idle organisations their demands stay far within the range of a float64.
	maxHalfLives = 64
)

// scale converts demands between an organisation's weight and its rate. All demands decay by
// the same factor, so instead of lowering them with time, a weight is what the items would
// count for at the epoch: items that are asked for later weigh more. Weights of different
// organisations therefore keep their order until one of them asks again.
type scale struct {
	epoch time.Time
	// since is when demands were first recorded. Until several timeConstants later the
	// average is over less time. Without this correction the demand that is learnt first is too
	// low and the level too high: from 4 s after a start an organisation over its share got 1.06
	// of it.
	since time.Time
}

// averaged returns the time that demands are averaged over now, in seconds.
func (s scale) averaged(now time.Time) float64 {
	learnt := -math.Expm1(-max(now.Sub(s.since), minAveraged).Seconds() / timeConstant.Seconds())
	return timeConstant.Seconds() * learnt
}

// halfLives returns the time since the epoch in half-lives of a demand.
func (s scale) halfLives(now time.Time) float64 {
	return now.Sub(s.epoch).Seconds() / (timeConstant.Seconds() * math.Ln2)
}

// weight returns the weight of items that are asked for now.
func (s scale) weight(now time.Time, items float64) float64 {
	return items * math.Exp2(s.halfLives(now))
}

// perSecond returns the items per second that a weight stands for now.
func (s scale) perSecond(now time.Time, weight float64) float64 {
	return weight * math.Exp2(-s.halfLives(now)) / s.averaged(now)
}

// weightOf returns the weight of a rate now.
func (s scale) weightOf(now time.Time, perSecond float64) float64 {
	return s.weight(now, perSecond*s.averaged(now))
}

// demand is the node of one organisation in a demands tree. The zero value, with a name, is
// that of an organisation that has asked for nothing.
type demand struct {
	name   Name
	weight float64
	// heap orders parents before children. It is a hash of the name, so that the same events
	// give the same tree.
	heap uint64
	// count and sum are the organisations of the subtree and the sum of their weights.
	count       int
	sum         float64
	left, right *demand
}

func newDemand(name Name) demand {
	return demand{name: name, heap: xxhash.Sum64String(name.Organisation)}
}

// before reports whether d asks for less than e. Ties are decided by name.
func (d *demand) before(e *demand) bool {
	if d.weight != e.weight {
		return d.weight < e.weight
	}
	return d.name.compare(e.name) < 0
}

// update recomputes count and sum from the children.
func (d *demand) update() {
	d.count, d.sum = 1, d.weight
	for _, child := range [...]*demand{d.left, d.right} {
		if child != nil {
			d.count += child.count
			d.sum += child.sum
		}
	}
}

// demands is a treap of organisations, ordered by weight, with the sums of its subtrees. It
// makes the level a search of logarithmic time: a coordinator determines it for each plan, and
// a sum over 2,048 organisations each time would take longer than all else it does for a plan.
type demands struct {
	root *demand
}

// len returns the number of organisations.
func (t *demands) len() int {
	if t.root == nil {
		return 0
	}
	return t.root.count
}

// sum returns the sum of all weights.
func (t *demands) sum() float64 {
	if t.root == nil {
		return 0
	}
	return t.root.sum
}

func (t *demands) insert(d *demand) {
	d.left, d.right = nil, nil
	d.update()
	less, more := split(t.root, d)
	t.root = merge(merge(less, d), more)
}

func (t *demands) remove(d *demand) {
	t.root = without(t.root, d)
	d.left, d.right = nil, nil
}

// least returns the organisation that asks for least; nil if there is none.
func (t *demands) least() *demand {
	d := t.root
	for d != nil && d.left != nil {
		d = d.left
	}
	return d
}

// level returns the weight at which the sum of min(weight, level) over all organisations is
// rate. It is infinite if the sum of all weights does not exceed rate.
func (t *demands) level(rate float64) float64 {
	if t.sum() <= rate {
		return math.Inf(1)
	}
	// below sums the weights that are known to be under the level, above counts the
	// organisations that are not.
	below, above := 0.0, t.len()
	for d := t.root; d != nil; {
		less, lessCount := d.weight, 1
		if d.left != nil {
			less += d.left.sum
			lessCount += d.left.count
		}
		if below+less+d.weight*float64(above-lessCount) <= rate {
			below += less
			above -= lessCount
			d = d.right
		} else {
			d = d.left
		}
	}
	if above == 0 {
		// The sum exceeds rate only by the rounding of sums in another order.
		return math.Inf(1)
	}
	return max(rate-below, 0) / float64(above)
}

// descend calls yield for organisations with more than the given weight, from the largest,
// until it returns false.
func (t *demands) descend(weight float64, yield func(*demand) bool) {
	descend(t.root, weight, yield)
}

func descend(d *demand, weight float64, yield func(*demand) bool) bool {
	if d == nil {
		return true
	}
	if !descend(d.right, weight, yield) || d.weight <= weight {
		return false
	}
	return yield(d) && descend(d.left, weight, yield)
}

// rescale multiplies all weights by a power of two, which is exact and so keeps their order.
func (t *demands) rescale(exponent int) { rescale(t.root, exponent) }

func rescale(d *demand, exponent int) {
	if d == nil {
		return
	}
	rescale(d.left, exponent)
	rescale(d.right, exponent)
	d.weight = math.Ldexp(d.weight, exponent)
	d.update()
}

// split divides a tree into the organisations before and those after d, which is not in it.
func split(t, d *demand) (less, more *demand) {
	if t == nil {
		return nil, nil
	}
	if t.before(d) {
		t.right, more = split(t.right, d)
		t.update()
		return t, more
	}
	less, t.left = split(t.left, d)
	t.update()
	return less, t
}

// merge joins two trees, of which all of a are before all of b.
func merge(a, b *demand) *demand {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.heap > b.heap:
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

// without returns a tree without d, which is in it.
func without(t, d *demand) *demand {
	switch {
	case t == d:
		return merge(d.left, d.right)
	case d.before(t):
		t.left = without(t.left, d)
	default:
		t.right = without(t.right, d)
	}
	t.update()
	return t
}

// Name identifies an organisation in a Table.
type Name struct {
	// Organisation is empty for requests without one.
	Organisation string
	// Unmarked is set for requests whose node does not say which organisation they are from.
	// They count as one organisation, which is never marked.
	Unmarked bool
}

func (n Name) compare(other Name) int {
	if n.Unmarked != other.Unmarked {
		if n.Unmarked {
			return -1
		}
		return 1
	}
	return strings.Compare(n.Organisation, other.Organisation)
}
