package standin

import "sync"

// Fault is a way in which a stand-in fails on command.
type Fault string

// Faults of targets.
const (
	// Refuse answers 503 with the contract that nothing ran.
	Refuse Fault = "refuse"
	// RefuseBare answers 503 without that contract.
	RefuseBare Fault = "refuse-bare"
	// ResetBefore closes the connection before the body is read.
	ResetBefore Fault = "reset-before"
	// ResetDuring closes the connection in the middle of the answer.
	ResetDuring Fault = "reset-during"
	// ResetAfter runs the call and closes the connection without an answer.
	ResetAfter Fault = "reset-after"
	// Stall runs the call and stops in the middle of the answer.
	Stall Fault = "stall"
	// Late runs the call and answers after LateBy.
	Late Fault = "late"
	// Twice sends the answer twice on the connection.
	Twice Fault = "twice"
	// WrongIdentity answers with another call's identity.
	WrongIdentity Fault = "wrong-identity"
	// WrongBody answers with the right header and another call's body.
	WrongBody Fault = "wrong-body"
	// Cut ends the answer cleanly before its end mark.
	Cut Fault = "cut"
	// Redirect answers 307 to the same endpoint.
	Redirect Fault = "redirect"
	// Crash ends all connections and stops listening.
	Crash Fault = "crash"
)

// Faults lists every fault of a target.
var Faults = []Fault{
	Refuse, RefuseBare, ResetBefore, ResetDuring, ResetAfter, Stall, Late, Twice,
	WrongIdentity, WrongBody, Cut, Redirect, Crash,
}

// Step is a point in the life of a call at a target.
type Step string

// Steps of a call.
const (
	// Arrived is before anything of the call ran.
	Arrived Step = "arrived"
	// Worked is after it ran and before its answer; in the middle of an engine's
	// answer.
	Worked Step = "worked"
)

// Script holds what the next calls meet: faults, and hooks that run at a step.
type Script struct {
	mu    sync.Mutex
	next  []Fault
	hooks map[Step]func()
}

// Add lets the next calls meet the fault.
func (s *Script) Add(f Fault, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range times {
		s.next = append(s.next, f)
	}
}

// At runs hook, once, when the next call reaches the step.
func (s *Script) At(step Step, hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hooks == nil {
		s.hooks = make(map[Step]func())
	}
	s.hooks[step] = hook
}

// Clear takes back what no call has met.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = nil
	s.hooks = nil
}

// take returns the fault of one call; empty for none.
func (s *Script) take() Fault {
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next) == 0 {
		return ""
	}
	f := s.next[0]
	s.next = s.next[1:]
	return f
}

// reached runs the hook of a step.
func (s *Script) reached(step Step) {
	if s == nil {
		return
	}
	s.mu.Lock()
	hook := s.hooks[step]
	delete(s.hooks, step)
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
}
