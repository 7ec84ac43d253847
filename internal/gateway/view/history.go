package view

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// maxHistoryReports bounds the reports of changes that a History keeps. A member that is
// further behind gets the whole view. At four reports a second, the maximum rate, the history
// covers two minutes.
const maxHistoryReports = 512

// changeReport holds the IDs of the targets that changed in one report, and the revision of
// the report.
type changeReport struct {
	revision Revision
	ids      []string
}

// History records which targets changed at which revision, so that a member that is behind can
// be sent only those. It is immutable; the zero value is empty.
type History struct {
	// from and until are the revisions between which all changes are recorded; 0 if none
	// are.
	from, until Revision
	reports     []changeReport
}

// newHistory returns a history of the changes after a revision.
func newHistory(revision Revision) History { return History{from: revision, until: revision} }

// With returns the history with reported changes added. Changes that are not newer than the
// history are dropped.
func (h History) With(ch Changes) History {
	if ch.Revision <= h.until {
		return h
	}
	h.until = ch.Revision
	report := changeReport{revision: ch.Revision}
	for _, c := range ch.List {
		switch c := c.(type) {
		case TargetChange:
			report.ids = append(report.ids, c.Target.ID)
		case TargetRemoval:
			report.ids = append(report.ids, c.ID)
		case RejectedEntry:
			if c.TargetID != "" {
				report.ids = append(report.ids, c.TargetID)
			}
		case CatalogChange, EvacuationChange:
		}
	}
	if len(report.ids) == 0 {
		return h
	}
	h.reports = append(slices.Clip(h.reports), report)
	if n := len(h.reports) - maxHistoryReports; n > 0 {
		h.from = h.reports[n-1].revision
		h.reports = h.reports[n:]
	}
	return h
}

// Since returns the IDs of the targets that changed after a revision, sorted and without
// duplicates; false if the history does not reach back that far.
func (h History) Since(revision Revision) ([]string, bool) {
	if h.from == 0 || revision < h.from {
		return nil, false
	}
	var ids []string
	for _, r := range h.reports {
		if r.revision > revision {
			ids = append(ids, r.ids...)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), true
}

// Continues reports whether the view records all changes since an earlier one.
func (v *View) Continues(earlier *View) bool {
	_, known := v.history.Since(earlier.Revision)
	return known
}

// Delta holds what changed between two revisions, as of the later one.
type Delta struct {
	// Since is the revision of the views to which the delta applies, Revision the one that
	// they have afterwards.
	Since, Revision Revision
	// Targets are the targets that were added or updated, Removed the IDs of those that
	// disappeared.
	Targets []directory.Target
	Removed []string
	// Catalog is a new catalog that came into force between the revisions; nil if none did.
	Catalog *CatalogChange
	// Evacuations are all entries that the sender knows, changed or not: they are few, and a
	// receiver drops those that it knows already.
	Evacuations []Evacuation
}

// DeltaSince returns what changed after a revision, but for the catalog, which the caller adds;
// false if the history does not reach back that far.
func (v *View) DeltaSince(revision Revision) (Delta, bool) {
	ids, known := v.history.Since(revision)
	if !known {
		return Delta{}, false
	}
	d := Delta{Since: revision, Revision: v.Revision, Evacuations: v.Evacuations.All()}
	for _, id := range ids {
		if t, listed := v.Directory.Target(id); listed {
			d.Targets = append(d.Targets, t)
			continue
		}
		d.Removed = append(d.Removed, id)
	}
	return d, true
}

// WithDelta returns the view with a member's delta applied. If the delta starts at another
// revision than the view's, or ends at none newer, only a newer catalog is taken from it.
func (v *View) WithDelta(now time.Time, d Delta) *View {
	ch := d.Changes()
	if d.Since != v.Revision || d.Revision <= v.Revision {
		return v.withCatalogFrom(ch)
	}
	// The member has already decided which targets lapse; the others are removed here too.
	return v.WithChanges(now, ch, time.Time{})
}

// Changes returns the delta as a list of changes, to apply or to log.
func (d Delta) Changes() Changes {
	ch := Changes{Revision: d.Revision}
	if d.Catalog != nil {
		ch.List = append(ch.List, *d.Catalog)
	}
	for _, e := range d.Evacuations {
		ch.List = append(ch.List, EvacuationChange{Evacuation: e})
	}
	for _, t := range d.Targets {
		ch.List = append(ch.List, TargetChange{Target: t})
	}
	for _, id := range d.Removed {
		ch.List = append(ch.List, TargetRemoval{ID: id})
	}
	return ch
}
