package view

import (
	"slices"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// maxHistory bounds the changes that a History remembers.
const maxHistory = 512

// touched is the targets that one batch of news concerned.
type touched struct {
	revision int64
	ids      []string
}

// History remembers which targets changed at which revision, so that a member
// that lags behind can be told only that. It is immutable; the zero value
// remembers nothing.
type History struct {
	// from and until are the revisions between which all changes are remembered; 0
	// for none.
	from, until int64
	batches     []touched
}

// newHistory returns a history that remembers what comes after a revision.
func newHistory(revision int64) History { return History{from: revision, until: revision} }

// With returns the history with the news that a watch brought.
func (h History) With(ch Changes) History {
	if ch.Revision <= h.until {
		return h
	}
	h.until = ch.Revision
	batch := touched{revision: ch.Revision}
	for _, c := range ch.List {
		switch c := c.(type) {
		case TargetChange:
			batch.ids = append(batch.ids, c.Target.ID)
		case TargetGone:
			batch.ids = append(batch.ids, c.ID)
		case CatalogChange, Rejected:
		}
	}
	if len(batch.ids) == 0 {
		return h
	}
	h.batches = append(slices.Clip(h.batches), batch)
	if n := len(h.batches) - maxHistory; n > 0 {
		h.from = h.batches[n-1].revision
		h.batches = h.batches[n:]
	}
	return h
}

// Since returns the targets that changed after a revision, each once; false when
// that is not remembered.
func (h History) Since(revision int64) ([]string, bool) {
	if h.from == 0 || revision < h.from {
		return nil, false
	}
	var ids []string
	for _, b := range h.batches {
		if b.revision > revision {
			ids = append(ids, b.ids...)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), true
}

// Delta is what changed between two revisions, as it stands at the later one.
type Delta struct {
	// Since is the revision of the views that the delta can be added to.
	Since    int64
	Revision int64
	Targets  []directory.Target
	Gone     []string
}

// DeltaSince returns what changed after a revision; false when that is not
// remembered.
func (v *View) DeltaSince(revision int64) (Delta, bool) {
	ids, known := v.history.Since(revision)
	if !known {
		return Delta{}, false
	}
	d := Delta{Since: revision, Revision: v.Revision}
	for _, id := range ids {
		if t, listed := v.Directory.Target(id); listed {
			d.Targets = append(d.Targets, t)
			continue
		}
		d.Gone = append(d.Gone, id)
	}
	return d, true
}

// WithDelta takes in what a member told. A view that has moved on since it was
// asked for stays as it is.
func (v *View) WithDelta(d Delta) *View {
	if d.Since != v.Revision || d.Revision <= v.Revision {
		return v
	}
	next := *v
	ch := Changes{Revision: d.Revision}
	for _, t := range d.Targets {
		next.Directory = next.Directory.With(t)
		ch.List = append(ch.List, TargetChange{Target: t})
	}
	for _, id := range d.Gone {
		next.Directory = next.Directory.Without(id)
		ch.List = append(ch.List, TargetGone{ID: id})
	}
	next.Revision = d.Revision
	next.history = v.history.With(ch)
	return &next
}
