package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// onTimeMemoryReserve is the fraction of a target's result memory that past-due items leave
// available for others, meant to end an overload with its cause. Switched off alone it
// made no difference that 15 days showed; a trial in which items that are merely due
// late left it too cost 0.075 of worth.
const onTimeMemoryReserve = 0.5

// partialGroupThreshold is the fraction of the most items from which on a batch takes no parts of
// groups. Worth rose by 0.020 with a half, by 0.019 when parts were taken only into an
// empty batch, and by 0.015 when they filled any (docs/MEASUREMENTS.md, "groups taken
// whole").
const partialGroupThreshold = 0.5

// batchFiller is the state of the rule that decides which queued items one batch takes.
type batchFiller struct {
	spec     *catalog.Batch
	target   *target
	locality *locality
	// earliest is when an item that is sent now can be ready.
	earliest time.Time
	// items counts the items that were taken.
	items int
	// available is the result memory in bytes that is left.
	available int64
	suspects  suspectFilter
}

func newBatchFiller(loc *locality, t *target) *batchFiller {
	return &batchFiller{
		spec: loc.spec, target: t, locality: loc,
		earliest: earliestEnd(loc.now, loc.spec), available: t.available(loc.now, loc.spec),
	}
}

// available returns how much result memory a new batch may use there, in bytes.
func (t *target) available(now time.Time, spec *catalog.Batch) int64 {
	return t.memory.available(spec) - t.inspection.foreign(now)
}

// groupKey names the items of one stage of one request.
type groupKey struct {
	request string
	stage   int
}

// footprint is a number of items and the bytes of their results.
type footprint struct {
	items int
	bytes int64
}

// groupFootprints returns how much of each group waits.
func groupFootprints(queue []*queuedItem) map[groupKey]footprint {
	groups := make(map[groupKey]footprint)
	for _, q := range queue {
		group := groups[q.group()]
		group.items++
		group.bytes += q.Bytes
		groups[q.group()] = group
	}
	return groups
}

func (q *queuedItem) group() groupKey { return groupKey{q.Request, q.Stage} }

// selectItems parts a queue into the items that the batch takes and the others, each in
// the order of the queue.
//
// Groups are taken whole: a group is done when its last item is, and the results of
// those before it occupy memory until then. Parts of groups are taken only where the
// batch would otherwise be less than partialGroupThreshold, so that no target stands idle for a
// group that fits nowhere. Before, each batch began with the rest of a group and ended
// with the beginning of another.
func (f *batchFiller) selectItems(queue []*queuedItem) (taken, rest []*queuedItem) {
	chosen := f.addWholeGroups(queue)
	if float64(f.items) < partialGroupThreshold*float64(f.spec.MaxItems) {
		f.addSingleItems(queue, chosen)
	}
	for _, q := range queue {
		if chosen[q] {
			taken = append(taken, q)
			continue
		}
		rest = append(rest, q)
	}
	return taken, rest
}

// addWholeGroups takes the groups that fit, in the order of their first items.
func (f *batchFiller) addWholeGroups(queue []*queuedItem) map[*queuedItem]bool {
	groups := groupFootprints(queue)
	fits := make(map[groupKey]bool, len(groups))
	chosen := make(map[*queuedItem]bool, f.spec.MaxItems)
	for _, q := range queue {
		whole, decided := fits[q.group()]
		if !decided {
			whole = f.fits(q, groups[q.group()])
			fits[q.group()] = whole
			if whole {
				f.add(q, groups[q.group()])
			}
		}
		if whole {
			chosen[q] = true
		}
	}
	return chosen
}

// addSingleItems takes items that fit, of whatever group.
func (f *batchFiller) addSingleItems(queue []*queuedItem, chosen map[*queuedItem]bool) {
	for _, q := range queue {
		one := footprint{items: 1, bytes: q.Bytes}
		if chosen[q] || !f.fits(q, one) {
			continue
		}
		f.add(q, one)
		chosen[q] = true
	}
}

// add adds an amount of an item's group.
func (f *batchFiller) add(q *queuedItem, size footprint) {
	f.suspects.add(q)
	f.items += size.items
	f.available -= size.bytes
}

// fits decides whether an item of the queue goes into the batch with an amount of its
// group, which has the same times and data centre: the whole of it, or itself.
//
// Its inputs are, in the order in which they count: the number of items taken and
// the most that the catalog allows; the target's available result memory and the
// results' size, both estimates in bytes; whether the item is past due; whether another
// request in the batch is suspected; and the nearness of other targets (locality). What does not fit stays in the queue, and
// smaller or nearer ones behind it may be taken. The batch is sent at
// once, full or not: a target that waits for more items does nothing meanwhile.
//
// Past-due items that took all of the result memory kept others from being in time,
// and the overload went on after its cause was over. See
// docs/decisions/0012-batches.md and 0013-planning-stages.md.
//
// Taking too much makes the target refuse items for lack of memory, which costs
// retries; taking too little costs the fixed time of a further batch.
func (f *batchFiller) fits(q *queuedItem, size footprint) bool {
	need := size.bytes
	if q.pastDue(f.earliest) {
		need += int64(onTimeMemoryReserve * float64(f.spec.MemoryBytes))
	}
	if f.items+size.items > f.spec.MaxItems || need > f.available || !f.suspects.allows(q) {
		return false
	}
	return !f.locality.shouldWait(q, f.target.DataCentre)
}
