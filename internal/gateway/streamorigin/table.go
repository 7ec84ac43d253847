// Package streamorigin remembers which target began a stream that its client may take up again,
// at any node: targets of another software version do not understand the rest of a stream and
// do not check that.
//
// The node that begins a stream keeps its origin and tells it to some members, chosen by a hash
// of the request. A node at which a client takes a stream up asks these members. Nothing is
// stored on disk: an origin is lost with all the nodes that know it, and the stream then goes on
// nowhere. The package performs no I/O and reads no clock.
package streamorigin

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Key identifies the request that began a stream. It covers the organisation, so that one
// organisation's requests cannot replace the origins of another's.
type Key uint64

const (
	// keyBase is the number base of a key's text, keyBits the size of a key in bits.
	keyBase, keyBits = 16, 64
	// maxEntries limits the origins that a node keeps, of some 100 bytes each: those of 500
	// streams per second over two minutes. Beyond it those that expire first are evicted.
	maxEntries = 60_000
	// evictionDivisor divides maxEntries; the quotient is how many entries are evicted at once.
	evictionDivisor = 8
)

// KeyOf returns the key of a request. The organisation is empty for requests without an API key.
func KeyOf(organisation, request string) Key {
	text := binary.AppendUvarint(nil, uint64(len(organisation)))
	return Key(xxhash.Sum64(append(append(text, organisation...), request...)))
}

// ParseKey parses the result of Key.String, and reports whether the text is a key.
func ParseKey(s string) (Key, bool) {
	n, err := strconv.ParseUint(s, keyBase, keyBits)
	return Key(n), err == nil
}

// String returns the key in hexadecimal, as members exchange it.
func (k Key) String() string { return strconv.FormatUint(uint64(k), keyBase) }

// Origin is what began a stream.
type Origin struct {
	// Service is the service of the target that began the stream, Version its software version.
	Service string
	Version directory.Version
	// Attempt counts the attempts of the request before this one. An attempt that ended before
	// the first event began nothing, so that a later one replaces it.
	Attempt int
}

// entry is an origin that is kept until a time.
type entry struct {
	Origin
	until time.Time
	// own is true if this node began the stream.
	own bool
}

// Table holds the origins that one node knows. It is not safe for concurrent use.
type Table struct{ entries map[Key]entry }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}} }

// Put keeps an origin for a time, unless one of a later attempt is known. own tells whether this
// node began the stream.
func (t *Table) Put(now time.Time, k Key, o Origin, keep time.Duration, own bool) {
	if known, exists := t.entries[k]; exists && known.Attempt > o.Attempt {
		return
	}
	t.entries[k] = entry{Origin: o, until: now.Add(keep), own: own}
	if len(t.entries) > maxEntries {
		t.evict()
	}
}

// evict removes the origins that expire first.
func (t *Table) evict() {
	oldest := slices.SortedFunc(maps.Keys(t.entries), func(a, b Key) int { return t.entries[a].until.Compare(t.entries[b].until) })
	for _, k := range oldest[:maxEntries/evictionDivisor] {
		delete(t.entries, k)
	}
}

// Find returns a known origin. own tells whether this node began the stream, so that no member
// knows better.
func (t *Table) Find(now time.Time, k Key) (o Origin, own, found bool) {
	e, exists := t.entries[k]
	if !exists || !now.Before(e.until) {
		return Origin{}, false, false
	}
	return e.Origin, e.own, true
}

// Prune removes the origins that have expired.
func (t *Table) Prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return !now.Before(e.until) })
}

// Len returns the number of origins.
func (t *Table) Len() int { return len(t.entries) }
