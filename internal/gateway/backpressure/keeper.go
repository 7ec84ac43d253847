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
	// confirmFor is how long a limit may go unconfirmed before a member substitutes for
	// those that give out the target's requests, and how long it does.
	confirmFor = 5 * time.Second
	// maxReported bounds the targets of one exchange with a member.
	maxReported = 64
	// limitRole begins the name under which the members are ranked that give out a limited
	// target's requests.
	limitRole = "limit/"
)

// Config is what a Keeper is made of.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// Changed is called when members should hear of a limit at once, and gets the number of
	// targets with one. It must not call the keeper.
	Changed func(limited int)
	// Rank returns how many of the members that may do something for all come before this
	// node, by the name of it, and how many there are; 0 members when this node may not.
	Rank func(role string) (before, members int)
}

// Tracker is a table of targets that is safe for concurrent use, speaks to members in
// messages, and logs what changes.
type Tracker struct {
	cfg Config

	mu    sync.Mutex
	table *table
	// entries is how many the table has, to be read without the lock: nearly always none.
	entries atomic.Int64
}

// NewTracker returns a keeper that knows nothing.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg, table: newTable()} }

// unlock ends what may have changed the table.
func (k *Tracker) unlock() {
	k.entries.Store(int64(len(k.table.entries)))
	k.mu.Unlock()
}

// empty says that no target asks for anything.
func (k *Tracker) empty() bool { return k.entries.Load() == 0 }

// Observe takes in what a target said in an answer to this node.
func (k *Tracker) Observe(target directory.Incarnation, s Signal) {
	if k.empty() && s.asksNothing() {
		return
	}
	k.mu.Lock()
	defer k.unlock()
	now := k.cfg.Now()
	if s.Leaving && k.table.leave(now, target) {
		k.cfg.Log.Info().Str("target", target.String()).Msg("backpressure: target says that it leaves")
	}
	if s.Pause > 0 && k.table.pause(now, target, s.Pause) {
		k.cfg.Log.Info().Str("target", target.String()).Dur("pause", s.Pause).Msg("backpressure: target wants a pause")
	}
	if !s.Limit.Set && !k.table.ends(target, s.Sent) {
		return
	}
	if k.table.merge(target, report{Limit: s.Limit, at: now}) {
		k.changed(target, "")
	}
}

// Holds lists the targets that told this node that they leave or want a pause, by their
// names.
func (k *Tracker) Holds() []message.TargetHold {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	list := []message.TargetHold{}
	for _, target := range k.table.told(now) {
		e := k.table.entries[target]
		list = append(list, message.TargetHold{
			Target: target.String(), Leaving: e.leaving, PauseMs: max(int(e.pausedUntil.Sub(now).Milliseconds()), 0),
		})
	}
	slices.SortFunc(list, func(a, b message.TargetHold) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// changed logs the limit of a target and has members hear of it; the caller holds the lock.
func (k *Tracker) changed(target directory.Incarnation, from string) {
	line := k.cfg.Log.Info().Str("target", target.String()).Str("from", from)
	if l := k.table.limit(target); l.Set {
		line.Float64("perSecond", l.PerSecond).Msg("backpressure: target names a limit")
	} else {
		line.Msg("backpressure: target names no limit any more")
	}
	k.cfg.Changed(len(k.table.limited()))
}

// Limits lists the targets with a limit, by their names.
func (k *Tracker) Limits() []message.TargetLimit {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.messages(k.table.limited())
	slices.SortFunc(list, func(a, b message.TargetLimit) int { return strings.Compare(a.Target, b.Target) })
	return list
}

// RecentLimits returns what members should hear of limits and their ends.
func (k *Tracker) RecentLimits() []message.TargetLimit {
	k.mu.Lock()
	defer k.unlock()
	k.table.prune(k.cfg.Now())
	return k.messages(k.table.newest(maxReported))
}

// messages describes targets; the caller holds the lock. Times are given as how long ago
// they were, since members' clocks may differ.
func (k *Tracker) messages(targets []directory.Incarnation) []message.TargetLimit {
	now := k.cfg.Now()
	list := make([]message.TargetLimit, len(targets))
	for i, target := range targets {
		e := k.table.entries[target]
		list[i] = message.TargetLimit{
			Target: target.String(), PerSecond: e.PerSecond, Ended: !e.Set, AgoMs: int(now.Sub(e.at).Milliseconds()),
		}
	}
	return list
}

// Merge takes in what a member reported.
func (k *Tracker) Merge(member string, list []message.TargetLimit) {
	k.mu.Lock()
	defer k.unlock()
	now := k.cfg.Now()
	for _, m := range list {
		r := report{at: now.Add(-time.Duration(max(m.AgoMs, 0)) * time.Millisecond)}
		if !m.Ended {
			r.Limit = Limit{Set: true, PerSecond: m.PerSecond}
		}
		if m.Target == "" || !r.Limit.valid() {
			continue
		}
		target := directory.ParseIncarnation(m.Target)
		if !k.table.passedOn(target, r) && k.table.merge(target, r) {
			k.changed(target, member)
		}
	}
}

// Prune forgets lives of targets that have ended.
func (k *Tracker) Prune(d *directory.Directory) {
	k.mu.Lock()
	defer k.unlock()
	before := len(k.table.limited())
	k.table.pruneLives(k.cfg.Now(), d)
	if after := len(k.table.limited()); after != before {
		k.cfg.Changed(after)
	}
}
