package streamorigin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

const (
	// maxRemembered is how long a History remembers targets that are gone and routes that changed.
	maxRemembered = 2 * time.Minute
	// viewLag bounds how far the view of the node that began a stream may have been behind the
	// source, unless a member reported more.
	viewLag = 3 * time.Second
	// minTargets is how many targets of a version a service must have for new streams to be assigned
	// to that version. With one, all of its streams would depend on that target.
	minTargets = 2
)

// History records which targets streams of a service can have begun at, and which routes led to
// it. It assigns new streams to versions, and so tells later which version a stream must have
// begun at. It performs no I/O, reads no clock, and is not safe for concurrent use.
type History struct {
	// since is from when on the record is complete; the zero time if it is from the start of the
	// deployment on.
	since time.Time
	// begun is whether a view has been observed.
	begun    bool
	services map[string]*targets
	// unknown holds the targets that left before their service was known, and when.
	unknown map[string]time.Time
	// changed holds the path prefixes whose routes changed, by host, and until when streams of the
	// earlier route may last.
	changed map[string]map[string]time.Time
	// earlier holds the changes from before the first view; complete is whether they are all.
	earlier  []earlierChange
	complete bool
}

// targets are those of one service.
type targets struct {
	// since is as in History, for this service.
	since  time.Time
	listed map[string]*listed
	gone   []departed
	// warmUp is the longest time that the service's targets were said to stay cold.
	warmUp time.Duration
	// counted is what streams are assigned to; nil if it has to be determined anew.
	counted *counted
}

// listed is a target that the view lists, by its latest entry: all nodes know that one, whatever
// each keeps of earlier ones.
type listed struct {
	version directory.Version
	// id is the hash of its identity.
	id uint64
	// ready is whether streams are assigned to it, readySince from when on.
	ready      bool
	readySince time.Time
	// usableUntil is when it was last usable, if it is not now; usable is whether it is.
	usable      bool
	usableUntil time.Time
	// coldFor is how long it stays cold, coldUntil the end of that if its start was observed, and
	// listedCold the end by its latest entry.
	coldFor               time.Duration
	coldUntil, listedCold time.Time
}

// departed is a target that was usable until a time.
type departed struct {
	id      uint64
	version directory.Version
	until   time.Time
}

// Option configures a History.
type Option func(*History)

// FromStart is for a node with which the deployment starts, so that no stream began before.
func FromStart() Option { return func(h *History) { h.since = time.Time{} } }

// NewHistory returns the history of a node that starts at a time.
func NewHistory(now time.Time, opts ...Option) *History {
	h := &History{
		since: now, services: map[string]*targets{}, unknown: map[string]time.Time{}, changed: map[string]map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Observe records the change from one view to the next, and what the source reported of it.
func (h *History) Observe(now time.Time, old, next *view.View, ch view.Changes) {
	continues := next.Continues(old)
	if h.begun && !continues {
		h.since = now
	}
	h.begun = true
	h.observeRemovals(now, old, ch)
	if next.Catalog != old.Catalog {
		h.observeCatalog(now, old.Catalog, next.Catalog)
	}
	for name, s := range h.services {
		if service := next.Service(name); service != nil {
			s.warmUp = max(s.warmUp, service.WarmUp.Duration)
		}
		s.observe(now, continues, old.Directory.Service(name), next.Directory.Service(name))
	}
	h.observeEntries(now, next, ch)
	h.forget(now)
}

// observeEntries records what other nodes may have seen of the listed targets between two views of
// this one.
func (h *History) observeEntries(now time.Time, next *view.View, ch view.Changes) {
	// Only the source lists each change; a member passes on the last state.
	listsAll := len(ch.At) == len(ch.List)
	for _, c := range ch.List {
		switch c := c.(type) {
		case view.TargetChange:
			if l := h.listed(c.Target.Service, c.Target.ID); l != nil {
				h.services[c.Target.Service].observeEntry(now, l, c.Target, listsAll)
			}
		case view.TargetRemoval:
			if t, listed := next.Directory.Target(c.ID); listed {
				h.listed(t.Service, c.ID).interrupt(now)
			}
		case view.CatalogChange, view.EvacuationChange, view.RejectedEntry:
		}
	}
}

// observeEntry records one of the entries of a target between two views.
func (s *targets) observeEntry(now time.Time, l *listed, t directory.Target, listsAll bool) {
	if v := t.EntryVersion(); v != l.version {
		s.gone = append(s.gone, departed{id: l.id, version: v, until: now})
		l.interrupt(now)
	}
	if !listsAll || !t.EntryReady() {
		l.interrupt(now)
	}
}

// interrupt records that the target may not have been ready until now, nil for none.
func (l *listed) interrupt(now time.Time) {
	if l != nil && l.ready {
		l.readySince = now
	}
}

// observeRemovals records the targets that left without having been listed.
func (h *History) observeRemovals(now time.Time, old *view.View, ch view.Changes) {
	for _, c := range ch.List {
		removal, ok := c.(view.TargetRemoval)
		if !ok {
			continue
		}
		if _, known := old.Directory.Target(removal.ID); !known {
			h.unknown[removal.ID] = now
		}
	}
}

// observeCatalog records which routes a catalog changes, and starts to record the services of
// streams that may be resumed.
func (h *History) observeCatalog(now time.Time, old, next *catalog.Catalog) {
	if old != nil {
		for _, r := range next.ChangedRoutes(old) {
			if r.Kind == catalog.Stream && r.Resumable {
				h.recordRoute(r.Host, r.Prefix, now.Add(MaxAge(r, 0)))
			}
		}
	}
	for _, name := range next.ResumableServices() {
		if h.services[name] == nil {
			since := h.since
			if old != nil {
				since = now
			}
			h.services[name] = &targets{since: since, listed: map[string]*listed{}}
		}
	}
}

func (h *History) recordRoute(host, prefix string, until time.Time) {
	host = catalog.HostName(host)
	if h.changed[host] == nil {
		h.changed[host] = map[string]time.Time{}
	}
	if until.After(h.changed[host][prefix]) {
		h.changed[host][prefix] = until
	}
}

// observe records the change from one list of targets to the next. started is whether targets that
// are new have just been listed.
func (s *targets) observe(now time.Time, started bool, old, next []directory.Target) {
	if len(old) > 0 && len(old) == len(next) && &old[0] == &next[0] && len(s.listed) == len(next) {
		return
	}
	s.counted = nil
	present := make(map[string]bool, len(next))
	for _, t := range next {
		present[t.ID] = true
		s.put(now, started, t)
	}
	for id, l := range s.listed {
		if !present[id] {
			s.depart(now, l)
			delete(s.listed, id)
		}
	}
}

// put records a target as listed.
func (s *targets) put(now time.Time, started bool, t directory.Target) {
	l := s.listed[t.ID]
	if l != nil && l.version != t.EntryVersion() {
		s.depart(now, l)
		l = nil
	}
	if l == nil {
		// Before it was first seen the target may have been usable.
		l = &listed{version: t.EntryVersion(), id: xxhash.Sum64String(t.ID), usableUntil: now}
		s.listed[t.ID] = l
	}
	if !t.ColdUntil.IsZero() && !t.ColdUntil.Equal(l.listedCold) {
		// One that started again in place keeps the later time of both processes, which may have passed.
		l.coldFor, l.listedCold = max(t.ColdUntil.Sub(now), 0), t.ColdUntil
		if started {
			l.coldUntil = t.ColdUntil
		}
	}
	if ready := t.Assignable(); ready != l.ready {
		l.ready, l.readySince = ready, now
	}
	// Nodes that started since use a target that others keep draining.
	if usable := t.Usable(now) || t.Assignable(); usable != l.usable {
		l.usable, l.usableUntil = usable, now
	}
}

// depart records that a target is no longer listed with its version.
func (s *targets) depart(now time.Time, l *listed) {
	until := l.usableUntil
	if l.usable {
		until = now
	}
	s.gone = append(s.gone, departed{id: l.id, version: l.version, until: until})
}

// forget drops what has been gone for maxRemembered.
func (h *History) forget(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > maxRemembered }
	for _, s := range h.services {
		s.gone = slices.DeleteFunc(s.gone, func(d departed) bool { return old(d.until) })
	}
	for id, at := range h.unknown {
		if old(at) {
			delete(h.unknown, id)
		}
	}
	h.earlier = slices.DeleteFunc(h.earlier, func(c earlierChange) bool { return old(c.latest.Add(maxRemembered)) })
	for host, prefixes := range h.changed {
		for prefix, until := range prefixes {
			if old(until) {
				delete(prefixes, prefix)
			}
		}
		if len(prefixes) == 0 {
			delete(h.changed, host)
		}
	}
}
