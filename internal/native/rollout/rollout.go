// Package rollout decides which bundle is in force at a node.
//
// It owns what the node holds: the plan in force, a newer one that waits for its
// time, and when a source last confirmed the newest. It relies on its caller to
// verify signatures before it offers a plan, and for the time; it does no input or
// output and reads no clock. Without sources the plan in force stays; without a
// plan, nothing is in force and the node cannot serve.
//
// Rule: the highest verified number wins, whatever its source, so the order in which
// sources answer does not matter and no older bundle can replace a newer one. A
// bundle may delay itself by data centre; the delay starts when the node first
// verified it, and a newer bundle replaces one that still waits. A node with nothing
// in force takes the newest at once. Inputs are the two numbers and digests, and the
// delay in the bundle; there is no figure here. Why so: docs/decisions/0005-bundle.md.
// A wrong answer serves an older configuration than the operator published, or a
// newer one before its wave.
package rollout

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// State is what a node holds. It is immutable.
type State struct {
	dataCentre string
	// inForce is nil before the first offer.
	inForce *bundle.Plan
	// pending is a newer plan that waits for due; nil for none.
	pending *bundle.Plan
	due     time.Time
	// confirmed is when a source last named the newest plan.
	confirmed time.Time
}

// New returns the state of a node without any plan.
func New(dataCentre string) State { return State{dataCentre: dataCentre} }

// InForce returns the plan in force, or nil.
func (s State) InForce() *bundle.Plan { return s.inForce }

// Newest returns the newest verified plan, in force or not yet, or nil.
func (s State) Newest() *bundle.Plan {
	if s.pending != nil {
		return s.pending
	}
	return s.inForce
}

// Due returns when the pending plan comes into force; zero when there is none.
func (s State) Due() time.Time {
	if s.pending == nil {
		return time.Time{}
	}
	return s.due
}

// Confirmed returns when a source last named the newest plan.
func (s State) Confirmed() time.Time { return s.confirmed }

// WithConfirmed records that a source named the newest plan at time now.
func (s State) WithConfirmed(now time.Time) State {
	s.confirmed = now
	return s
}

// WithOffer returns the state after a verified plan was offered. It is unchanged,
// with bundle.ErrOlder or bundle.ErrConflict, when the plan is older than the newest
// one or has its number and other content.
func (s State) WithOffer(now time.Time, plan *bundle.Plan) (State, error) {
	newer, err := bundle.Supersedes(s.Newest(), plan)
	if err != nil {
		return s, err
	}
	s.confirmed = now
	if !newer {
		return s, nil
	}
	delay := plan.Delay(s.dataCentre)
	if s.inForce == nil || delay == 0 {
		// A node with nothing in force cannot serve while it waits.
		s.inForce = plan
		s.pending = nil
		return s, nil
	}
	s.pending = plan
	s.due = now.Add(delay)
	return s, nil
}

// WithTime puts a pending plan in force when it is due.
func (s State) WithTime(now time.Time) State {
	if s.pending == nil || now.Before(s.due) {
		return s
	}
	s.inForce = s.pending
	s.pending = nil
	return s
}
