package streamorigin

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Rule: at which version a new stream begins.
//
// A stream that may be resumed begins at the version of the ready target that ranks first for it
// by rendezvous hashing, among the versions that have minTargets ready targets. So any node can
// tell later which version began it, even if all nodes that knew have ended. Inputs: the stream's
// key and the ready targets; not their load, their health or this node. A target that was seen to
// start does not count while it is cold; a node that starts does not know how long ago those that it
// lists did. If the rule were left, streams would go on at a version that does not understand them.

// counted holds the targets that streams are assigned to, until one of them is no longer cold.
type counted struct {
	until time.Time
	// only is the version of all of them, if they have one version; otherwise targets holds them.
	only    directory.Version
	targets []*listed
}

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
