package view

import (
	"maps"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// departedFor is how long a target that has gone is remembered. It is far above the age
	// of a copy that a source comes back from, which is seconds.
	departedFor = time.Minute
	// returnGrace is how long a target that had gone and is listed again by a restored source
	// takes no new work. An entry that nobody writes goes within three heartbeats, 3.6 s.
	returnGrace = 4 * time.Second
)

// departures remembers the targets that went lately, by their lives. It is immutable; the
// zero value knows of none.
type departures struct{ byLife map[directory.Life]departure }

// departure is one target that went.
type departure struct {
	at time.Time
	// announced says that the target was draining before.
	announced bool
}

// with returns the departures with targets that have just gone.
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

// returning decides what is taken in of a target that a source lists after it came back
// from an older copy. The inputs are whether that life of the target had gone, and what the
// directory knows of its identity. A life that had gone drains if it drained before, and has
// Returned otherwise; one after which the target began another is passed over: the present
// life has lapsed until it is listed. Wrongly taken for ready, a target gets work that it no
// longer takes; wrongly held, it is missed for returnGrace.
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

// lapsing returns a target that a restored source does not list in its present life.
func lapsing(now time.Time, t directory.Target) directory.Target {
	if t.State == directory.Ready {
		t.State, t.StateUntil = directory.Lapsed, now.Add(LapseGrace)
	}
	return t
}
