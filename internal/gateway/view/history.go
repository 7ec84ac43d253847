package view

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// maxHistory bounds the reports of changes that a History remembers. A member that is
// further behind gets the whole view. Changes come four times a second at most, so that
// it covers two minutes.
const maxHistory = 512

// changed is the identities of the targets that changed up to a revision, as they
// were reported together.
type changed struct {
	revision Revision
	ids      []string
}

// History remembers which targets changed at which revision, so that a member that is
// behind can be sent only those. It is immutable; the zero value remembers nothing.
type History struct {
	// from and until are the revisions between which all changes are remembered; 0
	// for none.
	from, until Revision
	reports     []changed
}

// newHistory returns a history that remembers what comes after a revision.
func newHistory(revision Revision) History { return History{from: revision, until: revision} }

// With returns the history with changes that were reported. Older ones than it knows
// are dropped.
func (h History) With(ch Changes) History {
	if ch.Revision <= h.until {
		return h
	}
	h.until = ch.Revision
	report := changed{revision: ch.Revision}
	for _, c := range ch.List {
		switch c := c.(type) {
		case TargetChange:
			report.ids = append(report.ids, c.Target.ID)
		case TargetGone:
			report.ids = append(report.ids, c.ID)
		case Rejected:
			if c.Target != "" {
				report.ids = append(report.ids, c.Target)
			}
		case CatalogChange, EvacuationChange:
		}
	}
	if len(report.ids) == 0 {
		return h
	}
	h.reports = append(slices.Clip(h.reports), report)
	if n := len(h.reports) - maxHistory; n > 0 {
		h.from = h.reports[n-1].revision
		h.reports = h.reports[n:]
	}
	return h
}

// Since returns the targets that changed after a revision, each once; false when
// that is not remembered.
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

// Delta is what changed between two revisions, as it stands at the later one.
type Delta struct {
	// Since is the revision of the views that the delta can be added to, Revision
	// the one that they have afterwards.
	Since, Revision Revision
	// Targets are those that were added or changed; Gone the identities of those that
	// vanished.
	Targets []directory.Target
	Gone    []string
	// Catalog is a configuration that came between them; nil for none.
	Catalog *CatalogChange
	// Evacuations are all that the member knows, whatever changed: they are few, and who
	// knows them already drops them.
	Evacuations []Evacuation
}

// DeltaSince returns what changed after a revision; false when that is not
// remembered.
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
		d.Gone = append(d.Gone, id)
	}
	return d, true
}

// WithDelta returns the view with a member's delta taken in. A view that has another
// revision than the delta is for takes its catalog alone, if that is newer.
func (v *View) WithDelta(now time.Time, d Delta) *View {
	ch := d.Changes()
	if d.Since != v.Revision || d.Revision <= v.Revision {
		return v.withCatalogOf(ch)
	}
	// The member has decided which targets lapse, so that the others have gone here too.
	return v.WithChanges(now, ch, time.Time{})
}

// Changes lists what changed, for the log.
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
	for _, id := range d.Gone {
		ch.List = append(ch.List, TargetGone{ID: id})
	}
	return ch
}
