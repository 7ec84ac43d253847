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
	// givenShare is the fraction of a limit that the senders use together. If two sets of
	// nodes both send, for example while a member joins or leaves, they exceed the limit by
	// only a fifth.
	givenShare = 0.6
	// perGiver is the part of a limit for which there is one sender, in requests a second.
	// In a large cluster few nodes have more requests than this for one target.
	perGiver = 2
	// giverBurst is the number of requests that a sender may send at once.
	giverBurst = 1
	// minPerSecond is the minimum rate of a sender in requests a second. It is not 0, so that
	// a response can announce the end of a limit of 0.
	minPerSecond = 0.1
	// endedFor is the time for which the end of a limit is kept, so that it reaches all
	// members.
	endedFor = 10 * time.Second
	// sameReport is the maximum difference in time between two equal reports that are
	// considered the same report. It exceeds the duration of an exchange between members,
	// which makes a forwarded report look newer.
	sameReport = 500 * time.Millisecond
	// unlistedFor is the time for which the state of an unlisted target is kept in case it
	// is listed again. It exceeds the outages of the source, and the time for which a leaving
	// target keeps running.
	unlistedFor = time.Minute
)

// report is a target's report of its limit, and the time of the report.
type report struct {
	Limit
	at time.Time
}

// entry is the state of one target incarnation.
type entry struct {
	// report is the newest report of the limit. Its time is zero if there is none.
	report
	// leaving reports that the target told this node that it will stop soon. pausedUntil is
	// the end of the pause that it asked this node for.
	leaving     bool
	pausedUntil time.Time
	// bucket limits the requests that this node sends under the target's limit.
	bucket *rate.Limiter
	// unlisted is the time since which the target is not listed. It is zero while the target
	// is listed.
	unlisted time.Time
}

// table holds an entry for each target incarnation that is leaving, paused or limited, or
// was limited recently. It is not safe for concurrent use.
type table struct{ entries map[directory.Life]*entry }

func newTable() *table { return &table{entries: map[directory.Life]*entry{}} }

// merge records a report unless a newer one is known, and reports whether the limit changed.
func (t *table) merge(target directory.Life, r report) bool {
	e := t.of(target, r.at)
	if !r.at.After(e.at) {
		return false
	}
	changed := r.Limit != e.Limit
	e.report = r
	return changed
}

// passedOn reports whether a member's report may be one that is already known. Each exchange
// makes a forwarded report look newer by the duration of the exchange.
func (t *table) passedOn(target directory.Life, r report) bool {
	e := t.entries[target]
	return e != nil && r.Limit == e.Limit && r.at.Sub(e.at) < sameReport
}

// of returns the entry of a target and creates it if necessary.
func (t *table) of(target directory.Life, now time.Time) *entry {
	e := t.entries[target]
	if e == nil {
		e = &entry{bucket: newBucket(now)}
		t.entries[target] = e
	}
	return e
}

// leave marks a target as leaving, and reports whether it was not marked before.
func (t *table) leave(now time.Time, target directory.Life) bool {
	e := t.of(target, now)
	known := e.leaving
	e.leaving = true
	return !known
}

// pause pauses a target for d, and reports whether it was not paused before. A longer pause
// that is already in effect is kept.
func (t *table) pause(now time.Time, target directory.Life, d time.Duration) bool {
	e := t.of(target, now)
	begins := !now.Before(e.pausedUntil)
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return begins
}

// newBucket returns an empty bucket, because a target that announces a limit is already
// overloaded.
func newBucket(now time.Time) *rate.Limiter {
	b := rate.NewLimiter(minPerSecond, giverBurst)
	b.AllowN(now, giverBurst)
	return b
}

// givers returns the number of nodes that may send to a target with limit l.
func (l Limit) givers() int { return max(int(l.PerSecond/perGiver), 1) }

// given returns the rate of each of several senders, in requests a second.
func (l Limit) given(givers int) float64 {
	return max(givenShare*l.PerSecond/float64(givers), minPerSecond)
}

// limit returns the limit of a target, which is the zero value if it has none.
func (t *table) limit(target directory.Life) Limit {
	if e := t.entries[target]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// ends reports whether a response without a limit ends the target's limit. Responses may
// arrive out of order, so only a response to a request that was sent after the last
// announcement of the limit ends it.
func (t *table) ends(target directory.Life, sent time.Time) bool {
	e := t.entries[target]
	return e != nil && e.Set && sent.After(e.at)
}

// heldBack reports whether a target may get no requests from this node because it is leaving,
// even if the source says otherwise, or is paused.
func (t *table) heldBack(now time.Time, target directory.Life) bool {
	e := t.entries[target]
	return e != nil && e.heldBack(now)
}

func (e *entry) heldBack(now time.Time) bool { return e.leaving || now.Before(e.pausedUntil) }

// pauseLeft returns the remaining pause of a target. It is 0 for a target that is leaving or
// not paused.
func (t *table) pauseLeft(now time.Time, target directory.Life) time.Duration {
	e := t.entries[target]
	if e == nil || e.leaving {
		return 0
	}
	return max(e.pausedUntil.Sub(now), 0)
}

// allows reports whether a target may get a request: it is not held back, and either has no
// limit, or this node is a sender for it and its bucket has a token.
func (t *table) allows(now time.Time, target directory.Life, giver giver) bool {
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

// sent takes a token for a request that is sent to a target.
func (t *table) sent(now time.Time, target directory.Life) {
	if e := t.entries[target]; e != nil && e.Set {
		e.bucket.AllowN(now, 1)
	}
}

// limited returns the targets with a limit, in no particular order.
func (t *table) limited() []directory.Life {
	return t.where(func(e *entry) bool { return e.Set })
}

// told returns the targets that told this node that they are leaving or want a pause, in no
// particular order.
func (t *table) told(now time.Time) []directory.Life {
	return t.where(func(e *entry) bool { return e.heldBack(now) })
}

// known returns all targets in the table, in no particular order.
func (t *table) known() []directory.Life {
	return t.where(func(*entry) bool { return true })
}

func (t *table) where(is func(*entry) bool) []directory.Life {
	var list []directory.Life
	for target, e := range t.entries {
		if is(e) {
			list = append(list, target)
		}
	}
	return list
}

// newest returns the targets with the newest reports of a limit or its end, at most n.
func (t *table) newest(n int) []directory.Life {
	list := t.where(func(e *entry) bool { return !e.at.IsZero() })
	slices.SortFunc(list, func(a, b directory.Life) int {
		return cmp.Or(t.entries[b].at.Compare(t.entries[a].at), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

// prune removes entries whose limit ended more than endedFor ago, unless the target is leaving
// or paused.
func (t *table) prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ directory.Life, e *entry) bool {
		return !e.Set && now.Sub(e.at) > endedFor && !e.leaving && !now.Before(e.pausedUntil)
	})
}

// pruneLives removes target incarnations that have not been listed for unlistedFor. An entry
// of the source may disappear temporarily, and the state of the target must outlast that.
func (t *table) pruneLives(now time.Time, d *directory.Directory) {
	maps.DeleteFunc(t.entries, func(target directory.Life, e *entry) bool {
		switch {
		case d.Lives(target):
			e.unlisted = time.Time{}
		case e.unlisted.IsZero():
			e.unlisted = now
		}
		return !e.unlisted.IsZero() && now.Sub(e.unlisted) > unlistedFor
	})
}
