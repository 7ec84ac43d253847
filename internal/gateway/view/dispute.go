package view

import "time"

// evacuationHold is how long an evacuation holds that a restored source lacks. It is
// written again within seconds, unless it was lifted while this node did not hear of it.
const evacuationHold = 30 * time.Second

// followedBy decides what is known after a report that is newer by its position. A restored
// source lists an order that was lifted after its copy: then the end of that holds for
// returnGrace, within which it is written again. Another order is known by its number, or by
// coming as a change: listed says that the report comes from a list, of the source or a member.
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

// disputed returns the evacuation with the contrary said of it, which holds from a time on.
func (e Evacuation) disputed(at Revision, until time.Time) Evacuation {
	if !e.HoldsUntil.IsZero() {
		return e
	}
	e.DisputedAt, e.HoldsUntil = at, until
	return e
}

// settled returns what holds when the time of a dispute is over.
func (e Evacuation) settled(now time.Time) Evacuation {
	settled := Evacuation{DataCentre: e.DataCentre, Active: !e.Active, Revision: e.DisputedAt, OrderedAt: e.OrderedAt, Since: now}
	return settled.withOrder()
}

// withTime returns the evacuations at a time, with the disputes settled whose time is over.
func (e Evacuations) withTime(now time.Time) Evacuations {
	for _, known := range e.byDataCentre {
		if !known.HoldsUntil.IsZero() && !now.Before(known.HoldsUntil) {
			e = e.with(known.settled(now))
		}
	}
	return e
}
