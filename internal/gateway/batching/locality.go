package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// maxLocalityWait is how long an item may wait for a target in its data centre to become
// idle, about one batch. With a shorter wait more results are sent between data centres;
// with a longer one idle targets elsewhere stay unused.
const maxLocalityWait = 300 * time.Millisecond

// locality decides whether items wait for a target in their data centre that can take
// them in time. It caches the result for each data centre until reset. Create it with
// newLocality.
//
// Its inputs are an item's data centre, where its inputs are or its result will be used
// (empty for any), its due time and its sort key; and for each target in that data centre
// (a local target) whether it is usable and not backing off, when its running batch should
// end, and how long a full batch should take at its estimated slowdown. A local target counts
// if it is idle now or within maxLocalityWait, and a full batch from then on ends before the
// item is due and, if its priority puts that earlier, before its sort key: items of streams
// that clients take up are due at their deadline, but should not wait for that long. A target
// whose batch is overdue or stuck does not count, as it is unknown when it becomes idle.
//
// Results that cross data centres take time and are among the largest costs of the system
// (docs/MEASUREMENTS.md); a short wait costs less. See docs/decisions/0012-batches.md.
//
// Too little waiting costs transfers between data centres; too much leaves targets idle
// and makes items late.
type locality struct {
	now  time.Time
	spec *catalog.Batch
	pool *pool
	// localEnds caches earliestLocalEnd by data centre.
	localEnds map[string]time.Time
}

func newLocality(now time.Time, spec *catalog.Batch, p *pool) *locality {
	return &locality{now: now, spec: spec, pool: p, localEnds: make(map[string]time.Time, len(p.dataCentres))}
}

// reset clears the cache; call it after a target got a batch.
func (l *locality) reset() { clear(l.localEnds) }

// shouldWait reports whether an item should not go to a target in dataCentre, because a
// target in its own data centre can take it in time.
func (l *locality) shouldWait(q *queuedItem, dataCentre string) bool {
	return q.DataCentre != "" && q.DataCentre != dataCentre && l.localInTime(q)
}

// localInTime reports whether a target in the item's own data centre can take it in time.
func (l *locality) localInTime(q *queuedItem) bool {
	end, known := l.localEnds[q.DataCentre]
	if !known {
		end = l.earliestLocalEnd(q.DataCentre)
		l.localEnds[q.DataCentre] = end
	}
	return !end.IsZero() && end.Before(q.Due) && end.UnixNano() < q.sortKey()
}

// earliestLocalEnd returns the earliest end of a full batch in a data centre; zero if no
// target there counts.
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

// localEnd returns when a full batch would end at the target. It returns false if the
// target cannot start one within maxLocalityWait or if that is unknown.
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
