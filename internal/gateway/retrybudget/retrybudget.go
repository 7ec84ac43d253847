// Package retrybudget limits retries of failed requests. The limit holds for the sum
// over all nodes, although no node knows how many retries the others have spent.
//
// Each node may retry a fixed ratio of the requests that it sent itself, plus its share
// of a cluster-wide extra allowance. The share is the extra allowance divided by the
// largest number of nodes that may exist: a configured number, or more if more nodes
// have been seen. A node that has lost contact with other nodes therefore does not
// spend their shares. Without a budget, each request to a failing service would be sent
// several times, and an overloaded service could not recover.
//
// A Budget covers one service on one node and is kept in memory. A process that starts counts
// what earlier ones of its node spent, which other members know, and spends nothing until it has
// learnt that or the window is over. The caller supplies the number of nodes. The package
// performs no I/O and does not read the clock. The sum can exceed the limit if
// nodes start in groups that do not learn of each other; see docs/decisions/0011.
package retrybudget

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// Policy is the retry limit that holds for the sum over all nodes in each window. Its
// values come from the gateway.retries settings.
type Policy struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Extra is the number of retries allowed per window in addition to Ratio, summed
	// over all nodes.
	Extra float64
	// MaxNodes is the configured maximum number of nodes. Extra is divided by at least
	// this many nodes, even if fewer are known.
	MaxNodes int
	// Nodes returns the number of nodes that may share Extra, which takes effect if it
	// exceeds MaxNodes. It is nil if that never happens. The number must not decrease
	// while the process runs. Nodes returns UnknownNodes as long as there may be any
	// number of nodes.
	Nodes func() int
	// Started is when the process started. It counts if Earlier is set.
	Started time.Time
	// Earlier returns what earlier processes of the node may have spent within the window before
	// Started, and whether that is known. It is nil if there were none. The retries may rise.
	Earlier func() (spent Spent, known bool)
	// service is the key of the service that the budget is of; 0 if that is not told apart.
	service int
}

// Spent is what a process spent in the last window, at the service with the most retries.
type Spent struct {
	// Service is a hash of the service's name; 0 for no retries.
	Service int
	// Retries and FirstAttempts are those of the service.
	Retries, FirstAttempts int
}

// WithService returns the policy for the budget of a service.
func (p Policy) WithService(name string) Policy {
	p.service = int(uint32(xxhash.Sum64String(name))) | 1
	return p
}

// WithEarlier returns the policy of a process that started at a time, and that counts the retries
// of earlier processes.
func (p Policy) WithEarlier(started time.Time, earlier func() (spent Spent, known bool)) Policy {
	p.Started, p.Earlier = started, earlier
	return p
}

// WithExtraSpent returns the policy of a process that started at a time and counts its share of Extra as
// spent by an earlier process, whatever that spent. It is for budgets that members do not report.
func (p Policy) WithExtraSpent(started time.Time) Policy {
	return p.WithEarlier(started, func() (Spent, bool) { return Spent{Retries: saturate.Int(math.Ceil(p.share()))}, true })
}

// earlier returns what earlier processes spent and may still be within the window, and whether it
// is known. When they made their retries is not known, so that these count until the window is
// over; their first attempts leave it little by little. Those of another service do not count.
func (p Policy) earlier(now time.Time) (spent Spent, known bool) {
	age := now.Sub(p.Started)
	if p.Earlier == nil || age >= p.Window {
		return Spent{}, true
	}
	spent, known = p.Earlier()
	if spent.Service != p.service {
		spent.FirstAttempts = 0
	}
	spent.FirstAttempts = saturate.Int(float64(spent.FirstAttempts) * (1 - age.Seconds()/p.Window.Seconds()))
	return spent, known
}

// UnknownNodes is the node count that Policy.Nodes returns if there may be any number of
// nodes. A node then has no share of Policy.Extra.
const UnknownNodes = math.MaxInt

// share returns the number of retries that one node may take from Extra.
func (p Policy) share() float64 {
	nodes := max(p.MaxNodes, 1)
	if p.Nodes != nil {
		nodes = max(nodes, p.Nodes())
	}
	return p.Extra / float64(nodes)
}

// Budget tracks the retries that one node may spend on one service. It is not safe for
// concurrent use.
type Budget struct {
	policy        Policy
	firstAttempts []time.Time
	retries       []time.Time
}

// New returns a budget with no retries spent.
func New(p Policy) *Budget { return &Budget{policy: p} }

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.trim(now)
	b.firstAttempts = append(b.firstAttempts, now)
}

// Spend reports whether one retry is allowed, and records it if so. A fractional
// remainder below 1 allows no retry.
//
// The decision depends on this node's first attempts and retries within the last window
// and on the current number of nodes. Allowing too much adds load to a failing service;
// allowing too little rejects requests that another target would have answered.
func (b *Budget) Spend(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Remaining returns the number of retries that are currently allowed, which may be
// fractional. It is negative if the number of nodes has grown since retries were spent.
func (b *Budget) Remaining(now time.Time) float64 {
	a := b.Allowance(now)
	if !a.Known {
		return 0
	}
	return b.policy.Ratio*float64(a.FirstAttempts) + a.Share - float64(a.Retries)
}

// Allowance is what a budget is made of.
type Allowance struct {
	// FirstAttempts and Retries are those within the window, of earlier processes too.
	FirstAttempts, Retries int
	// Known is whether the retries of earlier processes are known. Otherwise no retry is allowed.
	Known bool
	// Share is the node's part of Policy.Extra.
	Share float64
}

// Allowance returns what the budget is made of now.
func (b *Budget) Allowance(now time.Time) Allowance {
	b.trim(now)
	earlier, known := b.policy.earlier(now)
	return Allowance{
		FirstAttempts: len(b.firstAttempts) + earlier.FirstAttempts, Retries: len(b.retries) + earlier.Retries,
		Known: known, Share: b.policy.share(),
	}
}

// Spent returns what was spent in the last window.
func (b *Budget) Spent(now time.Time) Spent {
	a := b.Allowance(now)
	return Spent{Service: b.policy.service, Retries: a.Retries, FirstAttempts: a.FirstAttempts}
}

// trim drops events that are older than the window, so that retries are only allowed on
// account of requests within the window.
func (b *Budget) trim(now time.Time) {
	b.firstAttempts = since(b.firstAttempts, now.Add(-b.policy.Window))
	b.retries = since(b.retries, now.Add(-b.policy.Window))
}

// since returns the events at or after start. The events must be sorted by time.
func since(events []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(events) && events[n].Before(start) {
		n++
	}
	return events[n:]
}
