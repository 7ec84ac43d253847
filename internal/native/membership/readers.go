package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/routing"
)

// Rule: which nodes of a data centre read the configuration service.
//
// A node becomes a reader when it has known fewer than wantedReaders others for a
// delay of its own, and stops when wantedReaders of a higher rank are known; a rank is
// the hash of an address. Inputs: the readers that exchanges of this data centre
// named, each with the age of its last sign, which counts for readerFor. Without
// exchanges every node becomes a reader, so that a partition has readers on both
// sides.
//
// Why so: if every node read the service, its load would grow with the fleet
// (docs/decisions/0006-membership.md). Too few readers delay a bundle by the time
// until others step in; too many only cost the service reads.
const (
	// wantedReaders is how many nodes of a data centre read the configuration service.
	// With it there are 1 to 4 readers of a data centre of 1 to 200 nodes, replaced when
	// they die (TestReaders).
	wantedReaders = 2
	// readerFor is how long a reader counts after it was last known to read: some rounds
	// of exchange, since it becomes known from node to node.
	readerFor = 15 * time.Second
	// readerDelay is the unit of the delay after which a node becomes a reader, so that a
	// few do and the rest learn of those first.
	readerDelay = 500 * time.Millisecond
	// readerDelays is how many different delays there are: 0 to 7.5 s.
	readerDelays = 16
)

// withReaders returns the view with the readers that an exchange of this data centre
// named.
func (v View) withReaders(now time.Time, readers []message.Reader) View {
	if len(readers) == 0 {
		return v
	}
	v.readers = maps.Clone(v.readers)
	for _, r := range readers {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if r.Node != v.self && at.After(v.readers[r.Node]) {
			v.readers[r.Node] = at
		}
	}
	return v
}

// Readers lists the readers to name in an exchange, the freshest first.
func (v View) Readers(now time.Time) []message.Reader {
	var list []message.Reader
	if v.reading {
		list = append(list, message.Reader{Node: v.self})
	}
	for node, at := range v.readers {
		if now.Sub(at) <= readerFor {
			list = append(list, message.Reader{Node: node, AgeMs: int(now.Sub(at).Milliseconds())})
		}
	}
	slices.SortFunc(list, func(a, b message.Reader) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Node, b.Node))
	})
	return list[:min(len(list), wantedReaders+1)]
}

// Reading says whether this node is a reader of its data centre.
func (v View) Reading() bool { return v.reading }

// WithReading returns the view after deciding whether this node is a reader.
func (v View) WithReading(now time.Time) View {
	others, above := v.countReaders(now)
	if v.reading {
		v.reading = above < wantedReaders
		return v
	}
	if others >= wantedReaders {
		v.shortSince = time.Time{}
		return v
	}
	if v.shortSince.IsZero() {
		v.shortSince = now
	}
	v.reading = now.Sub(v.shortSince) >= v.ownDelay()
	return v
}

// countReaders counts the other known readers, and those of a higher rank.
func (v View) countReaders(now time.Time) (others, above int) {
	for node, at := range v.readers {
		if now.Sub(at) > readerFor {
			continue
		}
		others++
		if routing.Hash(node) > routing.Hash(v.self) {
			above++
		}
	}
	return others, above
}

// ownDelay is how long too few readers must be known before this node becomes one.
func (v View) ownDelay() time.Duration {
	return readerDelay * time.Duration(routing.Hash(v.self)%readerDelays)
}
