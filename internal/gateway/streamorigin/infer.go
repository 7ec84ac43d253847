package streamorigin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

// Lost is a stream of which no node knows where it began.
type Lost struct {
	Key Key
	// Service is the only one that the route leads to; Host and Path are those of the request.
	Service, Host, Path string
	// Age is the longest time for which the stream can have lasted.
	Age time.Duration
	// Behind is how far the view of the node that began it may have been behind the source; viewLag is
	// allowed for in any case.
	Behind time.Duration
	// Named is whether the client named the request that began it, so that Key is that request's, and
	// Assigned whether all nodes assign new streams to versions.
	Named, Assigned bool
}

// From returns from when on the node that began the stream can have looked at the targets.
func (l Lost) From(now time.Time) time.Time { return now.Add(-l.Age - max(viewLag, l.Behind)) }

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
		if t.usable || !t.usableUntil.Before(from) {
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
