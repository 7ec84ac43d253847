// Package directory holds the targets of all services, as listed by the platform.
// A Directory is immutable. It performs no I/O and reads no clock.
//
// The package defines the states of a target and which targets accept new work
// (Target.Usable). Package view interprets changes of the platform's list and decides
// which data centres are evacuated. The source is the store in which targets register and
// from which the list is read. Without changes, targets keep their state.
package directory

import (
	"slices"
	"strings"
	"time"
)

// State determines whether a target accepts new work. It is a uint8 so that a Target fits
// in 128 bytes: maps store larger values by pointer, with one allocation each.
type State uint8

// States of a target.
const (
	// Ready targets accept new work.
	Ready State = iota
	// Draining targets complete their current work and accept no new work.
	Draining
	// Lapsed targets disappeared from the list during or shortly after an outage of the
	// source. They accept new work until StateUntil: a running target is listed again by
	// then.
	Lapsed
	// Returned targets had disappeared and are listed again by a source that was restored
	// from an older copy. They accept no new work until StateUntil: the entry of a target
	// that no longer runs has expired by then.
	Returned
)

// String returns the name of the state as it appears in logs.
func (s State) String() string { return [...]string{"ready", "draining", "lapsed", "returned"}[s] }

// Target is one replica of a service.
type Target struct {
	// ID is the target's identity. Most replicas get a new one when they restart; some keep
	// it (see Incarnation).
	ID string
	// StartMs is the start of the process, as in Incarnation.
	StartMs int64
	// Service is the name of the target's service.
	Service string
	// Address is the host and port that calls are sent to.
	Address string
	// DataCentre is the data centre that the target runs in.
	DataCentre string
	// Slots is the number of calls that the target processes concurrently; 0 if unknown.
	Slots int32
	// Version is the version of the target's software. Targets of several versions may serve
	// one service, and do not understand each other's streams.
	Version Version
	// State is the listed state, or Lapsed or Returned.
	State State
	// marks are what the directory maintains about the target.
	marks marks
	// StateUntil is the end of the Lapsed or Returned state, by this node's clock. It is
	// zero in other states.
	StateUntil time.Time
	// ColdUntil is the end of the target's warm-up, by this node's clock. A cold target
	// handles only a few requests per second and fails under more (package warmup). It is
	// zero for a target that is not known to be cold.
	ColdUntil time.Time
}

// Directory is an immutable set of targets, indexed by identity and by service.
type Directory struct {
	// targets holds all targets by identity, and services the targets of each service in
	// the order of their identities.
	targets  map[string]Target
	services map[string][]Target
	// evacuated holds the data centres whose targets accept no new work.
	evacuated map[string]bool
}

// New returns a directory of the given targets.
func New(targets ...Target) *Directory {
	d := &Directory{targets: make(map[string]Target, len(targets))}
	for _, t := range targets {
		d.targets[t.ID] = t
	}
	return d.buildIndex()
}

// buildIndex rebuilds the index by service, marks the evacuated targets and returns d. It
// may only be called before the directory is shared.
func (d *Directory) buildIndex() *Directory {
	d.services = make(map[string][]Target)
	for id, t := range d.targets {
		t.marks = t.marks.with(evacuated, d.evacuated[t.DataCentre])
		d.targets[id] = t
		d.services[t.Service] = append(d.services[t.Service], t)
	}
	for _, ts := range d.services {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return d
}

// With returns the directory with a target added or replaced.
func (d *Directory) With(t Target) *Directory {
	e := d.Edit()
	e.Put(t)
	return e.Directory()
}

// WithLapsed returns the directory after Edit.Lapse of a target.
func (d *Directory) WithLapsed(id string, until time.Time) *Directory {
	e := d.Edit()
	e.Lapse(id, until)
	return e.Directory()
}

// WithExpired returns the directory after Edit.Expire at the given time.
func (d *Directory) WithExpired(now time.Time) *Directory {
	e := d.Edit()
	e.Expire(now)
	return e.Directory()
}

// Service returns the targets of a service in any state, in the order of their
// identities. The caller must not modify the slice.
func (d *Directory) Service(name string) []Target { return d.services[name] }

// Target returns the target with an identity, in any state, and whether there is one.
func (d *Directory) Target(id string) (Target, bool) {
	t, known := d.targets[id]
	return t, known
}

// All returns all targets by identity. The caller must not modify the map.
func (d *Directory) All() map[string]Target { return d.targets }

// Usable reports whether a target is known and accepts new work at the given time.
func (d *Directory) Usable(id string, now time.Time) bool {
	t, known := d.targets[id]
	return known && t.Usable(now)
}

// Usable reports whether the target accepts new work at the given time: it must be
// Schedulable and, if Lapsed, its StateUntil must not have passed. It does not cover
// targets that this node avoids because they fail (placement.TargetTable.Ejected).
func (t Target) Usable(now time.Time) bool {
	return t.Schedulable() && (t.State != Lapsed || now.Before(t.StateUntil))
}

// Schedulable reports whether the target accepts new work while it is listed or lapsed: it
// is neither Draining nor Returned, and its data centre is not evacuated.
func (t Target) Schedulable() bool {
	return t.State != Draining && t.State != Returned && !t.marks.has(evacuated)
}

// Cold reports whether the target is still warming up at the given time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// AllEvacuated reports whether a service has no schedulable target because of evacuations:
// at least one target would accept new work if its data centre were not evacuated.
func (d *Directory) AllEvacuated(service string) bool {
	evacuated := false
	for _, t := range d.services[service] {
		if t.Schedulable() {
			return false
		}
		evacuated = evacuated || t.State != Draining && t.State != Returned
	}
	return evacuated
}
