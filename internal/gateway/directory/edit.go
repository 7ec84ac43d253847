package directory

import (
	"maps"
	"time"
)

// Edit collects changes to a directory, so that many changes cost one copy and one index
// rebuild (see BenchmarkEdit). The base directory is not modified.
type Edit struct {
	base *Directory
	// targets holds the targets with the changes so far; nil before the first change.
	targets map[string]Target
	// evacuated holds the data centres that accept no new work, with the changes so far.
	evacuated map[string]bool
	// removed lists the targets that were removed or restarted, in their last state.
	removed []Target
}

// Edit returns an empty set of changes to the directory.
func (d *Directory) Edit() *Edit { return &Edit{base: d, evacuated: d.evacuated} }

// Put adds or replaces a target. Within one incarnation, the later ColdUntil wins, a
// Draining target stays so, and a Returned one stays so until StateUntil unless it is now
// Draining, since a source that was restored from an older copy lists outdated states. The
// later ColdUntil also wins if the known start was 0, as t may be the same process. If t
// has no start, the known one is kept, and so is the software version of a known incarnation:
// members of an earlier version forward targets without them. What is kept against t's entry
// is marked (Target.EntryReady, Target.EntryVersion).
func (e *Edit) Put(t Target) {
	if known, is := e.lookup(t.ID); is {
		if t.StartMs == 0 {
			t.StartMs = known.StartMs
		}
		if t.StartMs == known.StartMs && !t.Version.Known() {
			t.Version = known.Version
			t.marks = t.marks.with(versionLost, known.Version.Known())
		}
		if t.StartMs == known.StartMs || known.StartMs == 0 {
			t.ColdUntil = later(t.ColdUntil, known.ColdUntil)
		}
		if t.StartMs == known.StartMs && t.State != Draining && (known.State == Draining || known.State == Returned) {
			t.marks = t.marks.with(drainTakenBack, t.State == Ready && known.State == Draining)
			t.State, t.StateUntil = known.State, known.StateUntil
		}
		if t.StartMs != known.StartMs {
			e.removed = append(e.removed, known)
		}
	}
	e.mutableTargets()[t.ID] = t
}

// Remove removes a target, if it is known.
func (e *Edit) Remove(id string) {
	if t, known := e.lookup(id); known {
		delete(e.mutableTargets(), id)
		e.removed = append(e.removed, t)
	}
}

// Removed returns the targets that were removed or restarted, in their last state.
func (e *Edit) Removed() []Target { return e.removed }

// Expire ends the states whose StateUntil has passed: Lapsed targets are removed, Returned
// ones become ready.
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
			e.mutableTargets()[id] = t
		case Ready, Draining:
		}
	}
}

// Lapse marks a target as Lapsed until the given time. A Draining target is removed
// instead, as its disappearance was announced, and so is a Returned one. A target that has
// already lapsed keeps its StateUntil.
func (e *Edit) Lapse(id string, until time.Time) {
	t, known := e.lookup(id)
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

// Evacuate sets the data centres whose targets accept no new work. The caller must not
// modify the map afterwards.
func (e *Edit) Evacuate(dataCentres map[string]bool) {
	if !maps.Equal(e.evacuated, dataCentres) {
		e.evacuated = dataCentres
		e.mutableTargets() // marks the directory as changed
	}
}

// WarmUp marks the targets of a data centre as cold from now on, each for the time that
// warmsUpIn returns. Targets for which it returns 0 are not changed.
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// All returns all targets by identity, with the changes so far. The caller must not modify
// the map.
func (e *Edit) All() map[string]Target {
	if e.targets != nil {
		return e.targets
	}
	return e.base.targets
}

// Directory returns the directory with the changes, or the base if there are none.
func (e *Edit) Directory() *Directory {
	if e.targets == nil {
		return e.base
	}
	return (&Directory{targets: e.targets, evacuated: e.evacuated}).buildIndex()
}

func (e *Edit) lookup(id string) (Target, bool) {
	t, known := e.All()[id]
	return t, known
}

// mutableTargets returns the map of targets to modify. The first call copies the base's
// map.
func (e *Edit) mutableTargets() map[string]Target {
	if e.targets == nil {
		e.targets = maps.Clone(e.base.targets)
	}
	return e.targets
}
