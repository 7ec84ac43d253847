package reservation

import (
	"cmp"
	"slices"
)

// interval is a time for which the whole reserved rate belongs to one entry.
type interval struct{ start, end instant }

// firstFit returns the earliest interval that is not in use, is long enough for the items of a
// request at the reserved rate, and ends by a time. It returns false if there is none, as when
// the service has no target that it can use.
//
// Since the intervals do not overlap and each ends before its reservation can be claimed, the
// items that can be claimed by a time never exceed the reserved rate times the time until
// then, however the node spreads the returns.
func (l *Ledger) firstFit(t, by instant, r Request, perSecond float64) (slot interval, ok bool) {
	if perSecond <= 0 {
		return interval{}, false
	}
	length := duration(r.Items, share*perSecond)
	slot = interval{t, t.add(length)}
	for _, used := range l.schedule {
		if slot.end <= used.start || slot.end > by {
			break
		}
		if used.end > slot.start {
			slot = interval{used.end, used.end.add(length)}
		}
	}
	return slot, slot.end <= by
}

// occupy adds an interval to those in use.
func (l *Ledger) occupy(v interval) {
	i, _ := slices.BinarySearchFunc(l.schedule, v, compareStart)
	l.schedule = slices.Insert(l.schedule, i, v)
}

// free removes an interval from those in use. It does nothing if the interval has passed.
func (l *Ledger) free(v interval) {
	i, _ := slices.BinarySearchFunc(l.schedule, v, compareStart)
	for ; i < len(l.schedule) && l.schedule[i].start == v.start; i++ {
		if l.schedule[i] == v {
			l.schedule = slices.Delete(l.schedule, i, i+1)
			return
		}
	}
}

func compareStart(a, b interval) int { return cmp.Compare(a.start, b.start) }
