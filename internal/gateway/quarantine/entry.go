package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Crash is the end of a target while it had a request. Times are by this node's clock.
type Crash struct {
	// Target names the target, and with it one life of its process.
	Target string
	// SentAt is when the request was sent there, BrokenAt when the connection broke.
	SentAt, BrokenAt time.Time
	// Silent says that no part of an answer had come.
	Silent bool
}

// maxCrashes bounds the ends that are kept of one request: more than a request can bring
// about before all members hold it.
const maxCrashes = 16

// Entry is what is known of one request. It is immutable.
type Entry struct {
	Digest Digest
	// Held says that a member found the ends sufficient to hold the request. It is passed
	// on as such: members round times differently.
	Held bool
	// Cleared counts how often an answer has cleared the request. What is known under a
	// lower count no longer counts.
	Cleared int
	// ClearedAt is when that was last, by this node's clock; zero for never.
	ClearedAt time.Time
	// Crashes are the ends of targets since then, one a target, in the order of their
	// names.
	Crashes []Crash
}

// joined returns what two reports say of one target's end. It may have had the request
// more than once: the whole time counts, and that it was silent when either says so.
func (c Crash) joined(other Crash) Crash {
	if other.SentAt.Before(c.SentAt) {
		c.SentAt = other.SentAt
	}
	if other.BrokenAt.Before(c.BrokenAt) {
		c.BrokenAt = other.BrokenAt
	}
	c.Silent = c.Silent || other.Silent
	return c
}

// withCrash returns the entry with one more end, and decides whether it is held.
func (e Entry) withCrash(c Crash) Entry {
	i, known := slices.BinarySearchFunc(e.Crashes, c.Target, func(c Crash, target string) int { return strings.Compare(c.Target, target) })
	crashes := slices.Clone(e.Crashes)
	if known {
		crashes[i] = crashes[i].joined(c)
	} else {
		crashes = newest(slices.Insert(crashes, i, c))
	}
	e.Crashes = crashes
	e.Held = e.Held || suffices(crashes)
	return e
}

// newest drops the oldest of too many ends: the later ones say until when the request is
// held.
func newest(crashes []Crash) []Crash {
	if len(crashes) <= maxCrashes {
		return crashes
	}
	oldest := slices.MinFunc(crashes, func(a, b Crash) int { return cmp.Or(a.BrokenAt.Compare(b.BrokenAt), strings.Compare(a.Target, b.Target)) })
	return slices.DeleteFunc(crashes, func(c Crash) bool { return c.Target == oldest.Target })
}

// withAnswer returns the entry without the ends that came before an answer.
func (e Entry) withAnswer(now time.Time) Entry {
	return Entry{Digest: e.Digest, Cleared: e.Cleared + 1, ClearedAt: now}
}

// merged returns what two members know together: what was cleared more often wins, and
// between equals all ends count.
func (e Entry) merged(other Entry) Entry {
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

// last is when something last happened to the request.
func (e Entry) last() time.Time {
	last := e.ClearedAt
	for _, c := range e.Crashes {
		if c.BrokenAt.After(last) {
			last = c.BrokenAt
		}
	}
	return last
}

// forgetAt is from when on the entry is of no use. One that is held is kept for maxHold,
// so that a trial which fails still counts as one.
func (e Entry) forgetAt() time.Time {
	if e.Held {
		return e.last().Add(maxHold)
	}
	return e.last().Add(suspectFor)
}

// same says whether two entries of one request say the same, whatever their times.
func (e Entry) same(other Entry) bool {
	return e.Held == other.Held && e.Cleared == other.Cleared && slices.EqualFunc(e.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.Target == b.Target && a.Silent == b.Silent
	})
}
