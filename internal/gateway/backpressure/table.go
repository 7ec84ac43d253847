package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// givenShare is the part of a limit that is given out. Nodes that disagree about who
	// does it, as while a member comes or goes, then exceed the limit by a fifth.
	givenShare = 0.6
	// perGiver is how much of a limit one node gives out at most, in requests a second:
	// few nodes of a large fleet have more for one target.
	perGiver = 2
	// giverBurst is how many requests a node may give out at once.
	giverBurst = 1
	// minPerSecond is the least rate that a node gives out, so that the end of a limit of 0
	// is noticed.
	minPerSecond = 0.1
	// endedFor is how long the end of a limit is remembered, for members that did not hear
	// of it.
	endedFor = 10 * time.Second
	// sameReport is how much later one that says the same may look for being the same one,
	// passed on: longer than an exchange between members takes.
	sameReport = 500 * time.Millisecond
	// unlistedFor is how long a target that is not listed may come back: longer than the
	// source is away, and than a target that leaves goes on.
	unlistedFor = time.Minute
)

// report is what a target said of its limit, and when.
type report struct {
	Limit
	at time.Time
}

// entry is what is known of one life of a target.
type entry struct {
	// report is the newest of its limit; its time is zero for none.
	report
	// leaving says that the target told this node that it ends soon, and pausedUntil is until
	// when it wants nothing from this node.
	leaving     bool
	pausedUntil time.Time
	// bucket holds what this node may give out.
	bucket *rate.Limiter
	// unlisted is since when the target is not listed; zero while it is.
	unlisted time.Time
}

// table holds the newest report of each life that has a limit, or had one lately. It is not
// safe for concurrent use.
type table struct{ entries map[directory.Incarnation]*entry }

func newTable() *table { return &table{entries: map[directory.Incarnation]*entry{}} }

// merge takes in a report unless a newer one is known, and says whether the limit changed.
func (t *table) merge(target directory.Incarnation, r report) bool {
	e := t.of(target, r.at)
	if !r.at.After(e.at) {
		return false
	}
	changed := r.Limit != e.Limit
	e.report = r
	return changed
}

// passedOn says whether what a member reports may be what is known already, which each
// exchange makes look newer by its time.
func (t *table) passedOn(target directory.Incarnation, r report) bool {
	e := t.entries[target]
	return e != nil && r.Limit == e.Limit && r.at.Sub(e.at) < sameReport
}

// of returns the entry of a target, a new one where there is none.
func (t *table) of(target directory.Incarnation, now time.Time) *entry {
	e := t.entries[target]
	if e == nil {
		e = &entry{bucket: newBucket(now)}
		t.entries[target] = e
	}
	return e
}

// leave notes that a target leaves, and says whether that is new.
func (t *table) leave(now time.Time, target directory.Incarnation) bool {
	e := t.of(target, now)
	known := e.leaving
	e.leaving = true
	return !known
}

// pause notes that a target wants a pause, and says whether it had none.
func (t *table) pause(now time.Time, target directory.Incarnation, d time.Duration) bool {
	e := t.of(target, now)
	begins := !now.Before(e.pausedUntil)
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return begins
}

// newBucket returns an empty bucket: a target that names a limit has had too much.
func newBucket(now time.Time) *rate.Limiter {
	b := rate.NewLimiter(minPerSecond, giverBurst)
	b.AllowN(now, giverBurst)
	return b
}

// givers is how many nodes give out the requests of a target.
func (l Limit) givers() int { return max(int(l.PerSecond/perGiver), 1) }

// given is how many requests a second are given out by one of several nodes.
func (l Limit) given(givers int) float64 {
	return max(givenShare*l.PerSecond/float64(givers), minPerSecond)
}

// limit returns the limit of a target.
func (t *table) limit(target directory.Incarnation) Limit {
	if e := t.entries[target]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// ends says whether an answer without a limit ends the target's: answers may overtake each
// other, so that only one to a request sent after the target last named its limit does.
func (t *table) ends(target directory.Incarnation, sent time.Time) bool {
	e := t.entries[target]
	return e != nil && e.Set && sent.After(e.at)
}

// heldBack says whether a target may get nothing from this node: it leaves, also where the
// source says otherwise, or it wants a pause.
func (t *table) heldBack(now time.Time, target directory.Incarnation) bool {
	e := t.entries[target]
	return e != nil && e.heldBack(now)
}

func (e *entry) heldBack(now time.Time) bool { return e.leaving || now.Before(e.pausedUntil) }

// pauseLeft is how much longer a target wants a pause; 0 for one that leaves or wants none.
func (t *table) pauseLeft(now time.Time, target directory.Incarnation) time.Duration {
	e := t.entries[target]
	if e == nil || e.leaving {
		return 0
	}
	return max(e.pausedUntil.Sub(now), 0)
}

// allows says whether a target may get a request: it is not held back, and has no limit, or
// this node gives out its requests and its bucket has a token.
func (t *table) allows(now time.Time, target directory.Incarnation, giver giver) bool {
	e := t.entries[target]
	switch {
	case e == nil:
		return true
	case e.heldBack(now):
		return false
	case !e.Set:
		return true
	}
	perSecond, gives := giver(target, e.Limit, now.Sub(e.at))
	if each := rate.Limit(perSecond); e.bucket.Limit() != each {
		e.bucket.SetLimitAt(now, each)
	}
	return gives && e.bucket.TokensAt(now) >= 1
}

// sent takes a token for a request that a target gets.
func (t *table) sent(now time.Time, target directory.Incarnation) {
	if e := t.entries[target]; e != nil && e.Set {
		e.bucket.AllowN(now, 1)
	}
}

// limited returns the targets with a limit, in no order.
func (t *table) limited() []directory.Incarnation {
	return t.where(func(e *entry) bool { return e.Set })
}

// told returns the targets that told this node that they leave or want a pause, in no order.
func (t *table) told(now time.Time) []directory.Incarnation {
	return t.where(func(e *entry) bool { return e.heldBack(now) })
}

// known returns all targets of which something is known, in no order.
func (t *table) known() []directory.Incarnation {
	return t.where(func(*entry) bool { return true })
}

func (t *table) where(is func(*entry) bool) []directory.Incarnation {
	var list []directory.Incarnation
	for target, e := range t.entries {
		if is(e) {
			list = append(list, target)
		}
	}
	return list
}

// newest returns the targets with the newest reports of limits, at most n of them.
func (t *table) newest(n int) []directory.Incarnation {
	list := t.where(func(e *entry) bool { return !e.at.IsZero() })
	slices.SortFunc(list, func(a, b directory.Incarnation) int {
		return cmp.Or(t.entries[b].at.Compare(t.entries[a].at), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

// prune forgets limits that ended endedFor ago, where nothing else is known of the target.
func (t *table) prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ directory.Incarnation, e *entry) bool {
		return !e.Set && now.Sub(e.at) > endedFor && !e.leaving && !now.Before(e.pausedUntil)
	})
}

// pruneLives forgets lives of targets that have not been listed for unlistedFor. An entry of
// the source may be gone for a while and come back, and with it what the target asked for.
func (t *table) pruneLives(now time.Time, d *directory.Directory) {
	maps.DeleteFunc(t.entries, func(target directory.Incarnation, e *entry) bool {
		switch {
		case d.IsCurrent(target):
			e.unlisted = time.Time{}
		case e.unlisted.IsZero():
			e.unlisted = now
		}
		return !e.unlisted.IsZero() && now.Sub(e.unlisted) > unlistedFor
	})
}
