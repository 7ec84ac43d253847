// Package directory holds the targets of all services, as the platform lists them.
// A Directory is immutable; it does no input or output and reads no clock.
//
// The package owns the states of a target and the rule which of them takes new work
// (Target.Usable). It relies on package view, which says what a change of the
// platform's list means and which data centres are evacuated; without changes the
// targets stay as they are.
package directory

import (
	"iter"
	"maps"
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
	// They take new work until LapsesAt, by which a target that lives is listed
	// again.
	Lapsed
)

// String gives the text used in logs.
func (s State) String() string { return [...]string{"ready", "draining", "lapsed"}[s] }

// Target is one replica of a service.
type Target struct {
	// ID is its identity. Most replicas have another after a restart; some keep it (Life).
	ID string
	// Born is as in Life.
	Born int64
	// Service is the name of the target's service.
	Service string
	// Address is where calls are sent, as host and port.
	Address string
	// DataCentre is where the target runs.
	DataCentre string
	// Slots is how many calls the target works on at a time; 0 for unknown.
	Slots int32
	// State is as listed, or Lapsed.
	State State
	// Evacuated says that the target's data centre takes no new work. The directory sets
	// it (Edit.Evacuate); what a caller puts there does not count.
	Evacuated bool
	// LapsesAt is until when a lapsed target is used, by this node's clock; zero for
	// others.
	LapsesAt time.Time
	// ColdUntil is until when the target is cold, by this node's clock: until then it
	// bears a few requests a second and falls over at many (package warmup). Zero for
	// never.
	ColdUntil time.Time
}

// Directory is what is known of all targets.
//
// It has no index of all of them, so that a change copies the list of one service and
// nothing else: each node takes in each change, some four times a second, and with a copy
// and an index of 10,000 targets each took 11 ms, a fifth of a weak node's processor
// (BenchmarkEdit).
type Directory struct {
	services map[string]*service
	// evacuated holds the data centres whose targets take no new work.
	evacuated map[string]bool
}

// service is the targets of one service.
type service struct {
	// targets are in the order of their identities; an identity is listed once, in one
	// service.
	targets []Target
	// lapsed counts those that have lapsed, coldUntil is when all are warm.
	lapsed    int
	coldUntil time.Time
}

func newService(targets []Target) *service {
	s := &service{targets: targets}
	for i := range targets {
		t := &targets[i]
		s.coldUntil = later(s.coldUntil, t.ColdUntil)
		if t.State == Lapsed {
			s.lapsed++
		}
	}
	return s
}

// New returns a directory of the given targets.
func New(targets ...Target) *Directory {
	e := (&Directory{}).Edit()
	for _, t := range targets {
		e.Put(t)
	}
	return e.Directory()
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

// WithTime returns the directory without the lapsed targets whose time is over.
func (d *Directory) WithTime(now time.Time) *Directory {
	e := d.Edit()
	for _, s := range d.services {
		if s.lapsed == 0 {
			continue
		}
		for _, t := range s.targets {
			if t.State == Lapsed && !now.Before(t.LapsesAt) {
				e.Remove(t.ID)
			}
		}
	}
	return e.Directory()
}

// Service returns the targets of a service in any state, in the order of their
// identities; the caller must not change them.
func (d *Directory) Service(name string) []Target {
	if s := d.services[name]; s != nil {
		return s.targets
	}
	return nil
}

// Target returns a target in any state by identity; false for unknown.
func (d *Directory) Target(id string) (Target, bool) {
	for _, s := range d.services {
		if i, listed := s.find(id); listed {
			return s.targets[i], true
		}
	}
	return Target{}, false
}

// find returns the index of a target.
func (s *service) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.targets, id, func(t Target, id string) int { return strings.Compare(t.ID, id) })
}

// All goes through the targets by identity, service after service.
func (d *Directory) All() iter.Seq2[string, Target] {
	return func(yield func(string, Target) bool) {
		for _, name := range slices.Sorted(maps.Keys(d.services)) {
			for _, t := range d.services[name].targets {
				if !yield(t.ID, t) {
					return
				}
			}
		}
	}
}

// Size returns how many targets there are.
func (d *Directory) Size() int {
	n := 0
	for _, s := range d.services {
		n += len(s.targets)
	}
	return n
}

// ColdCount returns how many targets are cold at the given time.
func (d *Directory) ColdCount(now time.Time) int {
	n := 0
	for _, s := range d.services {
		if !now.Before(s.coldUntil) {
			continue
		}
		for i := range s.targets {
			if s.targets[i].Cold(now) {
				n++
			}
		}
	}
	return n
}

// Usable says whether a target is known and takes new work at the given time.
func (d *Directory) Usable(id string, now time.Time) bool {
	t, known := d.Target(id)
	return known && t.Usable(now)
}

// Usable says whether the target takes new work at the given time: when it is Open and,
// if it has lapsed, its time is not over. Whether this node leaves it unused for failing
// is another question (placement.TargetTable.Ejected).
func (t Target) Usable(now time.Time) bool {
	return t.Open() && (t.State != Lapsed || now.Before(t.LapsesAt))
}

// Open says whether the target takes new work for as long as it is listed or lapsed: it
// does not drain, and its data centre is not evacuated.
func (t Target) Open() bool { return t.State != Draining && !t.Evacuated }

// Cold says whether the target is cold at the given time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// AllEvacuated says whether a service has no open target because of evacuations: one at
// least would take new work if its data centre were taken back.
func (d *Directory) AllEvacuated(service string) bool {
	evacuated := false
	for _, t := range d.Service(service) {
		if t.Open() {
			return false
		}
		evacuated = evacuated || t.State != Draining
	}
	return evacuated
}
