// Package view holds a node's view of the deployment: the catalog in force, the directory of
// targets and the evacuated data centres, up to a revision of the source. It defines how
// changes are applied and reports what changed since a revision. It performs no I/O and reads
// no clock; a View is immutable and needs no lock.
//
// Changes come from the source, the store in which the configuration is published, targets
// register and evacuations are ordered, or from a member, another gateway node, that has read
// it. While neither can be reached, the node keeps using the last view. The catalog version and
// the revision never decrease while the node runs: older snapshots and deltas are dropped. A
// target that disappears while the source is failing stays in use for LapseGrace, since the
// source itself may have lost the entry.
//
// A source may be restored from an older copy of its data. What it lists then replaces what
// the node knew, except for an older catalog, for targets that had already been removed and,
// for a limited time, for evacuations.
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

// LapseGrace is how long after the source's last outage a target that disappeared stays in
// use. Targets register again within two heartbeats, about 2 s. The time counts from the
// outage and not from the change, since a node that can read the source again soon learns
// which targets are draining.
const LapseGrace = 2600 * time.Millisecond

// Change is one change reported by the source.
type Change interface{ isChange() }

// CatalogChange is a new catalog.
type CatalogChange struct {
	Catalog *catalog.Catalog
	// Document is the configuration as read from the source, byte for byte. It is passed on
	// to members.
	Document []byte
	// First reports whether the source never had another one; false if that is not known.
	First bool
}

// TargetChange adds or updates a target.
type TargetChange struct {
	Target directory.Target
	// ColdFor is how much longer the target stays cold by its own report; 0 if it is warm. It
	// counts from when the change is applied. That is later than the report, so the target is
	// warm at the latest when this time has passed.
	ColdFor time.Duration
	// First reports whether the source had no entry of the target before; false if that is not known.
	First bool
}

// target returns the target with ColdUntil set from ColdFor.
func (c TargetChange) target(now time.Time) directory.Target {
	t := c.Target
	if c.ColdFor > 0 {
		t.ColdUntil = now.Add(c.ColdFor)
	}
	return t
}

// TargetRemoval removes a target.
type TargetRemoval struct{ ID string }

// RejectedEntry is an entry of the source that cannot be decoded; it is logged. After an
// invalid configuration the last valid one stays in force. An invalid target entry was written
// by something other than a target and describes none, so the target that the entry described
// before is removed.
type RejectedEntry struct {
	Key, Reason string
	// TargetID is the ID of the target whose entry was overwritten; empty for other keys.
	TargetID string
}

func (CatalogChange) isChange() {}
func (TargetChange) isChange()  {}
func (TargetRemoval) isChange() {}
func (RejectedEntry) isChange() {}

// Changes are the changes that the source reports up to a revision, in order.
type Changes struct {
	Revision Revision
	List     []Change
	// At holds the revision of each change, if the source tells it.
	At []Revision
}

// View is a node's view of the deployment. It is immutable.
type View struct {
	// Revision is the revision up to which changes have been applied; 0 if none have.
	Revision Revision
	// Catalog is the catalog in force; nil if there is none.
	Catalog *catalog.Catalog
	// Document is the catalog as read from the source. It is passed on to members.
	Document []byte
	// Directory holds the targets; never nil.
	Directory *directory.Directory
	// Evacuations holds the data centres that are, or were, evacuated.
	Evacuations Evacuations
	// history records the recent changes up to Revision.
	history History
	// tombstones records the recently removed targets.
	tombstones tombstones
}

// New returns an empty view.
func New() *View { return &View{Directory: directory.New()} }

// CatalogVersion returns the version of the catalog in force; 0 if there is none.
func (v *View) CatalogVersion() int64 {
	if v.Catalog == nil {
		return 0
	}
	return v.Catalog.Version
}

// Service returns a service from the catalog. A service that the catalog does not list has
// only its name set.
func (v *View) Service(name string) *catalog.Service {
	if v.Catalog != nil {
		if s := v.Catalog.Service(name); s != nil {
			return s
		}
	}
	return &catalog.Service{Name: name}
}

// WithChanges returns the view with changes applied. A catalog that is not newer than the one
// in force is dropped. lastOutage is when the source last failed; zero if it never did. A
// target that disappears within LapseGrace of it lapses (removeTarget).
func (v *View) WithChanges(now time.Time, ch Changes, lastOutage time.Time) *View {
	targets := v.Directory.Edit()
	return v.applyChanges(targets, now, ch, lastOutage, false).commitTargets(now, targets)
}

// commitTargets commits an edit of the directory to v and returns v, which must not be shared
// yet.
func (v *View) commitTargets(now time.Time, targets *directory.Edit) *View {
	v.Directory = targets.Directory()
	v.tombstones = v.tombstones.with(now, targets.Removed())
	return v
}

// applyChanges returns the view with changes applied; changes to targets are only recorded in
// the edit. isSnapshot reports whether the changes are a complete listing of the source.
func (v *View) applyChanges(targets *directory.Edit, now time.Time, ch Changes, lastOutage time.Time, isSnapshot bool) *View {
	next := *v
	evacuations := v.Evacuations
	restored := ch.Revision.IsRestoredSince(v.Revision)
	for _, c := range ch.List {
		switch c := c.(type) {
		case CatalogChange:
			next = *next.withCatalog(c)
		case TargetChange:
			t := c.target(now)
			if restored && !v.Directory.IsCurrent(t.Incarnation()) {
				t = v.tombstones.relisted(now, t, v.Directory)
			}
			targets.Put(t)
		case TargetRemoval:
			removeTarget(targets, now, c.ID, lastOutage)
		case EvacuationChange:
			c.Since = now
			evacuations = evacuations.With(c.Evacuation, isSnapshot || c.From != "")
		case RejectedEntry:
			targets.Remove(c.TargetID)
		}
	}
	next.setEvacuations(targets, now, evacuations)
	next.Revision = max(next.Revision, ch.Revision)
	next.history = next.history.With(ch)
	return &next
}

// withCatalog returns the view with a catalog, or v itself if the catalog is not newer than
// the one in force: a restored source may list an older one.
func (v *View) withCatalog(c CatalogChange) *View {
	if v.Catalog != nil && c.Catalog.Version <= v.Catalog.Version {
		return v
	}
	next := *v
	next.Catalog, next.Document = c.Catalog, c.Document
	return &next
}

// withCatalogFrom returns the view with only the catalog from changes that do not apply to its
// revision: a member that has not learned of a restore of the source may know a newer catalog.
func (v *View) withCatalogFrom(ch Changes) *View {
	for _, c := range ch.List {
		if c, ok := c.(CatalogChange); ok {
			v = v.withCatalog(c)
		}
	}
	return v
}

// WithSnapshot returns the view with the directory replaced by a complete listing of the
// source; targets that are not listed have disappeared. A listing older than the view is
// dropped except for a newer catalog. The first listing of a restored source lacks whatever is
// newer than its copy, so it counts as an outage that ends now.
func (v *View) WithSnapshot(now time.Time, ch Changes, lastOutage time.Time) *View {
	if ch.Revision < v.Revision {
		return v.withCatalogFrom(ch)
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
	next := v.applyChanges(targets, now, ch, lastOutage, true)
	next.setEvacuations(targets, now, next.Evacuations.withSnapshot(now, ch))
	for _, id := range slices.Collect(maps.Keys(targets.All())) {
		if !listed[id] {
			removeTarget(targets, now, id, lastOutage)
		}
	}
	next.history = newHistory(next.Revision)
	return next.commitTargets(now, targets)
}

// WithTime returns the view as of a time: lapsed targets past their deadline are removed,
// returned targets past theirs become ready, and disputed evacuations past theirs are
// resolved. It returns v itself if nothing changed.
func (v *View) WithTime(now time.Time) *View {
	targets := v.Directory.Edit()
	targets.Expire(now)
	next := *v
	next.setEvacuations(targets, now, v.Evacuations.withTime(now))
	if next.commitTargets(now, targets); next.Directory == v.Directory {
		return v
	}
	return &next
}

// removeTarget handles a target that disappeared: within LapseGrace of an outage it lapses,
// unless it was draining or Returned; otherwise it is removed. A wrong lapse sends calls to a
// target that has left; a wrong removal takes working targets from a service.
func removeTarget(targets *directory.Edit, now time.Time, id string, lastOutage time.Time) {
	if until := lastOutage.Add(LapseGrace); !lastOutage.IsZero() && now.Before(until) {
		targets.Lapse(id, until)
		return
	}
	targets.Remove(id)
}
