// Package batching decides which items of many requests share a call to a
// target of a batch service, in which order and where. It does no input or
// output and reads no clock: events go in, effects come out.
//
// One node forms all the calls of a service, so that few calls carry many
// items. A target works on one call at a time; while it works, the items of its
// next call gather.
package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Token names one submitted item within one core.
type Token uint64

// BatchID names one call within one core.
type BatchID uint64

// Item is one piece of a stage's work.
type Item struct {
	Token   Token
	Request string
	Stage   int
	Index   int
	// Source is the key of what the item is made from; empty when it has inputs.
	Source string
	// Inputs are the handles of the results that the item is made from.
	Inputs []string
	// Bytes is roughly the size of the result.
	Bytes int64
	// Due is when the item should be ready for its request to be in time.
	Due time.Time
	// Deadline is when the item is of no use any more.
	Deadline time.Time
	// Priority is lower for items that go first.
	Priority int
	// DataCentre is where the result will be used; empty for anywhere.
	DataCentre string
}

// Result is a finished item.
type Result struct {
	// Handle names the result at the target that made it.
	Handle string
	// Target is the identity of the target that made it.
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

// Status is a target's reason for not making an item.
type Status int

// Reasons of targets.
const (
	// Done means that there is a handle.
	Done Status = iota
	// PastDeadline means that the time left had run out.
	PastDeadline
	// InputGone means that an input does not exist any more.
	InputGone
	// NoMemory means that the target has no memory for the result.
	NoMemory
	// Failed means that the work failed.
	Failed
)

// Event is what can happen to the core.
type Event interface{ isEvent() }

// Configure tells the service and its targets.
type Configure struct {
	Service *catalog.Service
	Targets []directory.Target
}

// Plan tells of items that will be submitted later. It ends when they are, when
// it is cancelled, or when they are long due.
type Plan struct {
	Request string
	Stage   int
	Items   int
	Due     time.Time
}

// CancelPlan ends the plans of a request.
type CancelPlan struct {
	Request string
	Stage   int
}

// Submit hands in items; each gets one Resolve, unless it is withdrawn.
type Submit struct{ Items []Item }

// Withdraw takes items back; their results are freed.
type Withdraw struct{ Tokens []Token }

// Finished reports the end of a call.
type Finished struct {
	Batch    BatchID
	Outcomes []Outcome
	Err      *verdict.Error
}

// Release frees results that have been used or are not needed.
type Release struct {
	Target  string
	Handles []string
}

// Tick lets time pass.
type Tick struct{}

func (Configure) isEvent()  {}
func (Plan) isEvent()       {}
func (CancelPlan) isEvent() {}
func (Submit) isEvent()     {}
func (Withdraw) isEvent()   {}
func (Finished) isEvent()   {}
func (Release) isEvent()    {}
func (Tick) isEvent()       {}

// Effect is what a shell must carry out.
type Effect interface{ isEffect() }

// Send sends a call to a target.
type Send struct {
	Batch  BatchID
	Target directory.Target
	Items  []Item
	// Timeout is the longest that the call may take.
	Timeout time.Duration
	// TargetIdle says that the target is known to have no other call, so that it reads
	// the items' inputs as soon as the call comes.
	TargetIdle bool
}

// Resolve ends an item: with a result, or with an error.
type Resolve struct {
	Token  Token
	Result Result
	Err    *verdict.Error
}

// Discard tells a target to forget results.
type Discard struct {
	Target  directory.Target
	Handles []string
}

func (Send) isEffect()    {}
func (Resolve) isEffect() {}
func (Discard) isEffect() {}
