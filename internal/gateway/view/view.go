// Package view holds what a node knows of the deployment: the catalog in force, the
// directory of targets and the evacuated data centres, up to a revision of the source. It
// decides what a change means and what changed since a revision. It does no input or
// output and reads no clock; views are immutable and need no lock.
//
// The package owns the view of one node. It relies on the source, or on a member
// that has read it, for the changes; while neither can be reached the view stays as it
// is, and is used as it is. Within a node's life the catalog's version and the revision
// never go back: an older list or delta is dropped. A target that vanishes while the
// source is failing is used for LapseGrace more, since the source itself may have
// lost it. A source may come back from an older copy; what it lists then goes before what
// was known, but for an older catalog, targets that had left, and for a while evacuations.
//
// See docs/decisions/0011.
package view

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// LapseGrace is how long after the source's last outage a target that vanished is
// still used. Targets register themselves again within two of their heartbeats, about
// 2 s; a node that can read the source again learns soon afterwards who drains, so the
// time counts from the outage and not from the change.
const LapseGrace = 2600 * time.Millisecond

// Change is one change that the source reports.
type Change interface{ isChange() }

// CatalogChange is a new configuration.
type CatalogChange struct {
	Catalog *catalog.Catalog
	// Document is the source's own text, in bytes as read, to pass on to members.
	Document []byte
}

// TargetChange is a target that was added or changed.
type TargetChange struct {
	Target directory.Target
	// ColdFor is how much longer the target says that it stays cold; 0 for not cold. It
	// counts from when the change is taken in, which is later than the target said it: the
	// target is warm by then at the latest.
	ColdFor time.Duration
}

// target returns the target as of now.
func (c TargetChange) target(now time.Time) directory.Target {
	t := c.Target
	if c.ColdFor > 0 {
		t.ColdUntil = now.Add(c.ColdFor)
	}
	return t
}

// TargetGone is a target that vanished.
type TargetGone struct{ ID string }

// Rejected is an entry of the source that does not read; it is logged. A configuration
// that does not read leaves the last one in force. A target's entry that does not read is
// another writer's and names no target, so that the one which stood there is not used any
// more.
type Rejected struct {
	Key, Reason string
	// Target is the identity of the target whose entry it replaces; empty for other keys.
	Target string
}

func (CatalogChange) isChange() {}
func (TargetChange) isChange()  {}
func (TargetGone) isChange()    {}
func (Rejected) isChange()      {}

// Changes are what the source reports up to a revision, in order.
type Changes struct {
	Revision Revision
	List     []Change
}

// View is what is known. It is immutable.
type View struct {
	// Revision is the position up to which changes are taken in; 0 for none.
	Revision Revision
	// Catalog is the configuration in force; nil for none.
	Catalog *catalog.Catalog
	// Document is the source's own text of the catalog, to pass on to members.
	Document []byte
	// Directory is the targets; never nil.
	Directory *directory.Directory
	// Evacuations are the data centres that are, or were, evacuated.
	Evacuations Evacuations
	// history is what changed lately, up to Revision.
	history History
	// departed are the targets that went lately.
	departed departures
}

// New returns the view of a node that knows nothing.
func New() *View { return &View{Directory: directory.New()} }

// Version returns the version of the catalog in force; 0 for none.
func (v *View) Version() int64 {
	if v.Catalog == nil {
		return 0
	}
	return v.Catalog.Version
}

// Service returns what the catalog says of a service; one of which it says nothing has
// its name alone.
func (v *View) Service(name string) *catalog.Service {
	if v.Catalog != nil {
		if s := v.Catalog.Service(name); s != nil {
			return s
		}
	}
	return &catalog.Service{Name: name}
}

// WithChanges returns the view with changes taken in. An older catalog than the one
// in force is dropped. lastOutage is when the source last failed; zero for never. A
// target that vanishes within LapseGrace of it counts as lapsed.
func (v *View) WithChanges(now time.Time, ch Changes, lastOutage time.Time) *View {
	targets := v.Directory.Edit()
	return v.withChanges(targets, now, ch, lastOutage, false).withTargets(now, targets)
}

// withTargets returns a new view, which is the caller's own, with the directory that an edit
// gives.
func (v *View) withTargets(now time.Time, targets *directory.Edit) *View {
	v.Directory = targets.Directory()
	v.departed = v.departed.with(now, targets.Removed())
	return v
}

// withChanges returns the view with changes taken in; those of targets are only noted
// in an edit. whole says that they are a list of all that the source holds.
func (v *View) withChanges(targets *directory.Edit, now time.Time, ch Changes, lastOutage time.Time, whole bool) *View {
	next := *v
	evacuations := v.Evacuations
	restored := ch.Revision.IsRestoredSince(v.Revision)
	for _, c := range ch.List {
		switch c := c.(type) {
		case CatalogChange:
			next = *next.withCatalog(c)
		case TargetChange:
			t := c.target(now)
			if restored && !v.Directory.Lives(t.Life()) {
				t = v.departed.returning(now, t, v.Directory)
			}
			targets.Put(t)
		case TargetGone:
			removeTarget(targets, now, c.ID, lastOutage)
		case EvacuationChange:
			c.Since = now
			evacuations = evacuations.With(c.Evacuation, whole || c.From != "")
		case Rejected:
			targets.Remove(c.Target)
		}
	}
	next.withEvacuations(targets, now, evacuations)
	next.Revision = max(next.Revision, ch.Revision)
	next.history = next.history.With(ch)
	return &next
}

// withCatalog returns the view with a catalog, unless that is no newer than the one in
// force: a restored source may list an older one.
func (v *View) withCatalog(c CatalogChange) *View {
	if v.Catalog != nil && c.Catalog.Version <= v.Catalog.Version {
		return v
	}
	next := *v
	next.Catalog, next.Document = c.Catalog, c.Document
	return &next
}

// withCatalogOf returns the view with the catalog alone of changes that do not follow on
// it: a member that has not heard that the source came back may know a newer one.
func (v *View) withCatalogOf(ch Changes) *View {
	for _, c := range ch.List {
		if c, is := c.(CatalogChange); is {
			v = v.withCatalog(c)
		}
	}
	return v
}

// WithSnapshot returns the view with the directory replaced by a whole list of the
// source; targets that are not listed have vanished. A list that is older than the
// view is dropped, but for a newer catalog. The first list of a restored source lacks
// what is newer than its copy, as after an outage that ends now.
func (v *View) WithSnapshot(now time.Time, ch Changes, lastOutage time.Time) *View {
	if ch.Revision < v.Revision {
		return v.withCatalogOf(ch)
	}
	if ch.Revision.IsRestoredSince(v.Revision) {
		lastOutage = now
	}
	listed := make(map[string]bool, len(ch.List))
	for _, c := range ch.List {
		if t, ok := c.(TargetChange); ok {
			listed[t.Target.ID] = true
		}
	}
	targets := v.Directory.Edit()
	next := v.withChanges(targets, now, ch, lastOutage, true)
	next.withEvacuations(targets, now, next.Evacuations.withListed(now, ch))
	for _, id := range slices.Collect(maps.Keys(targets.All())) {
		if !listed[id] {
			removeTarget(targets, now, id, lastOutage)
		}
	}
	next.history = newHistory(next.Revision)
	return next.withTargets(now, targets)
}

// WithTime returns the view at a time: without the lapsed targets whose grace is over, with
// the returned ones ready whose time is over, and with disputed evacuations settled; the same
// view when there are none.
func (v *View) WithTime(now time.Time) *View {
	targets := v.Directory.Edit()
	targets.Expire(now)
	next := *v
	next.withEvacuations(targets, now, v.Evacuations.withTime(now))
	if next.withTargets(now, targets); next.Directory == v.Directory {
		return v
	}
	return &next
}

// removeTarget decides what becomes of a target that vanished: it has lapsed within
// LapseGrace of an outage, and is gone otherwise. A wrong lapse sends calls to a
// target that has left; a wrong removal leaves a service without targets that work.
func removeTarget(targets *directory.Edit, now time.Time, id string, lastOutage time.Time) {
	if until := lastOutage.Add(LapseGrace); !lastOutage.IsZero() && now.Before(until) {
		targets.Lapse(id, until)
		return
	}
	targets.Remove(id)
}
