// Package reachability records which targets a node can connect to. It performs no I/O and
// reads no clock.
//
// The result of a connection attempt concerns the path between this node and a target: a
// target that one node cannot reach may serve others.
package reachability

import (
	"maps"
	"slices"
	"time"
)

// Table holds what a node knows of the paths to its targets. It is not safe for concurrent
// use.
type Table struct {
	targets map[string]path
}

// path is what is known of the path to one target.
type path struct {
	// failedSince is the first failure to connect after the last success, err the last one.
	failedSince time.Time
	err         string
}

// Failure describes a target that the last connection attempt did not reach.
type Failure struct {
	Target string
	Since  time.Time
	Err    string
}

// NewTable returns a table that knows of no failures.
func NewTable() *Table { return &Table{targets: map[string]path{}} }

// Connected records a connection to a target and returns the failure that it ended, if any.
func (t *Table) Connected(target string) (ended Failure, failed bool) {
	p, failed := t.targets[target]
	delete(t.targets, target)
	return Failure{Target: target, Since: p.failedSince, Err: p.err}, failed
}

// Failed records a failure to connect to a target and reports whether it is the first one
// since the last success.
func (t *Table) Failed(now time.Time, target string, err error) (first bool) {
	p, failed := t.targets[target]
	if !failed {
		p.failedSince = now
	}
	p.err = err.Error()
	t.targets[target] = p
	return !failed
}

// Failures returns the targets that the last attempt did not reach, in the order of their
// identities.
func (t *Table) Failures() []Failure {
	list := make([]Failure, 0, len(t.targets))
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		p := t.targets[id]
		list = append(list, Failure{Target: id, Since: p.failedSince, Err: p.err})
	}
	return list
}

// Prune drops the targets that are not known any more.
func (t *Table) Prune(known func(target string) bool) {
	maps.DeleteFunc(t.targets, func(id string, _ path) bool { return !known(id) })
}
