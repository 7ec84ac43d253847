package streamorigin

import (
	"cmp"
	"encoding/binary"
	"maps"
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
	// source.
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

// counted holds the targets that streams are assigned to, until one of them is no longer cold.
type counted struct {
	until time.Time
	// only is the version of all of them, if they have one version; otherwise targets holds them.
	only    directory.Version
	targets []*listed
}

// listed is a target that the view lists.
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
	// takenBack is whether its entry says again that it is ready while this node keeps it draining.
	// Nodes that started since use it.
	takenBack bool
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
	if t.Version.Known() && t.Version != l.version {
		s.gone = append(s.gone, departed{id: l.id, version: t.Version, until: now})
		l.interrupt(now)
	}
	if !listsAll || t.State != directory.Ready {
		l.interrupt(now)
	}
	l.takenBack = !l.ready && t.State == directory.Ready
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
	if l != nil && l.version != t.Version {
		s.depart(now, l)
		l = nil
	}
	if l == nil {
		// Before it was first seen the target may have been usable.
		l = &listed{version: t.Version, id: xxhash.Sum64String(t.ID), usableUntil: now}
		s.listed[t.ID] = l
	}
	if !t.ColdUntil.IsZero() && !t.ColdUntil.Equal(l.listedCold) {
		// One that started again in place keeps the later time of both processes, which may have passed.
		l.coldFor, l.listedCold = max(t.ColdUntil.Sub(now), 0), t.ColdUntil
		if started {
			l.coldUntil = t.ColdUntil
		}
	}
	if ready := t.State == directory.Ready && t.Schedulable(); ready != l.ready {
		l.ready, l.readySince = ready, now
	}
	if usable := t.Usable(now); usable != l.usable {
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

// earlierChange is a change from before the first view, which happened at a time at the latest.
type earlierChange struct {
	view.Change
	revision view.Revision
	latest   time.Time
}

// Extend adds what the source still knows of the time before it was asked: all changes within
// reach before now, or all there were if complete. What was observed after it was asked stays.
func (h *History) Extend(now, asked time.Time, reach time.Duration, complete bool, ch view.Changes) {
	since := now.Add(-reach)
	if complete {
		since = time.Time{}
	}
	if !since.Before(h.since) || h.since.After(asked) || len(ch.At) != len(ch.List) {
		return
	}
	h.since, h.complete = since, complete
	for _, s := range h.services {
		s.since = since
		for _, l := range s.listed {
			if !l.readySince.After(asked) {
				// An evacuation that was lifted just before leaves no trace, and made its targets cold.
				l.readySince = since.Add(s.warmUp)
			}
		}
	}
	for i, c := range ch.List {
		h.earlier = append(h.earlier, earlierChange{Change: c, revision: ch.At[i], latest: now})
		switch c.(type) {
		case view.EvacuationChange, view.RejectedEntry:
			h.since = now
		case view.TargetChange, view.CatalogChange, view.TargetRemoval:
		}
	}
}

// listed returns the record of a target, nil if it is not listed.
func (h *History) listed(service, id string) *listed {
	if s := h.services[service]; s != nil {
		return s.listed[id]
	}
	return nil
}

// Narrow records that changes up to a revision happened before a time, since the source no longer
// knows them.
func (h *History) Narrow(forgotten view.Revision, before time.Time) {
	for i := range h.earlier {
		if c := &h.earlier[i]; c.revision <= forgotten && before.Before(c.latest) {
			c.latest = before
		}
	}
}

// Earlier returns the last revision of the changes from before the first view, and whether one of them
// may have happened since a time.
func (h *History) Earlier(since time.Time) (last view.Revision, some bool) {
	for _, c := range h.earlier {
		last = max(last, c.revision)
		some = some || !c.latest.Before(since)
	}
	return last, some
}

// Rule: at which version a new stream begins.
//
// A stream that may be resumed begins at the version of the ready target that ranks first for it
// by rendezvous hashing, among the versions that have minTargets ready targets. So any node can
// tell later which version began it, even if all nodes that knew have ended. Inputs: the stream's
// key and the ready targets; not their load, their health or this node. A target that was seen to
// start does not count while it is cold; a node that starts does not know how long ago those that it
// lists did. If the rule were left, streams would go on at a version that does not understand them.

// Assign returns the version at which a new stream of a service has to begin; unknown if it may
// begin at any.
func (h *History) Assign(now time.Time, service string, k Key) directory.Version {
	s := h.services[service]
	if s == nil {
		return 0
	}
	if s.counted == nil || !now.Before(s.counted.until) {
		s.counted = s.countTargets(now)
	}
	first := s.counted.only
	highest := uint64(0)
	for _, l := range s.counted.targets {
		if r := rank(k, l.id); !first.Known() || r > highest {
			first, highest = l.version, r
		}
	}
	return first
}

// countTargets determines what streams are assigned to.
func (s *targets) countTargets(now time.Time) *counted {
	counts := s.count(func(l *listed) bool { return l.counts(now) })
	unversioned := counts[0] > 0
	maps.DeleteFunc(counts, func(_ directory.Version, n int) bool { return n < minTargets })
	c := &counted{until: now.Add(maxRemembered)}
	for _, l := range s.listed {
		switch {
		case l.coldUntil.After(now) && l.coldUntil.Before(c.until):
			c.until = l.coldUntil
		case unversioned || !l.counts(now) || counts[l.version] == 0:
		case len(counts) == 1:
			c.only = l.version
		default:
			c.targets = append(c.targets, l)
		}
	}
	return c
}

// counts reports whether streams are assigned to the target.
func (l *listed) counts(now time.Time) bool { return l.ready && !now.Before(l.coldUntil) }

// count returns how many targets of each version a condition holds for.
func (s *targets) count(holds func(*listed) bool) map[directory.Version]int {
	counts := map[directory.Version]int{}
	for _, l := range s.listed {
		if holds(l) {
			counts[l.version]++
		}
	}
	return counts
}

// rank returns the weight of a target for a stream. Nodes of different builds must agree on it.
func rank(k Key, id uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(k))
	binary.BigEndian.PutUint64(b[8:], id)
	return xxhash.Sum64(b[:])
}

// Lost is a stream of which no node knows where it began.
type Lost struct {
	Key Key
	// Service is the only one that the route leads to; Host and Path are those of the request.
	Service, Host, Path string
	// Age is the longest time for which the stream can have lasted.
	Age time.Duration
	// Named is whether the client named the request that began it, so that Key is that request's, and
	// Assigned whether all nodes assign new streams to versions.
	Named, Assigned bool
}

// From returns from when on the node that began the stream can have looked at the targets.
func (l Lost) From(now time.Time) time.Time { return now.Add(-l.Age - viewLag) }

// Rule: which version a lost stream began at.
//
// It is known if all targets at which the stream can have begun are of one version: those that
// were usable at any time since it can have begun, in the order of their rank for the stream, up
// to the first one that was ready throughout. Whatever the node that began it knew of the others,
// it saw that one. A wrong answer makes a client read events of two versions; a missing one makes it
// begin anew.

// Infer returns the version at which a lost stream must have begun, or why it is not known.
func (h *History) Infer(now time.Time, l Lost) (v directory.Version, unknown string) {
	s := h.services[l.Service]
	from := l.From(now)
	switch {
	case s == nil || s.since.After(from) || h.since.After(from):
		return 0, "the targets at its beginning are not known"
	case h.routeChanged(l.Host, l.Path, from):
		return 0, "the route may have led elsewhere at its beginning"
	}
	candidates := h.candidates(s, l, from)
	if slices.ContainsFunc(candidates, func(c candidate) bool { return c.unversioned }) {
		return 0, "a target without a version was there, so that it was not assigned"
	}
	for _, c := range candidates {
		switch {
		case !c.version.Known() || v.Known() && c.version != v:
			return 0, "targets of several versions can have begun it"
		case c.always:
			return c.version, ""
		}
		v = c.version
	}
	if !v.Known() {
		return 0, "no target can have begun it"
	}
	return v, ""
}

// candidate is a target at which a stream can have begun.
type candidate struct {
	version directory.Version
	rank    uint64
	// always is whether the node that began the stream must have counted it.
	always bool
	// unversioned is whether its entry has no version. While one is ready, streams are not assigned.
	unversioned bool
}

// candidates returns the targets at which a stream can have begun, by descending rank.
func (h *History) candidates(s *targets, l Lost, from time.Time) []candidate {
	changed := h.changedEarlier(l.Service, from)
	var list []candidate
	always := func(t *listed) bool {
		return l.Named && l.Assigned && !changed[t.id] && t.readyThroughout(from)
	}
	counts := s.count(always)
	for _, t := range s.listed {
		if t.usable || t.takenBack || !t.usableUntil.Before(from) {
			list = append(list, candidate{
				version: t.version, rank: rank(l.Key, t.id), unversioned: !t.version.Known(),
				always: always(t) && counts[t.version] >= minTargets,
			})
		}
	}
	for _, d := range s.gone {
		if !d.until.Before(from) {
			list = append(list, candidate{version: d.version, rank: rank(l.Key, d.id), unversioned: !d.version.Known()})
		}
	}
	for id, at := range h.unknown {
		if !at.Before(from) {
			list = append(list, candidate{rank: rank(l.Key, xxhash.Sum64String(id))})
		}
	}
	list = append(list, h.earlierCandidates(s, l, from)...)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	return list
}

// changedEarlier returns the targets of a service of which an entry may have changed between a time
// and the first view.
func (h *History) changedEarlier(service string, from time.Time) map[uint64]bool {
	changed := map[uint64]bool{}
	for _, c := range h.earlier {
		if t, ok := c.Change.(view.TargetChange); ok && t.Target.Service == service && !c.latest.Before(from) {
			changed[xxhash.Sum64String(t.Target.ID)] = true
		}
	}
	return changed
}

// earlierCandidates returns the targets that left between a time and the first view, or changed their
// version. What was before the first entry that the source remembers is not known: neither service nor
// version of a target that left, and not the version of one that is ready again, as after a restart in
// place. A target that drains is the one that was ready before.
func (h *History) earlierCandidates(s *targets, l Lost, from time.Time) []candidate {
	var list []candidate
	known := map[string]bool{}
	for _, c := range h.earlier {
		recent := !c.latest.Before(from)
		switch e := c.Change.(type) {
		case view.TargetChange:
			began := known[e.Target.ID] || h.complete || e.First || e.Target.State != directory.Ready
			known[e.Target.ID] = true
			if !recent || e.Target.Service != l.Service {
				continue
			}
			if r := rank(l.Key, xxhash.Sum64String(e.Target.ID)); !began {
				list = append(list, candidate{rank: r})
			} else if now := s.listed[e.Target.ID]; now == nil || now.version != e.Target.Version {
				list = append(list, candidate{version: e.Target.Version, rank: r, unversioned: !e.Target.Version.Known()})
			}
		case view.TargetRemoval:
			if recent && !known[e.ID] {
				list = append(list, candidate{rank: rank(l.Key, xxhash.Sum64String(e.ID))})
			}
			known[e.ID] = true
		case view.CatalogChange, view.EvacuationChange, view.RejectedEntry:
		}
	}
	return list
}

// readyThroughout reports whether each node must have counted the target since a time.
func (l *listed) readyThroughout(from time.Time) bool {
	return l.ready && !l.readySince.Add(l.coldFor).After(from)
}

// routeChanged reports whether a stream of a path can have begun under another route.
func (h *History) routeChanged(host, path string, from time.Time) bool {
	for _, c := range h.earlier {
		if change, ok := c.Change.(view.CatalogChange); ok && !change.First && !c.latest.Add(maxRemembered).Before(from) {
			return true
		}
	}
	for prefix, until := range h.changed[catalog.HostName(host)] {
		if !until.Before(from) && len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

const (
	// minGap, gapObjectives and gapPauses say when a client gives up a stream that has fallen
	// silent: after the longest of minGap and these multiples of the route's objective and pause
	// limit.
	minGap        = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
)

// MaxAge returns the longest time for which a stream of a route can have lasted when its client
// takes it up: as long as any client waits, and until it noticed the silence. longest is the longest
// time that a client of the route has said to wait.
func MaxAge(r *catalog.Route, longest time.Duration) time.Duration {
	if r.Timeout == 0 {
		return maxRemembered
	}
	return max(r.Timeout, longest) + max(minGap, gapObjectives*r.Objective, gapPauses*r.PauseLimit)
}
