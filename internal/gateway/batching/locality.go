package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// maxLocalityWait is how long an item may wait for a target in its data centre to fall
// idle: about one batch. Without any waiting the worth of a day fell by 0.043, all of
// it for results between data centres; no other time was run.
const maxLocalityWait = 300 * time.Millisecond

// locality decides whether items should not go to a target, as one in their data centre
// can take them in time. It remembers what each data centre can do until forget; create
// it with newNearness.
//
// Its inputs are an item's data centre, where its inputs are or its result will be
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
type locality struct {
	now  time.Time
	spec *catalog.Batch
	pool *pool
	// localEnds is when a full batch would end first in a data centre; zero where no target
	// counts.
	localEnds map[string]time.Time
}

func newLocality(now time.Time, spec *catalog.Batch, p *pool) *locality {
	return &locality{now: now, spec: spec, pool: p, localEnds: make(map[string]time.Time, len(p.dataCentres))}
}

// reset has the data centres looked at again, after a target got a batch.
func (l *locality) reset() { clear(l.localEnds) }

// shouldWait says whether an item should not go to a data centre.
func (l *locality) shouldWait(q *queuedItem, dataCentre string) bool {
	return q.DataCentre != "" && q.DataCentre != dataCentre && l.localInTime(q)
}

// localInTime says whether a target in an item's own data centre can take it in time.
func (l *locality) localInTime(q *queuedItem) bool {
	end, known := l.localEnds[q.DataCentre]
	if !known {
		end = l.earliestLocalEnd(q.DataCentre)
		l.localEnds[q.DataCentre] = end
	}
	return !end.IsZero() && end.Before(q.Due)
}

// earliestLocalEnd returns when a full batch would end first in a data centre; zero where no
// target counts.
func (l *locality) earliestLocalEnd(dataCentre string) time.Time {
	dc := l.pool.byDataCentre[dataCentre]
	if dc == nil {
		return time.Time{}
	}
	var first time.Time
	if dc.uninspected() > 0 {
		first = l.now.Add(nominalDuration(l.spec, l.spec.MaxItems))
	}
	for _, list := range []*targetList{&dc.idle, &dc.busy} {
		l.pool.examined += len(list.targets)
		for _, t := range list.targets {
			if end, counts := t.localEnd(l.now, l.spec); counts && (first.IsZero() || end.Before(first)) {
				first = end
			}
		}
	}
	return first
}

// localEnd returns when a full batch would end at the target; false when it does not take
// one within maxNearWait, or nobody knows.
func (t *target) localEnd(now time.Time, spec *catalog.Batch) (end time.Time, counts bool) {
	if !t.usable || t.backoff.active(now) {
		return time.Time{}, false
	}
	wait := time.Duration(0)
	if t.running != nil {
		wait = t.running.expectedEnd.Sub(now)
		if wait < 0 || wait > maxLocalityWait || t.running.stuck {
			return time.Time{}, false
		}
	}
	return now.Add(wait + t.expectedFull(now, spec)), true
}
