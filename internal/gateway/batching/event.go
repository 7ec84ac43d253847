// Package batching decides which items of many requests share a batch at a target
// of a batch service, in which order they go and which target gets them.
//
// One node, the coordinator of a service, assembles all its batches, so that few
// batches carry many items: a batch costs a fixed time and a little for each item.
// A target works on one batch at a time; while it does, the items of its next one
// gather. See docs/decisions/0012-batches.md and 0013-planning-stages.md.
//
// The package owns the queue of one service, its running batches, its plans, and
// what is learnt of its targets: slowdown, use of result memory, backoff. It has
// one Core a service, does no input or output, reads no clock and starts nothing:
// events go in, effects come out, and the same events at the same times give the
// same effects (the number of members that share the retry budget is the only other
// input). Each rule has a file of its own:
//
//   - order.go: in which order items go
//   - eligible.go: which targets may take a batch, and which goes first
//   - locality.go: whether an item waits for a target in its data centre
//   - fill.go and memory.go: which items a batch takes, and the result memory
//   - inspection.go: what others left at a target
//   - deadline.go: which items are dropped
//   - stuck.go, retry.go and targetbackoff.go: what happens after a failure
//   - suspects.go: which items may share a batch after their target ended
//   - slowdown.go: how fast a target is
//   - estimate.go and plans.go: what a service can carry, for admission
//
// It relies on its shell to report each end of a batch, in time or by the timeout of
// Send, and to send a Tick often while a core is not Idle: without Ticks a stuck
// batch is detected, and an item past its deadline dropped, only at the next event.
// It relies on the catalog for sizes and times: without it items wait, and are
// dropped at their deadlines. When the list of targets is not up to date, batches
// go to targets that are gone and are retried on others. When the coordinator is
// lost, all of this is lost with it: another node begins with an empty queue, and
// the results that it does not know of use memory until they expire.
package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ItemID identifies one submitted item within one core.
type ItemID uint64

// BatchID identifies one batch within one core; 0 is none.
type BatchID uint64

// Item is one piece of a stage's work, which gives one result.
type Item struct {
	ID   ItemID
	Request string
	Stage   int
	Index   int
	// Source is the key of the data that the item is computed from; empty when it has
	// inputs.
	Source string
	// Inputs are the handles of the results that the item is computed from.
	Inputs []string
	// Bytes is an estimate of the size of the result.
	Bytes int64
	// Due is when the result should be ready for the request to be in time.
	Due time.Time
	// Deadline is when the result is of no use any more.
	Deadline time.Time
	// Priority is lower for items that go first.
	Priority int
	// DataCentre is where the inputs are or the result will be used; empty for anywhere.
	DataCentre string
	// Digest is what the item asks for, as the shell reports ends of targets; 0 for
	// unknown.
	Digest quarantine.Digest
	// Suspect says that a target ended with such an item before, of an earlier request.
	Suspect bool
}

// Result is a finished item.
type Result struct {
	// Handle identifies the result at the target that stores it.
	Handle string
	// Target is that target's life, as directory.Life gives it.
	Target string
	// DataCentre is where that target is.
	DataCentre string
}

// Outcome is what a target answered for one item.
type Outcome struct {
	Handle string
	// Status says why there is no handle.
	Status Status
}

// Status is a target's reason for giving no result for an item.
type Status int

// Statuses of items.
const (
	// Done means that there is a result.
	Done Status = iota
	// PastDeadline means that the item's deadline was over when the target came to it.
	PastDeadline
	// InputGone means that an input does not exist any more.
	InputGone
	// NoMemory means that the target has no memory for the result.
	NoMemory
	// Failed means that computing the result failed.
	Failed
)

// Event is what can happen to the core.
type Event interface{ isEvent() }

// Configure sets the service and its targets. A nil service, or one without
// batches, leaves the earlier one in force; targets that are not listed are not used
// any more.
type Configure struct {
	Service *catalog.Service
	Targets []directory.Target
	// AllEvacuated says that the service has targets, and all in evacuated data centres.
	AllEvacuated bool
	// WarmUp bounds the calls to targets that are cold.
	WarmUp warmup.Bound
}

// Plan announces items that will be submitted later. It ends when the first of them
// are, when it is cancelled, or when they are long due.
type Plan struct {
	Request string
	Stage   int
	Items   int
	Due     time.Time
}

// CancelPlan ends the plan of one stage of a request.
type CancelPlan struct {
	Request string
	Stage   int
}

// Submit adds items to the queue; each gets one Resolve, unless it is withdrawn.
type Submit struct{ Items []Item }

// Withdraw removes items that nobody waits for any more; the results of those in a
// batch are discarded when it ends.
type Withdraw struct{ ItemIDs []ItemID }

// Finished reports the end of a batch.
type Finished struct {
	Batch BatchID
	// Outcomes are those of the items of Send, in their order; any other number
	// counts as a failure. They do not count when there is an error.
	Outcomes []Outcome
	Err      *verdict.Error
	// TargetCrashed says that the target's process ended while it had the batch.
	TargetCrashed bool
}

// Release ends the use of results that have been read or are not needed.
type Release struct {
	// Target is the target that stores them. A result ends with its life.
	Target  directory.Incarnation
	Handles []string
}

// Inspected reports what a target answered to Inspect. Without an answer Err is set.
type Inspected struct {
	Target directory.Incarnation
	Report Report
	Err    *verdict.Error
}

// Report is what a target says of itself, whoever caused it.
type Report struct {
	// Busy says that it works on a batch, or that some wait there.
	Busy bool
	// FreeBytes is the most result memory that may be free.
	FreeBytes int64
}

// Tick reports that time has passed.
type Tick struct {
	// Delay is how much later than it should have the core got the tick. Answers that
	// came meanwhile may be as late.
	Delay time.Duration
}

func (Configure) isEvent()  {}
func (Plan) isEvent()       {}
func (CancelPlan) isEvent() {}
func (Submit) isEvent()     {}
func (Withdraw) isEvent()   {}
func (Finished) isEvent()   {}
func (Release) isEvent()    {}
func (Inspected) isEvent()  {}
func (Tick) isEvent()       {}

// Effect is what the shell must carry out.
type Effect interface{ isEffect() }

// Send sends a batch to a target; its end must be reported by Finished.
type Send struct {
	Batch  BatchID
	Target directory.Target
	Items  []Item
	// Timeout is the longest that the batch may take, answer included.
	Timeout time.Duration
	// TargetIdle says that the target is known to run no other batch, so that it reads
	// the items' inputs as soon as this one arrives.
	TargetIdle bool
}

// Resolve ends an item: with a result, or with an error.
type Resolve struct {
	ItemID  ItemID
	Result Result
	Err    *verdict.Error
}

// Discard asks a target to drop results.
type Discard struct {
	Target  directory.Target
	Handles []string
}

// Inspect asks a target what it does and holds; the answer, or that there is none,
// must be reported by Inspected.
type Inspect struct{ Target directory.Target }

func (Inspect) isEffect() {}
func (Send) isEffect()    {}
func (Resolve) isEffect() {}
func (Discard) isEffect() {}
