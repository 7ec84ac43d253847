package view

import (
	"maps"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// departedFor is how long a removed target is remembered. It is far longer than the age
	// of the copy that a source is restored from, which is seconds.
	departedFor = time.Minute
	// returnGrace is how long a removed target that a restored source lists again takes no new
	// work. An entry that is not refreshed expires within three heartbeats, 3.6 s.
	returnGrace = 4 * time.Second
)

// departures records recently removed targets by life. It is immutable; the zero value is
// empty.
type departures struct{ byLife map[directory.Life]departure }

// departure is one removed target.
type departure struct {
	at time.Time
	// announced reports whether the target was draining when it was removed.
	announced bool
}

// with returns the departures with targets added that have just been removed.
func (d departures) with(now time.Time, gone []directory.Target) departures {
	if len(gone) == 0 {
		return d
	}
	next := make(map[directory.Life]departure, len(d.byLife)+len(gone))
	maps.Copy(next, d.byLife)
	maps.DeleteFunc(next, func(_ directory.Life, known departure) bool { return now.Sub(known.at) > departedFor })
	for _, t := range gone {
		next[t.Life()] = departure{at: now, announced: t.State == directory.Draining}
	}
	return departures{byLife: next}
}

// returning returns the target to store when a restored source lists t in a life that is not
// in the directory. If that life was removed recently, it is draining if it was draining
// before, and Returned otherwise. If the target has started another life since, the listed one
// is ignored and the present one lapses until it is listed. A target wrongly treated as ready
// gets work that it no longer takes; one wrongly held back is unused for returnGrace.
func (d departures) returning(now time.Time, t directory.Target, present *directory.Directory) directory.Target {
	known, is := d.byLife[t.Life()]
	is = is && now.Sub(known.at) <= departedFor
	if other, lives := present.Target(t.ID); is && lives {
		return lapsing(now, other)
	}
	switch {
	case !is || t.State != directory.Ready:
	case known.announced:
		t.State = directory.Draining
	default:
		t.State, t.StateUntil = directory.Returned, now.Add(returnGrace)
	}
	return t
}

// lapsing returns a target whose present life a restored source does not list.
func lapsing(now time.Time, t directory.Target) directory.Target {
	if t.State == directory.Ready {
		t.State, t.StateUntil = directory.Lapsed, now.Add(LapseGrace)
	}
	return t
}
