// Package view holds what a node knows of the deployment: the catalog in force
// and the directory of targets, with the revision of each. It decides what a
// change means; it does no input or output and reads no clock.
//
// Within a node's life the catalog's version and the revision never go back.
package view

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// LapseGrace is how long after the source's last trouble a target that vanished
// is still used. Targets name themselves again within two heartbeats; a node that
// can read the source again is trusted to know who leaves soon afterwards, so
// the time counts from the trouble and not from the news.
const LapseGrace = 2600 * time.Millisecond

// Change is one item of news from the source.
type Change interface{ isChange() }

// CatalogChange is a new configuration.
type CatalogChange struct {
	Catalog *catalog.Catalog
	// Document is the source's own text, to pass on to peers.
	Document []byte
}

// TargetChange is a target that came or changed.
type TargetChange struct{ Target directory.Target }

// TargetGone is a target that vanished.
type TargetGone struct{ ID string }

// Rejected is an entry that was refused whole.
type Rejected struct{ Key, Reason string }

func (CatalogChange) isChange() {}
func (TargetChange) isChange()  {}
func (TargetGone) isChange()    {}
func (Rejected) isChange()      {}

// Changes are the news up to a revision of the source.
type Changes struct {
	Revision int64
	List     []Change
}

// View is what is known. It is immutable.
type View struct {
	Revision  int64
	Catalog   *catalog.Catalog
	Document  []byte
	Directory *directory.Directory
	// history is what changed lately, up to Revision.
	history History
}

// New returns the view of a node that knows nothing.
func New() *View { return &View{Directory: directory.New()} }

// Version returns the version of the catalog in force; 0 for none.
func (v *View) Version() int64 {
	if v.Catalog == nil {
		return 0
	}
	return v.Catalog.Version
}

// WithChanges takes in news. troubled is when the source was last in trouble;
// zero for never. A target that vanished soon afterwards may only have lapsed.
func (v *View) WithChanges(now time.Time, ch Changes, troubled time.Time) *View {
	next := *v
	for _, c := range ch.List {
		switch c := c.(type) {
		case CatalogChange:
			next = *next.withCatalog(c)
		case TargetChange:
			next.Directory = next.Directory.With(c.Target)
		case TargetGone:
			next.Directory = next.withoutTarget(now, c.ID, troubled)
		case Rejected:
		}
	}
	next.Revision = max(next.Revision, ch.Revision)
	next.history = next.history.With(ch)
	return &next
}

// WithSnapshot replaces the directory by a whole list of the source.
func (v *View) WithSnapshot(now time.Time, ch Changes, troubled time.Time) *View {
	if ch.Revision < v.Revision {
		return v
	}
	listed := make(map[string]bool, len(ch.List))
	for _, c := range ch.List {
		if t, ok := c.(TargetChange); ok {
			listed[t.Target.ID] = true
		}
	}
	next := v.WithChanges(now, ch, troubled)
	for id := range next.Directory.All() {
		if !listed[id] {
			next.Directory = next.withoutTarget(now, id, troubled)
		}
	}
	next.history = newHistory(next.Revision)
	return next
}

// WithTime lets lapsed targets go.
func (v *View) WithTime(now time.Time) *View {
	d := v.Directory.WithTime(now)
	if d == v.Directory {
		return v
	}
	next := *v
	next.Directory = d
	return &next
}

func (v *View) withCatalog(c CatalogChange) *View {
	if v.Catalog != nil && c.Catalog.Version <= v.Catalog.Version {
		return v
	}
	next := *v
	next.Catalog = c.Catalog
	next.Document = c.Document
	return &next
}

func (v *View) withoutTarget(now time.Time, id string, troubled time.Time) *directory.Directory {
	if until := troubled.Add(LapseGrace); !troubled.IsZero() && now.Before(until) {
		return v.Directory.WithLapsed(id, until)
	}
	return v.Directory.Without(id)
}
