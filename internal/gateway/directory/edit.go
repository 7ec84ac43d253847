package directory

import (
	"maps"
	"time"
)

// Edit gathers changes of a directory, so that many together cost one copy and one
// index of it (BenchmarkEdit). The base stays as it is.
type Edit struct {
	base *Directory
	// targets are those after the changes so far; nil before the first.
	targets map[string]Target
	// evacuated are the data centres that take no new work after the changes so far.
	evacuated map[string]bool
	// removed are the targets that were dropped, or began another life, as they were then.
	removed []Target
}

// Edit begins changes of the directory.
func (d *Directory) Edit() *Edit { return &Edit{base: d, evacuated: d.evacuated} }

// Put adds or changes a target. In one life, a target that was known to be cold for longer
// stays so, one that drains does not take new work again, and one that has Returned waits
// for its time: a source that came back from an older copy lists what it knew then. A start
// that is not said is the one that is known: members of an earlier version pass targets on
// without it.
func (e *Edit) Put(t Target) {
	if known, is := e.target(t.ID); is {
		if t.StartMs == 0 {
			t.StartMs = known.StartMs
		}
		if t.StartMs == known.StartMs || known.StartMs == 0 {
			t.ColdUntil = later(t.ColdUntil, known.ColdUntil)
		}
		if t.StartMs == known.StartMs && t.State != Draining && (known.State == Draining || known.State == Returned) {
			t.State, t.StateUntil = known.State, known.StateUntil
		}
		if t.StartMs != known.StartMs {
			e.removed = append(e.removed, known)
		}
	}
	e.changed()[t.ID] = t
}

// Remove drops a target.
func (e *Edit) Remove(id string) {
	if t, known := e.target(id); known {
		delete(e.changed(), id)
		e.removed = append(e.removed, t)
	}
}

// Removed returns the targets that were dropped, or began another life, as they were then.
func (e *Edit) Removed() []Target { return e.removed }

// Expire ends the states whose time is over: targets that have Lapsed are dropped, those
// that have Returned are ready.
func (e *Edit) Expire(now time.Time) {
	for id, t := range e.base.targets {
		if t.StateUntil.IsZero() || now.Before(t.StateUntil) {
			continue
		}
		switch t.State {
		case Lapsed:
			e.Remove(id)
		case Returned:
			t.State, t.StateUntil = Ready, time.Time{}
			e.changed()[id] = t
		case Ready, Draining:
		}
	}
}

// Lapse has a target lapse at a time. One that was draining is dropped: it vanished as
// announced; so is one that has Returned. One that has lapsed already keeps its time.
func (e *Edit) Lapse(id string, until time.Time) {
	t, known := e.target(id)
	switch {
	case !known, t.State == Lapsed:
	case t.State == Draining, t.State == Returned:
		e.Remove(id)
	default:
		t.State = Lapsed
		t.StateUntil = until
		e.Put(t)
	}
}

// Evacuate sets the data centres whose targets take no new work; the caller must not
// change the set afterwards.
func (e *Edit) Evacuate(dataCentres map[string]bool) {
	if !maps.Equal(e.evacuated, dataCentres) {
		e.evacuated = dataCentres
		e.changed()
	}
}

// WarmUp has the targets of a data centre that need so long to warm up count as cold
// until then; warmsUpIn returns 0 for those that need no time.
func (e *Edit) WarmUp(now time.Time, dataCentre string, warmsUpIn func(Target) time.Duration) {
	for _, t := range maps.Clone(e.All()) {
		if t.DataCentre != dataCentre {
			continue
		}
		if d := warmsUpIn(t); d > 0 {
			t.ColdUntil = later(t.ColdUntil, now.Add(d))
			e.Put(t)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// All returns every target after the changes so far by identity; the caller must not
// change them.
func (e *Edit) All() map[string]Target {
	if e.targets != nil {
		return e.targets
	}
	return e.base.targets
}

// Directory returns the directory with the changes; the base when there were none.
func (e *Edit) Directory() *Directory {
	if e.targets == nil {
		return e.base
	}
	return (&Directory{targets: e.targets, evacuated: e.evacuated}).indexed()
}

func (e *Edit) target(id string) (Target, bool) {
	t, known := e.All()[id]
	return t, known
}

// changed returns the targets to change, a copy of the base's before the first change.
func (e *Edit) changed() map[string]Target {
	if e.targets == nil {
		e.targets = maps.Clone(e.base.targets)
	}
	return e.targets
}
