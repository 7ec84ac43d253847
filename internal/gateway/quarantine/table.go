package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries bounds the requests that a node remembers, each of some 0.3 KB with one
	// end of a target and 1.5 KB with the most (worked out from the types): as many
	// as thirty targets have when they end together. Beyond, those whose last event is
	// oldest are forgotten, the ones that are held last.
	maxEntries = 1024
	// shrinkBy is how many are forgotten at once, so that many new ones do not have the
	// table sorted for each.
	shrinkBy = maxEntries / 8
	// maxNews bounds the entries in one exchange, the newest first, so that the end of a
	// rack does not swell gossip: 64 with one end each are 3.7 KB in the compact form.
	maxNews = 64
	// newsFor is how long something is passed on after a node learnt of it: six rounds
	// of gossip, in each of which a node exchanges with two others or more, so that even
	// of hundreds nearly all have heard it. The rest learn it by comparing HeldSum.
	newsFor = 3 * time.Second
	// trialPause is the time between two trials of one request, in which a target that
	// ends with the first has long ended.
	trialPause = 10 * time.Second
)

// Hold is why and until when a request is held back.
type Hold struct {
	// Until is when it is tried again at the earliest, by this node's clock.
	Until time.Time
	// Crashes are the ends of targets that it is held for.
	Crashes []Crash
}

// known is an entry with what concerns this node alone.
type known struct {
	Entry
	// learnt is when this node last learnt something new of it.
	learnt time.Time
	// tried is when this node last let a trial through.
	tried time.Time
}

// Table is what one node knows of suspected requests. It is not safe for concurrent
// use.
type Table struct {
	entries map[Digest]known
}

// NewTable returns a table that knows nothing.
func NewTable() *Table { return &Table{entries: map[Digest]known{}} }

// Crashed notes that a target ended while it had a request. It says whether that is new.
func (t *Table) Crashed(now time.Time, d Digest, c Crash) bool {
	old := t.entries[d]
	old.Digest = d
	return t.put(now, old.withCrash(c))
}

// Answered notes that a target answered a request. It says whether that cleared one that
// was suspected.
func (t *Table) Answered(now time.Time, d Digest) bool {
	old, suspected := t.entries[d]
	if !suspected || len(old.Crashes) == 0 {
		return false
	}
	return t.put(now, old.withAnswer(now))
}

// Merge takes in what another member knows, and says whether any of it is new.
func (t *Table) Merge(now time.Time, entries []Entry) bool {
	news := false
	for _, e := range entries {
		merged := e
		if old, has := t.entries[e.Digest]; has {
			merged = old.merged(e)
		}
		if t.put(now, merged) {
			news = true
		}
	}
	return news
}

// put keeps an entry, and says whether it says something new. Times alone are not new.
func (t *Table) put(now time.Time, e Entry) bool {
	old, has := t.entries[e.Digest]
	if !now.Before(e.forgetAt()) {
		return false
	}
	if has && old.same(e) {
		old.Entry = e
		t.entries[e.Digest] = old
		return false
	}
	t.entries[e.Digest] = known{Entry: e, learnt: now, tried: old.tried}
	t.shrink()
	return true
}

// shrink makes room when there are too many entries.
func (t *Table) shrink() {
	if len(t.entries) <= maxEntries {
		return
	}
	list := slices.SortedFunc(maps.Values(t.entries), func(a, b known) int {
		return cmp.Or(a.forgetAt().Compare(b.forgetAt()), cmp.Compare(a.Digest, b.Digest))
	})
	for _, k := range list[:shrinkBy] {
		delete(t.entries, k.Digest)
	}
}

// Prune forgets what is of no use any more.
func (t *Table) Prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Digest, k known) bool { return !now.Before(k.forgetAt()) })
}

// Suspected says whether targets ended while they had a request, and none has answered it
// since.
func (t *Table) Suspected(d Digest) bool { return len(t.entries[d].Crashes) > 0 }

// Held says whether a request may not be sent, and why. It is not sent either when its
// hold is over, until a trial has shown that targets outlive it (Try).
func (t *Table) Held(d Digest) (Hold, bool) {
	e := t.entries[d].Entry
	if !e.Held {
		return Hold{}, false
	}
	return Hold{Until: holdUntil(e.Crashes), Crashes: e.Crashes}, true
}

// Try says whether this node may try a held request now, and counts the trial. mayTry
// says whether this node is the one that tries requests; it is asked only when the hold is
// over.
func (t *Table) Try(now time.Time, d Digest, mayTry func() bool) bool {
	k := t.entries[d]
	if !k.Held || now.Before(holdUntil(k.Crashes)) || now.Sub(k.tried) < trialPause || !mayTry() {
		return false
	}
	k.tried = now
	t.entries[d] = k
	return true
}

// Recent returns what this node has learnt lately, the newest first.
func (t *Table) Recent(now time.Time) []Entry {
	var recent []known
	for _, k := range t.entries {
		if now.Sub(k.learnt) < newsFor {
			recent = append(recent, k)
		}
	}
	slices.SortFunc(recent, func(a, b known) int { return cmp.Or(b.learnt.Compare(a.learnt), cmp.Compare(a.Digest, b.Digest)) })
	recent = recent[:min(len(recent), maxNews)]
	return entriesOf(recent)
}

// AllHeld returns the entries of all requests that are held, in the order of their
// digests.
func (t *Table) AllHeld() []Entry {
	var list []known
	for _, k := range t.entries {
		if k.Held {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b known) int { return cmp.Compare(a.Digest, b.Digest) })
	return entriesOf(list)
}

func entriesOf(list []known) []Entry {
	entries := make([]Entry, len(list))
	for i, k := range list {
		entries[i] = k.Entry
	}
	return entries
}

// HeldSum is a hash of which requests are held: two members with the same one need not
// compare further. It is 0 when none is.
func (t *Table) HeldSum() uint64 {
	list := t.AllHeld()
	if len(list) == 0 {
		return 0
	}
	var text []byte
	for _, e := range list {
		text = binary.BigEndian.AppendUint64(text, uint64(e.Digest))
	}
	return xxhash.Sum64(text)
}

// Len returns how many requests are remembered.
func (t *Table) Len() int { return len(t.entries) }
