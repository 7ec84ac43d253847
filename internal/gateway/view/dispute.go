package view

import "time"

// evacuationGrace is how long an evacuation stays active that a restored source does not list.
// The evacuation is written again within seconds, unless it was lifted without this node
// learning of it.
const evacuationGrace = 30 * time.Second

// supersededBy returns what is known after a report n with a newer revision. A restored source
// may list an order that was lifted after its copy was made. The evacuation then stays lifted
// for returnGrace, within which the lift is written again. A different order is recognised by
// its number, or by arriving as a change: listed reports whether n comes from a listing, of
// the source or of a member.
func (e Evacuation) supersededBy(n Evacuation, listed bool) Evacuation {
	isOldOrder := listed && n.Active && n.Revision.IsRestoredSince(e.Revision) && n.Revision.Number() == e.OrderedAt.Number()
	switch {
	case isOldOrder && !e.Active:
		return e.withDispute(n.Revision, n.Since.Add(returnGrace))
	case !n.Active && n.OrderedAt == 0:
		n.OrderedAt = e.OrderedAt
	}
	return n
}

// withDispute returns the evacuation with a contradicting report recorded, which takes effect
// at until. An evacuation that is already disputed is returned unchanged.
func (e Evacuation) withDispute(revision Revision, until time.Time) Evacuation {
	if !e.HoldsUntil.IsZero() {
		return e
	}
	e.DisputedAt, e.HoldsUntil = revision, until
	return e
}

// resolved returns the evacuation after the deadline of its dispute: the contradicting report
// takes effect.
func (e Evacuation) resolved(now time.Time) Evacuation {
	next := Evacuation{DataCentre: e.DataCentre, Active: !e.Active, Revision: e.DisputedAt, OrderedAt: e.OrderedAt, Since: now}
	return next.withOrderedAt()
}

// withTime returns the evacuations as of a time, with disputes past their deadline resolved.
func (e Evacuations) withTime(now time.Time) Evacuations {
	for _, known := range e.byDataCentre {
		if !known.HoldsUntil.IsZero() && !now.Before(known.HoldsUntil) {
			e = e.with(known.resolved(now))
		}
	}
	return e
}
