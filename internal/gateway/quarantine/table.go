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
	// maxEntries limits the requests in a table, of about 0.3 KB each with one crash and
	// 1.5 KB with maxCrashes. It suffices for the requests of thirty targets that crash
	// together. Beyond it, entries are evicted in the order in which they would expire:
	// the suspected ones with the oldest last event first, and held ones last unless they
	// are about to expire.
	maxEntries = 1024
	// evictionBatch is the number of entries that are evicted at once, so that the table is
	// not sorted for every new entry.
	evictionBatch = maxEntries / 8
	// maxRecent limits the entries in one exchange to the most recent ones, so that the
	// failure of a rack does not inflate gossip: 64 entries with one crash each take 3.7 KB
	// in the compact encoding.
	maxRecent = 64
	// recentWindow is how long a change is included in gossip: six rounds, in each of which
	// a node exchanges with at least two others, so that nearly all of hundreds of members
	// receive it. The others get it by comparing HeldSum.
	recentWindow = 3 * time.Second
	// minTrialInterval is the minimum time between two trials of a request. A crash caused
	// by the first trial is known by then.
	minTrialInterval = 10 * time.Second
)

// Hold describes why and for how long a request is held.
type Hold struct {
	// Until is the earliest time of a trial, by this node's clock.
	Until time.Time
	// Crashes lists the crashes that the request is held for.
	Crashes []Crash
}

// record is an entry with state that is local to this node.
type record struct {
	Entry
	// changedAt is when this node's entry last changed.
	changedAt time.Time
	// lastTrial is when this node last admitted a trial.
	lastTrial time.Time
}

// Table holds one node's entries of suspected requests. It is not safe for concurrent use.
type Table struct {
	rule    Rule
	entries map[Digest]record
	answers answerMemory
	// prevalence tells rare subjects from common ones.
	prevalence prevalence
}

// TableOption configures a Table.
type TableOption func(*Table)

// WithRule sets when subjects are held; the default is RequestRule.
func WithRule(r Rule) TableOption { return func(t *Table) { t.rule = r } }

// NewTable returns an empty table.
func NewTable(opts ...TableOption) *Table {
	t := &Table{rule: RequestRule, entries: map[Digest]record{}}
	for _, opt := range opts {
		opt(t)
	}
	t.answers.keep = t.rule.answersKept
	return t
}

// RecordCrash records that a target crashed while it had a request, and reports whether
// that is new. It is not recorded if a recent answer speaks for the request.
func (t *Table) RecordCrash(now time.Time, d Digest, c Crash) bool {
	if t.answers.has(now, d) {
		return false
	}
	old := t.entries[d]
	old.Digest = d
	return t.store(now, old.withCrash(c))
}

// RecordAnswer records that a target answered a request, and reports whether that cleared a
// suspected one.
func (t *Table) RecordAnswer(now time.Time, d Digest) bool {
	t.answers.add(now, d)
	old, suspected := t.entries[d]
	if !suspected || len(old.Crashes) == 0 {
		return false
	}
	return t.store(now, old.withAnswer(now))
}

// Merge merges another member's entries, and reports whether any of them is new. An entry that a
// recent answer speaks against is cleared.
func (t *Table) Merge(now time.Time, entries []Entry) bool {
	changed := false
	for _, e := range entries {
		merged := e
		if old, has := t.entries[e.Digest]; has {
			merged = old.merge(e)
		}
		if len(merged.Crashes) > 0 && t.answers.has(now, e.Digest) {
			merged = merged.withAnswer(now)
		}
		if t.store(now, merged) {
			changed = true
		}
	}
	return changed
}

// RecordRequest records that a request with some subjects was admitted. group identifies the
// requests that may have these subjects.
func (t *Table) RecordRequest(group Digest, subjects []Digest) { t.prevalence.add(group, subjects) }

// ruleFor returns the rule by which a subject comes to be held.
func (t *Table) ruleFor(d Digest) Rule {
	if t.prevalence.rare(d) {
		return t.rule
	}
	return t.rule.forCommon()
}

// store stores an entry, held if its crashes warrant that, and reports whether it differs from the
// known one in more than its times. Expired entries are ignored.
func (t *Table) store(now time.Time, e Entry) bool {
	e.Held = e.Held || t.ruleFor(e.Digest).warrantsHold(e.Crashes)
	old, has := t.entries[e.Digest]
	if !now.Before(e.expiresAt()) {
		return false
	}
	if has && old.equalExceptTimes(e) {
		old.Entry = e
		t.entries[e.Digest] = old
		return false
	}
	t.entries[e.Digest] = record{Entry: e, changedAt: now, lastTrial: old.lastTrial}
	t.evict()
	return true
}

// evict evicts entries if there are more than maxEntries.
func (t *Table) evict() {
	if len(t.entries) <= maxEntries {
		return
	}
	list := slices.SortedFunc(maps.Values(t.entries), func(a, b record) int {
		return cmp.Or(a.expiresAt().Compare(b.expiresAt()), cmp.Compare(a.Digest, b.Digest))
	})
	for _, k := range list[:evictionBatch] {
		delete(t.entries, k.Digest)
	}
}

// Prune removes expired entries.
func (t *Table) Prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Digest, k record) bool { return !now.Before(k.expiresAt()) })
}

// Suspected reports whether targets crashed while they had a request and none has answered
// it since.
func (t *Table) Suspected(d Digest) bool { return len(t.entries[d].Crashes) > 0 }

// Urgent reports whether members should be told of a request at once.
func (t *Table) Urgent(d Digest) bool {
	e := t.entries[d]
	return e.Held || totalWeight(e.Crashes) >= t.rule.urgentWeight
}

// Held returns the hold on a request, and whether there is one. A request stays held after
// the end of its hold, until a trial has shown that targets survive it (StartTrial).
func (t *Table) Held(d Digest) (Hold, bool) {
	e := t.entries[d].Entry
	if !e.Held {
		return Hold{}, false
	}
	return Hold{Until: t.rule.holdUntil(e.Crashes), Crashes: e.Crashes}, true
}

// HeldAmong returns the first of some subjects of one request that is held on its own, with the
// hold on it. A subject whose crashes are explained by held subjects that the request does not have
// is not: what was sent together with the cause is suspected like the cause, and only requests
// without the cause can clear it.
func (t *Table) HeldAmong(subjects []Digest) (d Digest, h Hold, held bool) {
	for _, d := range subjects {
		hold, held := t.Held(d)
		if !held {
			continue
		}
		left := t.unexplained(d, hold.Crashes, subjects)
		if len(left) == len(hold.Crashes) || t.ruleFor(d).warrantsHold(left) {
			return d, hold, true
		}
	}
	return 0, Hold{}, false
}

// unexplained returns the crashes of a subject's targets that no held subject crashed which is not
// among those of the request. Rare subjects are explained by those that crashed as many targets at
// least: a sound part that was at some of the targets of a poison part does not explain it.
func (t *Table) unexplained(d Digest, crashes []Crash, subjects []Digest) []Crash {
	left, rare := slices.Clone(crashes), t.prevalence.rare(d)
	for other, e := range t.entries {
		if !e.Held || slices.Contains(subjects, other) || rare && len(e.Crashes) < len(crashes) {
			continue
		}
		left = slices.DeleteFunc(left, func(c Crash) bool {
			return slices.ContainsFunc(e.Crashes, func(o Crash) bool { return o.Target == c.Target })
		})
	}
	return left
}

// StartTrial reports whether this node may try a held request now, and if so records the
// trial. mayTry reports whether this node is the one that tries the request. It is called
// only after the end of the hold.
func (t *Table) StartTrial(now time.Time, d Digest, mayTry func() bool) bool {
	k := t.entries[d]
	if !k.Held || now.Before(t.rule.holdUntil(k.Crashes)) || now.Sub(k.lastTrial) < minTrialInterval || !mayTry() {
		return false
	}
	k.lastTrial = now
	t.entries[d] = k
	return true
}

// Recent returns the entries that changed recently, the newest first and at most maxRecent.
func (t *Table) Recent(now time.Time) []Entry {
	var recent []record
	for _, k := range t.entries {
		if now.Sub(k.changedAt) < recentWindow {
			recent = append(recent, k)
		}
	}
	slices.SortFunc(recent, func(a, b record) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Digest, b.Digest))
	})
	recent = recent[:min(len(recent), maxRecent)]
	return entriesOf(recent)
}

// AllHeld returns the entries of all held requests, in the order of their digests.
func (t *Table) AllHeld() []Entry {
	var list []record
	for _, k := range t.entries {
		if k.Held {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b record) int { return cmp.Compare(a.Digest, b.Digest) })
	return entriesOf(list)
}

// entriesOf returns the entries without their local state.
func entriesOf(list []record) []Entry {
	entries := make([]Entry, len(list))
	for i, k := range list {
		entries[i] = k.Entry
	}
	return entries
}

// HeldSum returns a hash of the set of held requests, or 0 if none is held. Members with
// equal hashes hold the same requests.
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

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }
