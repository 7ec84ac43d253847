// Package batching decides which items of many requests share a batch at a target of a
// batch service, in which order they are processed, and which target gets them.
//
// One node, the coordinator of a service, assembles all its batches, so that few batches
// carry many items: a batch has a fixed cost and a small cost per item. A target
// processes one batch at a time; meanwhile items gather for its next one. See
// docs/decisions/0012-batches.md and 0013-planning-stages.md.
//
// The items of one stage of one request form a group. A target that restarts under its ID
// begins a new incarnation (directory.Incarnation). The results of finished items stay in
// the result memory of their target until they are released or expire.
//
// The package owns the queue of one service, its running batches, its plans, and what was
// observed of its targets: slowdown, use of result memory, backoff. There is one Core per
// service. A Core does no I/O, reads no clock and starts no goroutines: it turns events
// into effects, and the same events at the same times give the same effects. The only
// other input is the number of members that share the retry budget. Each rule has a file
// of its own:
//
//   - order.go: the order of the queue
//   - eligible.go: which targets may take a batch, and which goes first
//   - locality.go: whether an item waits for a target in its data centre
//   - fill.go and memory.go: which items a batch takes, and the result memory
//   - inspection.go: the work of other coordinators at a target
//   - deadline.go: which items are dropped
//   - stuck.go, retry.go and targetbackoff.go: what happens after a failure
//   - suspects.go: which items may share a batch after their target crashed
//   - slowdown.go: how fast a target is
//   - estimate.go and plans.go: what a service can carry, for admission
//   - position.go, dueorder.go and arrivals.go: what goes before a plan
//   - withdraw.go: which groups are refused because others displaced them
//
// The caller must report the end of each batch, at the latest after the timeout of Send,
// and must send a Tick often while a Core is not Idle. Without Ticks, stuck batches and
// items past their deadline are noticed only at the next event. Sizes and durations come
// from the catalog; until it is known, items wait, and are dropped at their deadlines. If
// the list of targets is outdated, batches go to targets that are gone and are retried on
// others. If the coordinator is lost, so is all of this state: another node starts with
// an empty queue, and results that it does not know of use memory until they expire.
package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ItemID identifies a submitted item within a core.
type ItemID uint64

// BatchID identifies a batch within a core; 0 is none.
type BatchID uint64

// Item is a unit of a stage's work that yields one result.
type Item struct {
	ID      ItemID
	Request string
	Stage   int
	Index   int
	// Source is the key of the data that the item is computed from; empty if it has
	// inputs.
	Source string
	// Inputs are the handles of the results that the item is computed from.
	Inputs []string
	// Bytes is the estimated size of the result.
	Bytes int64
	// Due is when the result should be ready for the request to be in time.
	Due time.Time
	// Deadline is when the result becomes useless.
	Deadline time.Time
	// Priority orders items together with Due; lower values go first.
	Priority int
	// DataCentre is where the inputs are or the result will be used; empty for any.
	DataCentre string
	// Digest identifies what the item asks for, as used in crash reports; 0 if unknown.
	Digest quarantine.Digest
	// Suspect reports whether a target crashed with such an item of an earlier request.
	Suspect bool
	// WithdrawableUntil is until when the item may be refused before any of its group has
	// run; the zero time for never.
	WithdrawableUntil time.Time
}

// Result identifies a computed result.
type Result struct {
	// Handle identifies the result at the target that stores it.
	Handle string
	// Target is the incarnation of that target, in the form of
	// directory.Incarnation.String.
	Target string
	// DataCentre is the data centre of that target.
	DataCentre string
}

// Outcome is a target's answer for one item.
type Outcome struct {
	Handle string
	// Status tells why there is no handle.
	Status Status
}

// Status is the reason why a target returned no result for an item.
type Status int

// Statuses of items.
const (
	// Done means that there is a result.
	Done Status = iota
	// PastDeadline means that the item's deadline had passed when the target reached it.
	PastDeadline
	// InputGone means that an input no longer exists.
	InputGone
	// NoMemory means that the target has no memory for the result.
	NoMemory
	// Failed means that the computation failed.
	Failed
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Configure sets the service and its targets. A nil service, or one without batches,
// leaves the earlier one in force. Targets that are not listed are no longer used.
type Configure struct {
	Service *catalog.Service
	Targets []directory.Target
	// AllEvacuated reports whether the service has targets and all are in evacuated data
	// centres.
	AllEvacuated bool
	// WarmUp bounds the calls to cold targets.
	WarmUp warmup.Bound
	// Admission are the rules of admission that apply to the service.
	Admission Admission
}

// Admission are the rules of admission that apply to a service. The zero value has none.
type Admission struct {
	// ByPosition quotes the work that goes before a plan instead of the whole backlog.
	ByPosition bool
	// Withdraw refuses queued groups of which nothing has run when more urgent work
	// displaces them.
	Withdraw bool
	// Reserve reserves capacity for the retries of refused requests.
	Reserve bool
	// FairShares marks organisations that ask for more than their share of a full service.
	FairShares bool
}

// Plan announces items that will be submitted later. It ends when the first of them is
// submitted, when it is cancelled, or some time after they are due.
type Plan struct {
	Request string
	Stage   int
	Items   int
	Due     time.Time
	// Priority orders the items together with Due, as in Item.
	Priority int
	// Bytes is the approximate size of one result; 0 if unknown.
	Bytes int64
	// Organisation is the one that the request is from; empty for none.
	Organisation string
	// Digest identifies what the request asks for; 0 if unknown.
	Digest quarantine.Digest
}

// CancelPlan cancels the plan for one stage of a request.
type CancelPlan struct {
	Request string
	Stage   int
}

// Submit adds items to the queue. Each gets one Resolve, unless it is withdrawn.
type Submit struct{ Items []Item }

// Withdraw removes items that are no longer wanted. The results of those in a batch are
// discarded when it ends.
type Withdraw struct{ ItemIDs []ItemID }

// Finished reports the end of a batch.
type Finished struct {
	Batch BatchID
	// Outcomes are those of the items of Send, in the same order. Any other number counts
	// as a failure. They are ignored if Err is set.
	Outcomes []Outcome
	Err      *verdict.Error
	// Slowdown is how many times as long as usual work takes at the target now, as it
	// reported in its answer; 0 if unknown.
	Slowdown float64
	// TargetCrashed reports whether the target's process ended while it had the batch.
	TargetCrashed bool
}

// Release ends the use of results that have been read or are not needed.
type Release struct {
	// Target stores the results, which are lost when this incarnation of it ends.
	Target  directory.Incarnation
	Handles []string
}

// Inspected reports a target's answer to Inspect. Err is set if there was none.
type Inspected struct {
	Target directory.Incarnation
	Report Report
	Err    *verdict.Error
}

// Report is what a target says of its work for all coordinators.
type Report struct {
	// Busy reports whether it processes a batch or has batches waiting.
	Busy bool
	// FreeBytes is an upper bound of its free result memory.
	FreeBytes int64
	// Slowdown is how many times as long as usual its work takes now; 0 if unknown.
	Slowdown float64
}

// Tick reports that time has passed.
type Tick struct {
	// Delay is how much later than scheduled the core got the tick. Answers that arrived
	// in the meantime may be as late.
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

// Effect is an action that the caller must carry out.
type Effect interface{ isEffect() }

// Send sends a batch to a target. Its end must be reported by Finished.
type Send struct {
	Batch  BatchID
	Target directory.Target
	Items  []Item
	// Timeout bounds the whole call, answer included.
	Timeout time.Duration
	// TargetIdle reports whether the target is known to run no other batch, so that it
	// reads the items' inputs as soon as this one arrives.
	TargetIdle bool
}

// Resolve ends an item with a result or an error.
type Resolve struct {
	ItemID ItemID
	Result Result
	Err    *verdict.Error
}

// Discard asks a target to drop results.
type Discard struct {
	Target  directory.Target
	Handles []string
}

// Inspect asks a target for a Report. The answer, or that there was none, must be
// reported by Inspected.
type Inspect struct{ Target directory.Target }

func (Inspect) isEffect() {}
func (Send) isEffect()    {}
func (Resolve) isEffect() {}
func (Discard) isEffect() {}
