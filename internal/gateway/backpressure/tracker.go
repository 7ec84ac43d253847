package backpressure

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// confirmTimeout is the time without a confirmation of a limit after which a further member
	// substitutes for the senders (RequestGate), and the time for which it does so.
	confirmTimeout = 5 * time.Second
	// maxReportsPerExchange is the maximum number of targets in one exchange with a member.
	maxReportsPerExchange = 64
	// limitRolePrefix is the prefix of the name by which members are ranked as senders for a
	// limited target.
	limitRolePrefix = "limit/"
)

// Config configures a Tracker.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// Changed is called with the number of limited targets if other members should learn of
	// a change at once. It must not call the Tracker.
	Changed func(limited int)
	// Nodes returns the number of live nodes; nil for one.
	Nodes func() int
	// Rank returns the number of eligible members that rank before this node for a role, and
	// the number of eligible members. The latter is 0 if this node is not eligible.
	Rank func(role string) (before, members int)
}

// Tracker tracks the reports of targets, exchanges them with other members as messages, and
// logs changes. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu    sync.Mutex
	table *table
	// entryCount is the number of table entries. It can be read without the lock, which skips
	// the lock in the usual case of an empty table.
	entryCount atomic.Int64
}

// NewTracker returns a Tracker without any reports.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg, table: newTable()} }

// updateAndUnlock updates entryCount and releases the lock. It must be used instead of
// mu.Unlock after entries are added or removed.
func (t *Tracker) updateAndUnlock() {
	t.entryCount.Store(int64(len(t.table.entries)))
	t.mu.Unlock()
}

// empty reports whether the table has no entries.
func (t *Tracker) empty() bool { return t.entryCount.Load() == 0 }

// Observe records the signal in a target's response to this node.
func (t *Tracker) Observe(target directory.Incarnation, s Signal) {
	if t.empty() && s.isEmpty() {
		return
	}
	t.mu.Lock()
	defer t.updateAndUnlock()
	now := t.cfg.Now()
	if s.Leaving && t.table.markLeaving(now, target) {
		t.cfg.Log.Info().Str("target", target.String()).Msg("backpressure: target is leaving")
	}
	if s.Pause > 0 && t.table.pause(now, target, s.Pause) {
		t.cfg.Log.Info().Str("target", target.String()).Dur("pause", s.Pause).Msg("backpressure: target requested a pause")
	}
	if s.Brittle.Set || t.table.isBrittle(target) {
		t.observeBrittle(now, target, s)
	}
	if !s.Limit.Set && !t.table.endsLimit(target, s.Sent) {
		return
	}
	if t.table.merge(target, report{Limit: s.Limit, at: now}) {
		t.limitChanged(target, "")
	}
}

// observeBrittle records an answer of a target that is or was brittle. The caller must hold the
// lock.
func (t *Tracker) observeBrittle(now time.Time, target directory.Incarnation, s Signal) {
	if !t.table.observeBrittle(now, target, s) {
		return
	}
	event := t.cfg.Log.Info().Str("target", target.String())
	if s.Brittle.Set {
		event.Float64("refusalsPerSecond", s.Brittle.RefusalsPerSecond).Msg("backpressure: target is brittle")
	} else {
		event.Msg("backpressure: target is no longer brittle")
	}
}

// nodes returns how many nodes share what a brittle target can refuse.
func (t *Tracker) nodes() int {
	if t.cfg.Nodes == nil {
		return 1
	}
	return t.cfg.Nodes()
}

// Holds returns the targets that told this node that they are leaving or want a pause,
// sorted by name.
func (t *Tracker) Holds() []message.TargetHold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	list := []message.TargetHold{}
	for _, target := range t.table.held(now) {
		e := t.table.entries[target]
		list = append(list, message.TargetHold{
			Target: target.String(), Leaving: e.leaving, PauseMs: max(int(e.pausedUntil.Sub(now).Milliseconds()), 0),
		})
	}
	slices.SortFunc(list, func(a, b message.TargetHold) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// limitChanged logs the changed limit of a target and notifies Config.Changed. from is
// the member that reported the change, or empty if the target did. The caller must hold the
// lock.
func (t *Tracker) limitChanged(target directory.Incarnation, from string) {
	event := t.cfg.Log.Info().Str("target", target.String()).Str("from", from)
	if l := t.table.limit(target); l.Set {
		event.Float64("perSecond", l.PerSecond).Msg("backpressure: target set a request limit")
	} else {
		event.Msg("backpressure: target removed its request limit")
	}
	t.cfg.Changed(len(t.table.limited()))
}

// Limits returns the targets with a limit, sorted by name.
func (t *Tracker) Limits() []message.TargetLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.limitMessages(t.table.limited())
	slices.SortFunc(list, func(a, b message.TargetLimit) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// RecentLimits returns the newest limits and ends of limits for gossip with other members.
func (t *Tracker) RecentLimits() []message.TargetLimit {
	t.mu.Lock()
	defer t.updateAndUnlock()
	t.table.pruneEnded(t.cfg.Now())
	return t.limitMessages(t.table.newest(maxReportsPerExchange))
}

// limitMessages returns the limits of targets as messages. Times are sent as ages,
// because the clocks of members may differ. The caller must hold the lock.
func (t *Tracker) limitMessages(targets []directory.Incarnation) []message.TargetLimit {
	now := t.cfg.Now()
	list := make([]message.TargetLimit, len(targets))
	for i, target := range targets {
		e := t.table.entries[target]
		list[i] = message.TargetLimit{
			Target: target.String(), PerSecond: e.PerSecond, Ended: !e.Set, AgoMs: int(now.Sub(e.at).Milliseconds()),
		}
	}
	return list
}

// Merge merges limits that another member reported.
func (t *Tracker) Merge(member string, list []message.TargetLimit) {
	t.mu.Lock()
	defer t.updateAndUnlock()
	now := t.cfg.Now()
	for _, m := range list {
		r := report{at: now.Add(-time.Duration(max(m.AgoMs, 0)) * time.Millisecond)}
		if !m.Ended {
			r.Limit = Limit{Set: true, PerSecond: m.PerSecond}
		}
		if m.Target == "" || !r.Limit.valid() {
			continue
		}
		target := directory.ParseIncarnation(m.Target)
		if !t.table.isDuplicate(target, r) && t.table.merge(target, r) {
			t.limitChanged(target, member)
		}
	}
}

// Prune removes target incarnations that have not been in the directory for
// unlistedRetention.
func (t *Tracker) Prune(d *directory.Directory) {
	t.mu.Lock()
	defer t.updateAndUnlock()
	before := len(t.table.limited())
	t.table.pruneUnlisted(t.cfg.Now(), d)
	if after := len(t.table.limited()); after != before {
		t.cfg.Changed(after)
	}
}
