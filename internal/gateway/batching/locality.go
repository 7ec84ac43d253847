package batching

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// maxNearWait is how long an item may wait for a target in its data centre to fall
// idle: about one batch. Without any waiting the worth of a day fell by 0.043, all of
// it for results between data centres; no other time was run.
const maxNearWait = 300 * time.Millisecond

// waitsForNear decides whether an item should not go to a target, as one in the
// item's data centre can take it in time.
//
// Its inputs are the item's data centre, where its inputs are or its result will be
// used (empty for anywhere), its due time, and for each target in that data centre
// whether it is usable and not backing off, when its running batch should end, and
// how long a full batch should take there by its learnt slowdown. A near target
// counts when it is idle, or idle within maxNearWait, and a full batch from then on
// ends before the item is due. A batch that is overdue or stuck does not count, as
// nobody knows when it ends.
//
// Results that cross data centres take time and are among the largest costs of a day
// (docs/MEASUREMENTS.md); a short wait costs less. See docs/decisions/0012-batches.md.
//
// Going far too readily costs transfers between data centres; waiting too readily
// leaves targets idle and makes items late.
func waitsForNear(now time.Time, spec *catalog.Batch, q *queuedItem, t *target, targets []*target) bool {
	if q.DataCentre == "" || q.DataCentre == t.DataCentre {
		return false
	}
	return slices.ContainsFunc(targets, func(near *target) bool {
		return near.DataCentre == q.DataCentre && near.takesInTime(now, spec, q.Due)
	})
}

// takesInTime says whether the target can take an item within maxNearWait and end
// a full batch with it before a due time.
func (t *target) takesInTime(now time.Time, spec *catalog.Batch, due time.Time) bool {
	if !t.usable || t.backoff.active(now) {
		return false
	}
	wait := time.Duration(0)
	if t.running != nil {
		wait = t.running.expectedEnd.Sub(now)
		if wait < 0 || t.running.stuck {
			return false
		}
	}
	end := now.Add(wait + t.expectedFull(now, spec))
	return wait <= maxNearWait && end.Before(due)
}
