package node

import (
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Phase is the part of its life that a node is in.
type Phase int32

// Phases of a node.
const (
	Starting Phase = iota
	Serving
	Leaving
)

// String returns the text used on the wire.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving"}[p]
}

// notReadyRetryAfter is when a caller that a starting node refused may retry.
const notReadyRetryAfter = time.Second

// incarnation is one life of the node: its identity, its address, its clock, its
// phase and the plan in force. All parts read it. bundleActor puts plans in force and ends
// the phase Starting; Node begins the phase Leaving.
type incarnation struct {
	id string
	// address is the one for other nodes.
	address    string
	dataCentre string
	started    time.Time
	now        func() time.Time

	phase   atomic.Int32
	serving chan struct{}
	plan    atomic.Pointer[bundle.Plan]
}

func newIncarnation(address, dataCentre string, now func() time.Time) *incarnation {
	return &incarnation{
		id: ticket.NewSerial(), address: address, dataCentre: dataCentre,
		started: now(), now: now, serving: make(chan struct{}),
	}
}

// age returns the time since the start by the monotonic clock.
func (i *incarnation) age() time.Duration { return i.now().Sub(i.started) }

func (i *incarnation) currentPhase() Phase { return Phase(i.phase.Load()) }

// startServing ends the phase Starting, unless the node is leaving already.
func (i *incarnation) startServing() bool {
	if !i.phase.CompareAndSwap(int32(Starting), int32(Serving)) {
		return false
	}
	close(i.serving)
	return true
}

// leave begins the phase Leaving, from which there is no way back.
func (i *incarnation) leave() { i.phase.Store(int32(Leaving)) }

// governing returns the plan that governs new work, or refuses the work.
func (i *incarnation) governing() (*bundle.Plan, error) {
	switch i.currentPhase() {
	case Starting:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the node has no bundle in force yet").WithRetryAfter(notReadyRetryAfter)
	case Leaving:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving").WithRetryAfter(minimumRetry)
	}
	return i.plan.Load(), nil
}
