package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Evacuation is what is known of one data centre: whether its targets take new work.
type Evacuation struct {
	DataCentre string
	// Active says that its targets take no new work; false after it was taken back.
	Active bool
	// Revision is the source's when that was set or lifted.
	Revision Revision
	// OrderedAt is the position of the last order to evacuate it; 0 for unknown.
	OrderedAt Revision
	// DisputedAt is the position at which a restored source said the contrary of Active, and
	// HoldsUntil is until when Active holds all the same; zero for undisputed.
	DisputedAt Revision
	// HoldsUntil: see DisputedAt.
	HoldsUntil time.Time
	// From is the member that said so; empty for the source itself.
	From string
	// Since is when this node heard it, by this node's clock.
	Since time.Time
}

// withOrder returns the evacuation with the position of its order, if it is one.
func (e Evacuation) withOrder() Evacuation {
	if e.Active {
		e.OrderedAt = e.Revision
	}
	return e
}

// EvacuationChange says that a data centre is evacuated, or taken back.
type EvacuationChange struct{ Evacuation }

func (EvacuationChange) isChange() {}

// Evacuations are what is known of the data centres that are, or were, evacuated. It
// is immutable; the zero value knows of none.
//
// A data centre that was taken back stays known with the revision of that, so that an
// older report, which may come later over another member, does not evacuate it again:
// in whatever order reports arrive, all nodes end with the newest. There are as many
// entries as data centres were ever evacuated.
type Evacuations struct{ byDataCentre map[string]Evacuation }

// With returns the evacuations with one more taken in, unless it is older than what is
// known of its data centre; listed is as for Evacuation.followedBy. Of a report that is known
// the dispute is taken in, if that is new.
func (e Evacuations) With(n Evacuation, listed bool) Evacuations {
	known, is := e.byDataCentre[n.DataCentre]
	switch {
	case !is:
		return e.with(n.withOrder())
	case n.Revision == known.Revision && n.DisputedAt > known.DisputedAt:
		return e.with(known.disputed(n.DisputedAt, n.HoldsUntil))
	case n.Revision <= max(known.Revision, known.DisputedAt):
		return e
	}
	return e.with(known.followedBy(n.withOrder(), listed))
}

// with returns the evacuations with what is known of one data centre replaced.
func (e Evacuations) with(n Evacuation) Evacuations {
	next := maps.Clone(e.byDataCentre)
	if next == nil {
		next = make(map[string]Evacuation)
	}
	next[n.DataCentre] = n
	return Evacuations{byDataCentre: next}
}

// Of returns what is known of a data centre; the zero value for nothing.
func (e Evacuations) Of(dataCentre string) Evacuation { return e.byDataCentre[dataCentre] }

// All returns what is known, in the order of the data centres' names.
func (e Evacuations) All() []Evacuation {
	return slices.SortedFunc(maps.Values(e.byDataCentre), func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// ActiveCount returns how many data centres are evacuated.
func (e Evacuations) ActiveCount() int { return len(e.active()) }

// active returns the data centres whose targets take no new work.
func (e Evacuations) active() map[string]bool {
	list := make(map[string]bool)
	for dataCentre, known := range e.byDataCentre {
		if known.Active {
			list[dataCentre] = true
		}
	}
	return list
}

// withListed returns the evacuations after a whole list of the source's keys at a
// revision: a data centre that is not listed was taken back. What is known from a later
// revision stays, and an evacuation that a restored source lacks holds for evacuationHold.
func (e Evacuations) withListed(now time.Time, ch Changes) Evacuations {
	listed := make(map[string]bool)
	for _, c := range ch.List {
		if c, is := c.(EvacuationChange); is {
			listed[c.DataCentre] = true
		}
	}
	for dataCentre, known := range e.byDataCentre {
		switch {
		case listed[dataCentre]:
		case known.Active && ch.Revision.IsRestoredSince(known.Revision):
			e = e.with(known.disputed(ch.Revision, now.Add(evacuationHold)))
		case known.Active || !known.HoldsUntil.IsZero():
			e = e.With(Evacuation{DataCentre: dataCentre, Revision: ch.Revision, Since: now}, true)
		}
	}
	return e
}

// withEvacuations returns the view with its evacuations replaced, and notes in an edit
// which targets take new work from now on. The targets of a data centre that is taken
// back may have turned cold without having said so yet: until their warm-up would be
// over they count as cold. Without that presumption a node that hears of the end first,
// as through a member while the source is slow, would send them what warm targets take.
func (v *View) withEvacuations(targets *directory.Edit, now time.Time, next Evacuations) {
	before := v.Evacuations
	v.Evacuations = next
	targets.Evacuate(next.active())
	for dataCentre, known := range next.byDataCentre {
		if before.Of(dataCentre).Active && !known.Active {
			targets.WarmUp(now, dataCentre, v.warmUpTime)
		}
	}
}

// warmUpTime returns how long a target may stay cold; 0 for one that is never cold.
func (v *View) warmUpTime(t directory.Target) time.Duration { return v.Service(t.Service).WarmUp.Time }
