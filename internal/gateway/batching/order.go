package batching

import (
	"cmp"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// PriorityStep is how much later an item counts as due for each priority level below the
// highest. It is shorter than a batch, so that less urgent items are postponed by one
// batch; with a much longer step they would be put off for good. With none, urgent items
// wait behind less urgent ones that are due a little earlier. Admission has a step of its
// own, in relay.
const PriorityStep = 200 * time.Millisecond

// sortQueue puts the queue in the order in which items are taken into batches.
//
// Items that can still be ready when they are due come first, then those that are past
// due. Within each part they are ordered by due time plus PriorityStep per priority
// level, and then by the order in which they were queued. The due time and priority of an
// item do not change while it waits. Whether it is past due depends on the earliest time
// at which an item that is sent now can be ready, by the durations in the catalog
// (earliestEnd).
//
// A past-due item can no longer be in time, but the items behind it can: serving it first
// would make them late as well, and an overload would outlast its cause. See
// docs/decisions/0012-batches.md.
//
// A wrong order makes requests late that could have been in time.
func sortQueue(queue []*queuedItem, earliest time.Time) {
	slices.SortStableFunc(queue, func(a, b *queuedItem) int { return compareItems(a, b, earliest) })
}

// compareItems returns a negative number if a goes first, a positive one if b does, and 0
// if neither has precedence.
func compareItems(a, b *queuedItem, earliest time.Time) int {
	aPastDue, bPastDue := a.pastDue(earliest), b.pastDue(earliest)
	switch {
	case aPastDue == bPastDue:
		return cmp.Compare(a.sortKey(), b.sortKey())
	case aPastDue:
		return 1
	default:
		return -1
	}
}

// pastDue reports whether the item can no longer be ready when it is due.
func (q *queuedItem) pastDue(earliest time.Time) bool { return earliest.After(q.Due) }

// sortKey is the due time adjusted for the priority, in nanoseconds since 1970.
func (q *queuedItem) sortKey() int64 {
	return q.Due.Add(time.Duration(q.Priority) * PriorityStep).UnixNano()
}

// earliestEnd returns when an item that is sent now can be ready by the durations in the
// catalog: at the end of a batch of one item. spec must not be nil.
func earliestEnd(now time.Time, spec *catalog.Batch) time.Time {
	return now.Add(nominalDuration(spec, 1))
}
