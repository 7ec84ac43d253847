package directory

// marks is a set of facts about a target. It has one byte so that a Target fits in 128 bytes.
type marks uint8

const (
	// evacuated is set if the target's data centre accepts no new work (Edit.Evacuate).
	evacuated marks = 1 << iota
	// drainTakenBack is set if the target's entry says that it is ready again while it is kept
	// Draining.
	drainTakenBack
	// versionLost is set if the target's entry has no version any more while its version is kept.
	versionLost
)

func (m marks) has(mark marks) bool { return m&mark != 0 }

func (m marks) with(mark marks, is bool) marks {
	if is {
		return m | mark
	}
	return m &^ mark
}

// Rule: what a target's entry says, whatever this node keeps of it.
//
// Edit.Put keeps a drain and a version within one incarnation. A node that starts later knows only
// the latest entry. What all nodes have to agree on therefore depends on the latest entry alone:
// EntryReady and EntryVersion. Members pass on where the entry differs from what they keep.

// EntryReady reports whether the target is listed and its entry says that it is ready.
func (t Target) EntryReady() bool { return t.State == Ready || t.DrainTakenBack() }

// EntryVersion returns the software version in the target's entry; unknown if it has none.
func (t Target) EntryVersion() Version {
	if t.VersionLost() {
		return 0
	}
	return t.Version
}

// Assignable reports whether the target's entry says that it is ready, and its data centre is not
// evacuated.
func (t Target) Assignable() bool { return t.EntryReady() && !t.marks.has(evacuated) }

// DrainTakenBack reports whether the target is kept Draining although its entry says that it is
// ready.
func (t Target) DrainTakenBack() bool { return t.State == Draining && t.marks.has(drainTakenBack) }

// VersionLost reports whether the target keeps a version that its entry no longer has.
func (t Target) VersionLost() bool { return t.Version.Known() && t.marks.has(versionLost) }

// WithEntry returns the target with where its entry differs: it says that a Draining target is
// ready, or has no version.
func (t Target) WithEntry(ready, unversioned bool) Target {
	t.marks = t.marks.with(drainTakenBack, ready && t.State == Draining).with(versionLost, unversioned && t.Version.Known())
	return t
}
