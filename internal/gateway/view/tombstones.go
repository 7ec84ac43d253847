package view

import (
	"maps"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// tombstoneTTL is how long a removed target is remembered. It is far longer than the age
	// of the copy that a source is restored from, which is seconds.
	tombstoneTTL = time.Minute
	// returnGrace is how long a removed target that a restored source lists again takes no new
	// work. An entry that is not refreshed expires within three heartbeats, 3.6 s.
	returnGrace = 4 * time.Second
)

// tombstones records recently removed targets by life. It is immutable; the zero value is
// empty.
type tombstones struct{ byLife map[directory.Incarnation]tombstone }

// tombstone is one removed target.
type tombstone struct {
	removedAt time.Time
	// wasDraining reports whether the target was draining when it was removed.
	wasDraining bool
}

// with returns the tombstones with targets added that have just been removed.
func (ts tombstones) with(now time.Time, removed []directory.Target) tombstones {
	if len(removed) == 0 {
		return ts
	}
	next := make(map[directory.Incarnation]tombstone, len(ts.byLife)+len(removed))
	maps.Copy(next, ts.byLife)
	maps.DeleteFunc(next, func(_ directory.Incarnation, known tombstone) bool { return now.Sub(known.removedAt) > tombstoneTTL })
	for _, t := range removed {
		next[t.Incarnation()] = tombstone{removedAt: now, wasDraining: t.State == directory.Draining}
	}
	return tombstones{byLife: next}
}

// relisted returns the target to store when a restored source lists t in a life that is not
// in the directory. If that life was removed recently, it is draining if it was draining
// before, and Returned otherwise. If the target has started another life since, the listed one
// is ignored and the present one lapses until it is listed. A target wrongly treated as ready
// gets work that it no longer takes; one wrongly held back is unused for returnGrace.
func (ts tombstones) relisted(now time.Time, t directory.Target, current *directory.Directory) directory.Target {
	known, removed := ts.byLife[t.Incarnation()]
	removed = removed && now.Sub(known.removedAt) <= tombstoneTTL
	if present, exists := current.Target(t.ID); removed && exists {
		return lapsed(now, present)
	}
	switch {
	case !removed || t.State != directory.Ready:
	case known.wasDraining:
		t.State = directory.Draining
	default:
		t.State, t.StateUntil = directory.Returned, now.Add(returnGrace)
	}
	return t
}

// lapsed returns a target whose present life a restored source does not list.
func lapsed(now time.Time, t directory.Target) directory.Target {
	if t.State == directory.Ready {
		t.State, t.StateUntil = directory.Lapsed, now.Add(LapseGrace)
	}
	return t
}
