package view

import "time"

// evacuationHold is how long an evacuation stays active that a restored source does not list.
// The evacuation is written again within seconds, unless it was lifted without this node
// learning of it.
const evacuationHold = 30 * time.Second

// followedBy returns what is known after a report n with a newer revision. A restored source
// may list an order that was lifted after its copy was made. The evacuation then stays lifted
// for returnGrace, within which the lift is written again. A different order is recognised by
// its number, or by arriving as a change: listed reports whether n comes from a listing, of
// the source or of a member.
func (e Evacuation) followedBy(n Evacuation, listed bool) Evacuation {
	isOldOrder := listed && n.Active && n.Revision.IsRestoredSince(e.Revision) && n.Revision.Number() == e.OrderedAt.Number()
	switch {
	case isOldOrder && !e.Active:
		return e.disputed(n.Revision, n.Since.Add(returnGrace))
	case !n.Active && n.OrderedAt == 0:
		n.OrderedAt = e.OrderedAt
	}
	return n
}

// disputed returns the evacuation with a contradicting report recorded, which takes effect at
// until. An evacuation that is disputed already is returned unchanged.
func (e Evacuation) disputed(at Revision, until time.Time) Evacuation {
	if !e.HoldsUntil.IsZero() {
		return e
	}
	e.DisputedAt, e.HoldsUntil = at, until
	return e
}

// settled returns the evacuation after the deadline of its dispute: the contradicting report
// takes effect.
func (e Evacuation) settled(now time.Time) Evacuation {
	settled := Evacuation{DataCentre: e.DataCentre, Active: !e.Active, Revision: e.DisputedAt, OrderedAt: e.OrderedAt, Since: now}
	return settled.withOrder()
}

// withTime returns the evacuations as of a time, with disputes past their deadline resolved.
func (e Evacuations) withTime(now time.Time) Evacuations {
	for _, known := range e.byDataCentre {
		if !known.HoldsUntil.IsZero() && !now.Before(known.HoldsUntil) {
			e = e.with(known.settled(now))
		}
	}
	return e
}
