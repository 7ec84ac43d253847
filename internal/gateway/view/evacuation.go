package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Evacuation is the evacuation state of one data centre: whether its targets take new work.
type Evacuation struct {
	DataCentre string
	// Active reports whether its targets take no new work; false after the evacuation was
	// lifted.
	Active bool
	// Revision is the revision at which Active was set or cleared.
	Revision Revision
	// OrderedAt is the revision of the last evacuation order; 0 if unknown.
	OrderedAt Revision
	// DisputedAt is the revision at which a restored source contradicted Active; 0 if
	// undisputed.
	DisputedAt Revision
	// HoldsUntil is until when Active stays in effect despite the dispute; zero if undisputed.
	HoldsUntil time.Time
	// From is the member that reported it; empty for the source itself.
	From string
	// Since is when this node learned of it, by its own clock.
	Since time.Time
}

// withOrderedAt returns the evacuation with OrderedAt set if it is active.
func (e Evacuation) withOrderedAt() Evacuation {
	if e.Active {
		e.OrderedAt = e.Revision
	}
	return e
}

// EvacuationChange starts or lifts the evacuation of a data centre.
type EvacuationChange struct{ Evacuation }

func (EvacuationChange) isChange() {}

// Evacuations holds the data centres that are, or were, evacuated. It is immutable; the zero
// value is empty.
//
// A lifted evacuation is kept with the revision of the lift, so that an older report that
// arrives later, through another member, does not evacuate the data centre again: in whatever
// order reports arrive, all nodes converge on the newest. There is one entry for each data
// centre that was ever evacuated.
type Evacuations struct{ byDataCentre map[string]Evacuation }

// With returns the evacuations with a report applied, unless it is older than what is known of
// its data centre; listed is as for Evacuation.supersededBy. From a report that is already
// known, only a new dispute is taken.
func (e Evacuations) With(n Evacuation, listed bool) Evacuations {
	known, exists := e.byDataCentre[n.DataCentre]
	switch {
	case !exists:
		return e.with(n.withOrderedAt())
	case n.Revision == known.Revision && n.DisputedAt > known.DisputedAt:
		return e.with(known.withDispute(n.DisputedAt, n.HoldsUntil))
	case n.Revision <= max(known.Revision, known.DisputedAt):
		return e
	}
	return e.with(known.supersededBy(n.withOrderedAt(), listed))
}

// with returns the evacuations with the entry of one data centre replaced.
func (e Evacuations) with(n Evacuation) Evacuations {
	next := maps.Clone(e.byDataCentre)
	if next == nil {
		next = make(map[string]Evacuation)
	}
	next[n.DataCentre] = n
	return Evacuations{byDataCentre: next}
}

// Get returns the entry of a data centre; the zero value if there is none.
func (e Evacuations) Get(dataCentre string) Evacuation { return e.byDataCentre[dataCentre] }

// All returns all entries, sorted by data centre.
func (e Evacuations) All() []Evacuation {
	return slices.SortedFunc(maps.Values(e.byDataCentre), func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// ActiveCount returns how many data centres are evacuated.
func (e Evacuations) ActiveCount() int { return len(e.activeDataCentres()) }

// activeDataCentres returns the set of evacuated data centres.
func (e Evacuations) activeDataCentres() map[string]bool {
	set := make(map[string]bool)
	for dataCentre, known := range e.byDataCentre {
		if known.Active {
			set[dataCentre] = true
		}
	}
	return set
}

// withSnapshot returns the evacuations after a complete listing of the source at a revision:
// an evacuation that is not listed was lifted. What is known from a later revision stays, and
// an evacuation that a restored source does not list stays active for evacuationGrace.
func (e Evacuations) withSnapshot(now time.Time, ch Changes) Evacuations {
	listed := make(map[string]bool)
	for _, c := range ch.List {
		if c, ok := c.(EvacuationChange); ok {
			listed[c.DataCentre] = true
		}
	}
	for dataCentre, known := range e.byDataCentre {
		switch {
		case listed[dataCentre]:
		case known.Active && ch.Revision.IsRestoredSince(known.Revision):
			e = e.with(known.withDispute(ch.Revision, now.Add(evacuationGrace)))
		case known.Active || !known.HoldsUntil.IsZero():
			e = e.With(Evacuation{DataCentre: dataCentre, Revision: ch.Revision, Since: now}, true)
		}
	}
	return e
}

// setEvacuations replaces the evacuations of v, which must not be shared yet, and records in
// the edit which targets take new work. Targets of a data centre whose evacuation was lifted
// may have become cold without having reported it yet, so they count as cold for their
// warm-up time. Otherwise a node that learns of the lift first, for example from a member
// while the source is slow, would send them the load of warm targets.
func (v *View) setEvacuations(targets *directory.Edit, now time.Time, next Evacuations) {
	before := v.Evacuations
	v.Evacuations = next
	targets.Evacuate(next.activeDataCentres())
	for dataCentre, known := range next.byDataCentre {
		if before.Get(dataCentre).Active && !known.Active {
			targets.WarmUp(now, dataCentre, v.warmUpTime)
		}
	}
}

// warmUpTime returns how long a target may stay cold; 0 if it is never cold.
func (v *View) warmUpTime(t directory.Target) time.Duration { return v.Service(t.Service).WarmUp.Duration }
