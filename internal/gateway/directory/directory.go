// Package directory holds the targets of all services, as the platform lists them.
// A Directory is immutable; it does no input or output and reads no clock.
//
// The package owns the states of a target and the rule which of them takes new work
// (Target.Usable). It relies on package view, which says what a change of the
// platform's list means and which data centres are evacuated; without changes the
// targets stay as they are.
package directory

import (
	"slices"
	"strings"
	"time"
)

// State says whether a target takes new work. It is small so that a Target has 128 bytes:
// maps store larger values by pointer, an allocation each.
type State uint8

// States of a target.
const (
	// Ready targets take new work.
	Ready State = iota
	// Draining targets finish what they have and take nothing new.
	Draining
	// Lapsed targets vanished from the list during or soon after an outage of it.
	// They take new work until StateUntil, by which a target that lives is listed
	// again.
	Lapsed
	// Returned targets had vanished, and are listed by a source that came back from an
	// older copy. They take no new work until StateUntil, by which the entry of a target
	// that does not live has gone.
	Returned
)

// String gives the text used in logs.
func (s State) String() string { return [...]string{"ready", "draining", "lapsed", "returned"}[s] }

// Target is one replica of a service.
type Target struct {
	// ID is its identity. Most replicas have another after a restart; some keep it (Life).
	ID string
	// StartMs is as in Life.
	StartMs int64
	// Service is the name of the target's service.
	Service string
	// Address is where calls are sent, as host and port.
	Address string
	// DataCentre is where the target runs.
	DataCentre string
	// Slots is how many calls the target works on at a time; 0 for unknown.
	Slots int32
	// State is as listed, or Lapsed, or Returned.
	State State
	// Evacuated says that the target's data centre takes no new work. The directory sets
	// it (Edit.Evacuate); what a caller puts there does not count.
	Evacuated bool
	// StateUntil is until when a target has Lapsed or Returned, by this node's clock; zero
	// for other states.
	StateUntil time.Time
	// ColdUntil is until when the target is cold, by this node's clock: until then it
	// bears a few requests a second and falls over at many (package warmup). Zero for
	// never.
	ColdUntil time.Time
}

// Directory is what is known of all targets.
type Directory struct {
	// targets are all, by identity; services are those of each service, in the order
	// of their identities.
	targets  map[string]Target
	services map[string][]Target
	// evacuated holds the data centres whose targets take no new work.
	evacuated map[string]bool
}

// New returns a directory of the given targets.
func New(targets ...Target) *Directory {
	d := &Directory{targets: make(map[string]Target, len(targets))}
	for _, t := range targets {
		d.targets[t.ID] = t
	}
	return d.indexed()
}

func (d *Directory) indexed() *Directory {
	d.services = make(map[string][]Target)
	for id, t := range d.targets {
		t.Evacuated = d.evacuated[t.DataCentre]
		d.targets[id] = t
		d.services[t.Service] = append(d.services[t.Service], t)
	}
	for _, ts := range d.services {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return d
}

// With returns the directory with a target added or changed.
func (d *Directory) With(t Target) *Directory {
	e := d.Edit()
	e.Put(t)
	return e.Directory()
}

// WithLapsed returns the directory with a target lapsed until a time, as Edit.Lapse
// does it.
func (d *Directory) WithLapsed(id string, until time.Time) *Directory {
	e := d.Edit()
	e.Lapse(id, until)
	return e.Directory()
}

// WithTime returns the directory at a time, as Edit.Expire does it.
func (d *Directory) WithTime(now time.Time) *Directory {
	e := d.Edit()
	e.Expire(now)
	return e.Directory()
}

// Service returns the targets of a service in any state, in the order of their
// identities; the caller must not change them.
func (d *Directory) Service(name string) []Target { return d.services[name] }

// Target returns a target in any state by identity; false for unknown.
func (d *Directory) Target(id string) (Target, bool) {
	t, known := d.targets[id]
	return t, known
}

// All returns every target by identity; the caller must not change them.
func (d *Directory) All() map[string]Target { return d.targets }

// Usable says whether a target is known and takes new work at the given time.
func (d *Directory) Usable(id string, now time.Time) bool {
	t, known := d.targets[id]
	return known && t.Usable(now)
}

// Usable says whether the target takes new work at the given time: when it is Open and,
// if it has lapsed, its time is not over. Whether this node leaves it unused for failing
// is another question (placement.TargetTable.Ejected).
func (t Target) Usable(now time.Time) bool {
	return t.Schedulable() && (t.State != Lapsed || now.Before(t.StateUntil))
}

// Schedulable says whether the target takes new work for as long as it is listed or lapsed: it
// neither drains nor has Returned, and its data centre is not evacuated.
func (t Target) Schedulable() bool { return t.State != Draining && t.State != Returned && !t.Evacuated }

// Cold says whether the target is cold at the given time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// AllEvacuated says whether a service has no open target because of evacuations: one at
// least would take new work if its data centre were taken back.
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
