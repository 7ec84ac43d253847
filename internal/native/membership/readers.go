package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/routing"
)

const (
	// wantedReaders is how many nodes of a data centre read the configuration
	// service.
	wantedReaders = 2
	// readerFor is how long a reader counts after it was last known to read. News
	// of it passes from node to node, which takes some rounds of exchange.
	readerFor = 15 * time.Second
	// readerDelay spreads nodes that find too few readers, so that a few of them
	// step in and the rest hear of those first.
	readerDelay  = 500 * time.Millisecond
	readerDelays = 16
)

// withReaders takes in which nodes of this data centre read the service.
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

// WithDuty decides whether this node reads the service. It steps in when too few
// readers are known for a time of its own, and steps down when enough readers of
// a higher rank are. Nodes that do not hear each other each step in, so a
// partition leaves readers on both sides.
func (v View) WithDuty(now time.Time) View {
	others, above := 0, 0
	for node, at := range v.readers {
		if now.Sub(at) > readerFor {
			continue
		}
		others++
		if routing.Hash(node) > routing.Hash(v.self) {
			above++
		}
	}
	if v.reading {
		v.reading = above < wantedReaders
		return v
	}
	if others >= wantedReaders {
		v.wanting = time.Time{}
		return v
	}
	if v.wanting.IsZero() {
		v.wanting = now
	}
	v.reading = now.Sub(v.wanting) >= v.patience()
	return v
}

// patience is how long this node waits before it steps in.
func (v View) patience() time.Duration {
	return readerDelay * time.Duration(routing.Hash(v.self)%readerDelays)
}
