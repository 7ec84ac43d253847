package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

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
