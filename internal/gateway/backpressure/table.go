package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// usedShare is the fraction of a limit that the senders use together. If two sets of
	// nodes both send, for example while a member joins or leaves, they exceed the limit by
	// only a fifth.
	usedShare = 0.6
	// limitPerSender is the part of a limit for which there is one sender, in requests a second.
	// In a large cluster few nodes have more requests than this for one target.
	limitPerSender = 2
	// senderBurst is the number of requests that a sender may send at once.
	senderBurst = 1
	// probeInterval is the time without a confirmation of a limit after which a sender prefers
	// the target for its next request, whatever the target's cost: otherwise a target that was
	// slow would not be asked, and the end of its limit not be heard.
	probeInterval = time.Second
	// minSenderRate is the minimum rate of a sender in requests a second. It is not 0, so that
	// a response can announce the end of a limit of 0.
	minSenderRate = 0.1
	// endedRetention is the time for which the end of a limit is kept, so that it reaches all
	// members.
	endedRetention = 10 * time.Second
	// duplicateTolerance is the maximum difference in time between two equal reports that are
	// considered the same report. It exceeds the duration of an exchange between members,
	// which makes a forwarded report look newer.
	duplicateTolerance = 500 * time.Millisecond
	// unlistedRetention is the time for which the state of an unlisted target is kept in case it
	// is listed again. It exceeds the outages of the source, and the time for which a leaving
	// target keeps running.
	unlistedRetention = time.Minute
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
	// brittle is set while the target is brittle.
	brittle *brittle
	// bucket limits the requests that this node sends under the target's limit.
	bucket *rate.Limiter
	// unlistedSince is the time since which the target is not listed. It is zero while the target
	// is listed.
	unlistedSince time.Time
}

// table holds an entry for each target incarnation that is leaving, paused, limited or brittle,
// or was so recently. It is not safe for concurrent use.
type table struct {
	entries map[directory.Incarnation]*entry
}

func newTable() *table { return &table{entries: map[directory.Incarnation]*entry{}} }

// merge records a report unless one that is at least as new is known, and reports whether the
// limit changed.
func (t *table) merge(target directory.Incarnation, r report) bool {
	e := t.getOrCreate(target, r.at)
	if !r.at.After(e.at) {
		return false
	}
	changed := r.Limit != e.Limit
	e.report = r
	return changed
}

// isDuplicate reports whether a member's report may be one that is already known. Each
// exchange makes a forwarded report look newer by the duration of the exchange.
func (t *table) isDuplicate(target directory.Incarnation, r report) bool {
	e := t.entries[target]
	return e != nil && r.Limit == e.Limit && r.at.Sub(e.at) < duplicateTolerance
}

// getOrCreate returns the entry of a target and creates it if necessary.
func (t *table) getOrCreate(target directory.Incarnation, now time.Time) *entry {
	e := t.entries[target]
	if e == nil {
		e = &entry{bucket: newBucket(now)}
		t.entries[target] = e
	}
	return e
}

// markLeaving marks a target as leaving, and reports whether it was not marked before.
func (t *table) markLeaving(now time.Time, target directory.Incarnation) bool {
	e := t.getOrCreate(target, now)
	wasLeaving := e.leaving
	e.leaving = true
	return !wasLeaving
}

// pause pauses a target for d, and reports whether it was not paused before. A longer pause
// that is already in effect is kept.
func (t *table) pause(now time.Time, target directory.Incarnation, d time.Duration) bool {
	e := t.getOrCreate(target, now)
	isNew := !now.Before(e.pausedUntil)
	if until := now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return isNew
}

// newBucket returns an empty bucket, because a target that announces a limit is already
// overloaded.
func newBucket(now time.Time) *rate.Limiter {
	b := rate.NewLimiter(minSenderRate, senderBurst)
	b.AllowN(now, senderBurst)
	return b
}

// senders returns the number of nodes that may send to a target with limit l.
func (l Limit) senders() int { return max(saturate.Int(l.PerSecond/limitPerSender), 1) }

// ratePerSender returns the rate of each of several senders, in requests a second. It is at
// least minSenderRate.
func (l Limit) ratePerSender(senders int) float64 {
	return max(usedShare*l.PerSecond/float64(senders), minSenderRate)
}

// limit returns the limit of a target, which is the zero value if it has none.
func (t *table) limit(target directory.Incarnation) Limit {
	if e := t.entries[target]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// endsLimit reports whether a response without a limit ends the target's limit.
// Responses may arrive out of order, so only a response to a request that was sent after
// the last announcement of the limit ends it.
func (t *table) endsLimit(target directory.Incarnation, sent time.Time) bool {
	e := t.entries[target]
	return e != nil && e.Set && sent.After(e.at)
}

// unconfirmed reports whether the last report of a target's limit is older than probeInterval.
func (t *table) unconfirmed(now time.Time, target directory.Incarnation) bool {
	e := t.entries[target]
	return e != nil && e.Set && now.Sub(e.at) >= probeInterval
}

// heldBack reports whether a target may get no requests from this node because it is leaving,
// even if the source says otherwise, or is paused.
func (t *table) heldBack(now time.Time, target directory.Incarnation) bool {
	e := t.entries[target]
	return e != nil && e.heldBack(now)
}

func (e *entry) heldBack(now time.Time) bool { return e.leaving || now.Before(e.pausedUntil) }

// pauseLeft returns the remaining pause of a target. It is 0 for a target that is leaving or
// not paused.
func (t *table) pauseLeft(now time.Time, target directory.Incarnation) time.Duration {
	e := t.entries[target]
	if e == nil || e.leaving {
		return 0
	}
	return max(e.pausedUntil.Sub(now), 0)
}

// observeBrittle records an answer of a target that is or was brittle, and reports whether that
// changed. An answer to a request that was sent before the last report of it ends nothing.
func (t *table) observeBrittle(now time.Time, target directory.Incarnation, s Signal) (changed bool) {
	e := t.getOrCreate(target, now)
	switch {
	case s.Brittle.Set:
		if changed = e.brittle == nil; changed {
			e.brittle = newBrittle()
		}
		e.brittle.answered(now, s)
	case e.brittle != nil && s.Sent.After(e.brittle.confirmedAt):
		e.brittle = nil
		return true
	}
	return changed
}

// isBrittle reports whether a target is known to be brittle.
func (t *table) isBrittle(target directory.Incarnation) bool {
	e := t.entries[target]
	return e != nil && e.brittle != nil
}

// allows reports whether a target may get a request: it is not held back, this node may cause a
// refusal there if it is brittle, and either it has no limit, or this node is a sender for it and
// its bucket has a token. nodes is how many nodes share what a brittle target can refuse.
func (t *table) allows(now time.Time, target directory.Incarnation, share shareFunc, nodes int) bool {
	e := t.entries[target]
	switch {
	case e == nil:
		return true
	case e.heldBack(now), e.brittle != nil && !e.brittle.allows(now, nodes):
		return false
	case !e.Set:
		return true
	}
	perSecond, sends := share(target, e.Limit, now.Sub(e.at))
	if limit := rate.Limit(perSecond); e.bucket.Limit() != limit {
		e.bucket.SetLimitAt(now, limit)
	}
	return sends && e.bucket.TokensAt(now) >= 1
}

// takeToken takes a token for a request that is sent to a target.
func (t *table) takeToken(now time.Time, target directory.Incarnation) {
	e := t.entries[target]
	if e == nil {
		return
	}
	if e.Set {
		e.bucket.AllowN(now, 1)
	}
	if e.brittle != nil {
		e.brittle.send(now)
	}
}

// limited returns the targets with a limit, in no particular order.
func (t *table) limited() []directory.Incarnation {
	return t.filter(func(e *entry) bool { return e.Set })
}

// held returns the targets that told this node that they are leaving or want a pause, in no
// particular order.
func (t *table) held(now time.Time) []directory.Incarnation {
	return t.filter(func(e *entry) bool { return e.heldBack(now) })
}

// all returns all targets in the table, in no particular order.
func (t *table) all() []directory.Incarnation {
	return t.filter(func(*entry) bool { return true })
}

func (t *table) filter(match func(*entry) bool) []directory.Incarnation {
	var list []directory.Incarnation
	for target, e := range t.entries {
		if match(e) {
			list = append(list, target)
		}
	}
	return list
}

// newest returns the targets with the newest reports of a limit or its end, at most n.
func (t *table) newest(n int) []directory.Incarnation {
	list := t.filter(func(e *entry) bool { return !e.at.IsZero() })
	slices.SortFunc(list, func(a, b directory.Incarnation) int {
		return cmp.Or(t.entries[b].at.Compare(t.entries[a].at), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

// pruneEnded removes entries whose limit ended more than endedRetention ago, unless the
// target is leaving or paused.
func (t *table) pruneEnded(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ directory.Incarnation, e *entry) bool {
		return !e.Set && now.Sub(e.at) > endedRetention && !e.leaving && e.brittle == nil && !now.Before(e.pausedUntil)
	})
}

// pruneUnlisted removes target incarnations that have not been listed for
// unlistedRetention. An entry of the source may disappear temporarily, and the state of the
// target must outlast that.
func (t *table) pruneUnlisted(now time.Time, d *directory.Directory) {
	maps.DeleteFunc(t.entries, func(target directory.Incarnation, e *entry) bool {
		switch {
		case d.IsCurrent(target):
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		}
		return !e.unlistedSince.IsZero() && now.Sub(e.unlistedSince) > unlistedRetention
	})
}
