package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Crash records that a target crashed while it had a request. Times are by this node's
// clock.
type Crash struct {
	// Target is the text form of the target's directory.Incarnation.
	Target string
	// SentAt is when the request was sent to the target, and BrokenAt when the connection
	// broke.
	SentAt, BrokenAt time.Time
	// Silent is set if no part of an answer had arrived.
	Silent bool
}

// maxCrashes limits the crashes that are kept per request. It exceeds the number that a
// request can cause before all members hold it.
const maxCrashes = 16

// Entry is the state of one suspected request. It is immutable.
type Entry struct {
	Digest Digest
	// Held is set if a member found the crashes sufficient to hold the request. Members
	// adopt it from each other, because they round times differently and might decide
	// differently.
	Held bool
	// Cleared counts the answers that have cleared the request. An entry with a higher
	// count supersedes one with a lower count.
	Cleared int
	// ClearedAt is when the request was last cleared, by this node's clock; zero if it
	// never was.
	ClearedAt time.Time
	// Crashes lists the crashes since the request was last cleared, one for each target,
	// ordered by target.
	Crashes []Crash
}

// merge merges two reports of one target's crash. The target may have had the request more
// than once: the result has the earlier SentAt and BrokenAt, and is silent if either is.
func (c Crash) merge(other Crash) Crash {
	if other.SentAt.Before(c.SentAt) {
		c.SentAt = other.SentAt
	}
	if other.BrokenAt.Before(c.BrokenAt) {
		c.BrokenAt = other.BrokenAt
	}
	c.Silent = c.Silent || other.Silent
	return c
}

// withCrash returns the entry with a crash added.
func (e Entry) withCrash(c Crash) Entry {
	i, known := slices.BinarySearchFunc(e.Crashes, c.Target, func(c Crash, target string) int { return strings.Compare(c.Target, target) })
	crashes := slices.Clone(e.Crashes)
	if known {
		crashes[i] = crashes[i].merge(c)
	} else {
		crashes = dropOldest(slices.Insert(crashes, i, c))
	}
	e.Crashes = crashes
	return e
}

// dropOldest drops the oldest crash if there are more than maxCrashes: the later ones
// determine the end of the hold.
func dropOldest(crashes []Crash) []Crash {
	if len(crashes) <= maxCrashes {
		return crashes
	}
	oldest := slices.MinFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.BrokenAt.Compare(b.BrokenAt), strings.Compare(a.Target, b.Target))
	})
	return slices.DeleteFunc(crashes, func(c Crash) bool { return c.Target == oldest.Target })
}

// withAnswer returns the entry cleared by an answer, without its crashes.
func (e Entry) withAnswer(now time.Time) Entry {
	return Entry{Digest: e.Digest, Cleared: e.Cleared + 1, ClearedAt: now}
}

// merge merges the entries of two members. The one that was cleared more often wins; if
// both were cleared equally often, the result has the crashes of both, and is held if
// either is.
func (e Entry) merge(other Entry) Entry {
	switch {
	case other.Cleared > e.Cleared:
		return other
	case other.Cleared < e.Cleared:
		return e
	}
	if other.ClearedAt.Before(e.ClearedAt) {
		e.ClearedAt = other.ClearedAt
	}
	e.Held = e.Held || other.Held
	for _, c := range other.Crashes {
		e = e.withCrash(c)
	}
	return e
}

// lastEvent returns the time of the last crash or clearing answer.
func (e Entry) lastEvent() time.Time {
	last := e.ClearedAt
	for _, c := range e.Crashes {
		if c.BrokenAt.After(last) {
			last = c.BrokenAt
		}
	}
	return last
}

// expiresAt returns when the entry expires. A held entry is kept for maxHold, so that the
// crash of a failed trial still lengthens the hold.
func (e Entry) expiresAt() time.Time {
	if e.Held {
		return e.lastEvent().Add(maxHold)
	}
	return e.lastEvent().Add(suspicionTTL)
}

// equalExceptTimes reports whether two entries of one request are equal except for their
// times.
func (e Entry) equalExceptTimes(other Entry) bool {
	return e.Held == other.Held && e.Cleared == other.Cleared && slices.EqualFunc(e.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.Target == b.Target && a.Silent == b.Silent
	})
}
