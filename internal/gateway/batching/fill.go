package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

// onTimeMemoryReserve is the fraction of a target's result memory that past-due items
// leave to other items. It is meant to end an overload with its cause: with less,
// past-due items take the memory that others need to be in time; with more, they wait
// while memory is free. It does harm if items that are due late, but not past due, leave
// it too.
const onTimeMemoryReserve = 0.5

// partialGroupThreshold is the fraction of the maximum number of items from which on a
// batch takes no parts of groups. With a higher value more groups are split, and their
// first results occupy memory until the last one is computed; with a lower value batches
// are sent almost empty while a group waits that fits nowhere as a whole. See
// docs/MEASUREMENTS.md, "groups taken whole".
const partialGroupThreshold = 0.5

// batchFiller selects the queued items for one batch.
type batchFiller struct {
	spec     *catalog.Batch
	target   *target
	locality *locality
	// earliest is when an item that is sent now can be ready.
	earliest time.Time
	// items counts the selected items.
	items int
	// available is the result memory that is left, in bytes.
	available int64
	suspects  suspectFilter
}

func newBatchFiller(loc *locality, t *target) *batchFiller {
	return &batchFiller{
		spec: loc.spec, target: t, locality: loc,
		earliest: earliestEnd(loc.now, loc.spec), available: t.available(loc.now, loc.spec),
	}
}

// available returns how much result memory a new batch may use at the target, in bytes.
func (t *target) available(now time.Time, spec *catalog.Batch) int64 {
	return t.memory.available(spec) - t.inspection.foreign(now)
}

// groupKey identifies the items of one stage of one request.
type groupKey struct {
	request string
	stage   int
}

// footprint is a number of items and the size of their results.
type footprint struct {
	items int
	bytes int64
}

// groupFootprints returns the footprint of the queued items of each group.
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

// selectItems partitions a queue into the items that the batch takes and the rest, both
// in the order of the queue.
//
// Groups are taken whole: a group is done only when its last item is, and until then the
// results of the others occupy memory. When every batch was filled up, each began with
// the rest of one group and ended with the beginning of another. Parts of groups are
// taken only if the batch would otherwise be filled below partialGroupThreshold, so that
// no target idles because of a group that fits nowhere.
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

// addWholeGroups selects the groups that fit, in the order of their first items.
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

// addSingleItems selects single items that fit, of any group.
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

// add accounts for the selected items of a group.
func (f *batchFiller) add(q *queuedItem, size footprint) {
	f.suspects.add(q)
	f.items += size.items
	f.available -= size.bytes
}

// fits reports whether items of a group fit into the batch: size is that of the whole
// group or of the item q alone. All items of a group have the same times and data centre.
//
// It considers, in this order: the maximum number of items in the catalog; the target's
// available result memory and the estimated size of the results, with the reserve that a
// past-due item leaves; whether a suspected item may join (suspectFilter); and whether a
// target in the item's own data centre can take it in time (locality). What does not fit
// stays in the queue, and items behind it that are smaller, or that need not wait for
// another data centre, may be taken. The batch is sent at once, full or not, because a
// target that waits for more items does nothing in the meantime.
//
// When past-due items could use all of the result memory, they kept others from being in
// time, and an overload continued after its cause was over. See
// docs/decisions/0012-batches.md and 0013-planning-stages.md.
//
// Selecting too much makes the target refuse items for lack of memory, which costs
// retries; selecting too little costs the fixed time of another batch.
func (f *batchFiller) fits(q *queuedItem, size footprint) bool {
	need := size.bytes
	if q.pastDue(f.earliest) {
		need += saturate.Int64(onTimeMemoryReserve * float64(f.spec.MemoryBytes))
	}
	if f.items+size.items > f.spec.MaxItems || need > f.available || !f.suspects.allows(q) {
		return false
	}
	return !f.locality.shouldWait(q, f.target.DataCentre)
}
