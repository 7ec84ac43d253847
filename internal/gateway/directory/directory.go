// Package directory holds the targets that are known one by one, as the
// platform tells of them. A Directory is immutable and does no input or output.
package directory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is the part of its life that a target is in.
type State int

// States of a target.
const (
	// Ready targets take new work.
	Ready State = iota
	// Draining targets finish what they have.
	Draining
	// Lapsed targets vanished from the list while the list itself was in
	// trouble; they are used until the list has had time to name them again.
	Lapsed
)

// String gives the text used in logs.
func (s State) String() string { return [...]string{"ready", "draining", "lapsed"}[s] }

// Target is one start of one replica of a service.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
	// LapsesAt is when a lapsed target is given up.
	LapsesAt time.Time
}

// Directory is what is known of all targets.
type Directory struct {
	targets  map[string]Target
	services map[string][]Target
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
	for _, t := range d.targets {
		d.services[t.Service] = append(d.services[t.Service], t)
	}
	for _, ts := range d.services {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return d
}

// With returns the directory with a target added or changed.
func (d *Directory) With(t Target) *Directory {
	targets := maps.Clone(d.targets)
	targets[t.ID] = t
	return (&Directory{targets: targets}).indexed()
}

// Without returns the directory without a target.
func (d *Directory) Without(id string) *Directory {
	targets := maps.Clone(d.targets)
	delete(targets, id)
	return (&Directory{targets: targets}).indexed()
}

// WithLapsed marks a target as vanished while the list was in trouble. A target
// that said that it leaves is dropped.
func (d *Directory) WithLapsed(id string, until time.Time) *Directory {
	t, known := d.targets[id]
	if !known {
		return d
	}
	if t.State == Draining {
		return d.Without(id)
	}
	if t.State == Lapsed {
		return d
	}
	t.State = Lapsed
	t.LapsesAt = until
	return d.With(t)
}

// WithTime drops the lapsed targets whose time is over.
func (d *Directory) WithTime(now time.Time) *Directory {
	for id, t := range d.targets {
		if t.State == Lapsed && !now.Before(t.LapsesAt) {
			d = d.Without(id)
		}
	}
	return d
}

// Service returns the targets of a service; the caller must not change them.
func (d *Directory) Service(name string) []Target { return d.services[name] }

// Target returns a target by identity.
func (d *Directory) Target(id string) (Target, bool) {
	t, known := d.targets[id]
	return t, known
}

// All returns every target.
func (d *Directory) All() map[string]Target { return d.targets }

// Usable says whether a target takes new work at the given time.
func (d *Directory) Usable(id string, now time.Time) bool {
	t, known := d.targets[id]
	return known && t.Usable(now)
}

// Usable says whether the target takes new work at the given time.
func (t Target) Usable(now time.Time) bool {
	return t.State == Ready || (t.State == Lapsed && now.Before(t.LapsesAt))
}
