// Package retrybudget bounds repeats so that the bound holds when summed over
// all nodes, without any node knowing what the others spend.
//
// Every node may repeat a ratio of the requests that it sent itself, plus its
// part of a fixed extra. The part is the extra divided by the most nodes that
// may exist: a fixed number, or more where more were ever heard of, so a node
// that has lost sight of others does not spend their parts.
package retrybudget

import (
	"math"
	"time"
)

// Policy is the bound that holds over all nodes in each window.
type Policy struct {
	// Ratio of repeats to requests.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Extra is what may be repeated beyond the ratio, over all nodes.
	Extra float64
	// MaxNodes is the least number of nodes that the extra is shared by.
	MaxNodes int
	// Nodes returns how many nodes may share the extra, where that may be more than
	// MaxNodes; nil for never. It must not fall within a node's life, and returns
	// UnknownNodes while there may be any number.
	Nodes func() int
}

// UnknownNodes says that there may be any number of nodes, so that a node has no
// part of the extra.
const UnknownNodes = math.MaxInt

// part is a node's part of the extra.
func (p Policy) part() float64 {
	nodes := max(p.MaxNodes, 1)
	if p.Nodes != nil {
		nodes = max(nodes, p.Nodes())
	}
	return p.Extra / float64(nodes)
}

// Budget is one node's part for one service. The zero value of the events is
// an empty window; it is not safe for concurrent use.
type Budget struct {
	policy  Policy
	firsts  []time.Time
	repeats []time.Time
}

// New returns an empty budget.
func New(p Policy) *Budget { return &Budget{policy: p} }

// First counts a request that is sent for the first time.
func (b *Budget) First(now time.Time) {
	b.trim(now)
	b.firsts = append(b.firsts, now)
}

// Spend asks for one repeat, and counts it when it is allowed.
func (b *Budget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// Left returns how many repeats are allowed now.
func (b *Budget) Left(now time.Time) float64 {
	b.trim(now)
	return b.policy.Ratio*float64(len(b.firsts)) + b.policy.part() - float64(len(b.repeats))
}

// trim forgets what left the window. Requests count for one window only, so
// that repeats never lean on requests that the judge no longer counts.
func (b *Budget) trim(now time.Time) {
	b.firsts = since(b.firsts, now.Add(-b.policy.Window))
	b.repeats = since(b.repeats, now.Add(-b.policy.Window))
}

func since(events []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(events) && events[n].Before(start) {
		n++
	}
	return events[n:]
}
