// Package rollout decides which bundle is in force at a node. It does no input
// or output and reads no clock.
//
// The highest verified number wins, whatever its source, so the order in which
// sources speak does not matter and nothing older can come back. A bundle may
// delay itself by data centre; the delay starts when the node first verified
// it, and a newer bundle replaces one that still waits.
package rollout

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// State is what a node holds. It is immutable.
type State struct {
	dataCentre string
	inForce    *bundle.Plan
	pending    *bundle.Plan
	due        time.Time
	confirmed  time.Time
}

// New returns the state of a node that knows nothing.
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

// WithOffer takes in a verified plan. It is unchanged, with an error, when the
// plan is older than or contradicts the newest one.
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
		// A node with nothing in force has nothing to go on with meanwhile.
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
