// Package retrybudget bounds retries so that the bound holds when summed over all
// nodes, without any node knowing what the others spend.
//
// Every node may retry a ratio of the requests that it sent itself, plus its share of
// a fixed extra. The share is the extra divided by the most nodes that may exist: a
// fixed number, or more where more were ever known, so that a node which has lost
// sight of others does not spend their shares. Without a budget each request that
// meets a failing service would be sent several times, and a service that is
// overloaded could not recover.
//
// The package owns the events of one service at one node, in memory; a node that
// restarts begins with an empty window. It relies on the caller for the number of
// nodes, does no input or output and reads no clock. The sum can exceed the bound
// where many nodes start at once and never know of each other; see
// docs/decisions/0011.
package retrybudget

import (
	"math"
	"time"
)

// Policy is the bound that holds over all nodes in each window. Its figures are
// settings of the deployment (gateway.retries).
type Policy struct {
	// Ratio is how many retries are allowed for each request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Extra is how many retries are allowed beyond the ratio, over all nodes.
	Extra float64
	// MaxNodes is the least number of nodes that the extra is shared by.
	MaxNodes int
	// Nodes returns how many nodes may share the extra, where that may be more than
	// MaxNodes; nil for never. It must not fall within a node's life, and returns
	// UnknownNodes while there may be any number.
	Nodes func() int
}

// UnknownNodes says that there may be any number of nodes, so that a node has no
// share of the extra.
const UnknownNodes = math.MaxInt

// share is a node's share of the extra, in retries.
func (p Policy) share() float64 {
	nodes := max(p.MaxNodes, 1)
	if p.Nodes != nil {
		nodes = max(nodes, p.Nodes())
	}
	return p.Extra / float64(nodes)
}

// Budget is what one node may spend for one service. It is not safe for concurrent
// use.
type Budget struct {
	policy  Policy
	firsts  []time.Time
	retries []time.Time
}

// New returns a budget of which nothing is spent.
func New(p Policy) *Budget { return &Budget{policy: p} }

// RecordRequest counts a request that is sent for the first time.
func (b *Budget) RecordRequest(now time.Time) {
	b.trim(now)
	b.firsts = append(b.firsts, now)
}

// Spend asks for one retry, and counts it when it is allowed. Retries are whole: a
// part of one that is left allows none.
//
// Inputs are the first sends and the retries of this node within the last window, and
// the number of nodes when it is called. A wrong yes adds load to a service that
// fails; a wrong no refuses a request that another target would have answered.
func (b *Budget) Spend(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Remaining returns how many retries are allowed now, in parts; negative when the number
// of nodes has risen since they were spent.
func (b *Budget) Remaining(now time.Time) float64 {
	b.trim(now)
	return b.policy.Ratio*float64(len(b.firsts)) + b.policy.share() - float64(len(b.retries))
}

// trim forgets what has left the window. Requests count for one window only, so that
// no retry rests on requests that are outside of it.
func (b *Budget) trim(now time.Time) {
	b.firsts = since(b.firsts, now.Add(-b.policy.Window))
	b.retries = since(b.retries, now.Add(-b.policy.Window))
}

// since returns the events from a time on; they are in order.
func since(events []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(events) && events[n].Before(start) {
		n++
	}
	return events[n:]
}
