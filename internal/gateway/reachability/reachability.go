// Package reachability decides by which path a node connects to a target: directly, or
// through another member. It performs no I/O and reads no clock.
//
// A failure to connect concerns the path between this node and the target. Whether the target
// itself has failed only another member can tell:
//
//   - The path is broken if a member connects to a target to which this node cannot. Calls go
//     through members until this node connects again.
//   - The target is down if a member cannot connect either.
//   - The node is isolated if several targets are down, nothing has come from any target since,
//     neither directly nor through a member, and a sample of the others cannot be reached either.
//     It can serve nothing until it reaches one.
//   - The node is cut off if several paths broke and nothing has come from any target since.
//     Then the paths that were not tried count as broken too, so that no call has to find out
//     by waiting.
//
// Bytes from a target show that its open connections work. They do not end a broken path:
// open connections may live on while new ones fail.
package reachability

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// cutOffPaths is how many paths must break, with nothing heard from any target since,
	// for the node to count as cut off. One may be an exception at its target.
	cutOffPaths = 2
	// minDownTime is how long members are not asked again for a target that they did not reach.
	// It doubles with each failure that follows, up to maxDownTime, which bounds what calls to a
	// failed target cost the members: a single failure may be a delay of the member.
	minDownTime = 50 * time.Millisecond
	maxDownTime = time.Second
	// silentAlone is how long a target may leave a call without a byte, while others are
	// heard, until its path is checked. It exceeds the second for which a sound target may
	// fall silent.
	silentAlone = 1200 * time.Millisecond
	// silentAll replaces silentAlone while nothing is heard from any target.
	silentAll = 500 * time.Millisecond
)

// Table holds what a node knows of the paths to its targets. It is not safe for concurrent
// use.
type Table struct {
	paths map[string]path
	// broken holds since when the paths are broken that are.
	broken map[string]time.Time
	// heardAt is when something last came from any target directly, and detouredAt when a
	// member last connected to one.
	heardAt, detouredAt time.Time
	// isolatedAt is when the node was last found to be isolated.
	isolatedAt time.Time
}

// path is what is known of the path to one target.
type path struct {
	// failedSince is the first failure to connect after the last success; zero for none. err
	// is the last one.
	failedSince time.Time
	err         string
	// downAt is when no member connected, and downUntil until when none is asked to. downTime is
	// the time between the two; zero if a member connected since.
	downAt, downUntil time.Time
	downTime          time.Duration
	// triedAt is when this node last tried to connect.
	triedAt time.Time
	// waitingSince is when the first byte was sent that nothing was heard after; zero if
	// something was heard since the last one.
	waitingSince time.Time
}

// Failure describes a target that the last connection attempt did not reach.
type Failure struct {
	Target string
	Since  time.Time
	Err    string
	// Broken is set if a member reached the target.
	Broken bool
}

// NewTable returns a table that knows of no failures.
func NewTable() *Table { return &Table{paths: map[string]path{}, broken: map[string]time.Time{}} }

// Connected records a connection to a target and returns the failure that it ended, if any.
func (t *Table) Connected(now time.Time, target string) (ended Failure, failed bool) {
	ended, failed = t.failure(target)
	t.heardAt = now
	delete(t.paths, target)
	delete(t.broken, target)
	return ended, failed
}

// Failed records a failure to connect to a target and reports whether it is the first one
// since the last success.
func (t *Table) Failed(now time.Time, target string, err error) (first bool) {
	p := t.paths[target]
	first = p.failedSince.IsZero()
	if first {
		p.failedSince = now
	}
	p.err, p.triedAt = err.Error(), now
	t.paths[target] = p
	return first
}

// Detoured records that a member connected to a target, and reports whether that shows that
// the path of this node is broken and was not known to be.
func (t *Table) Detoured(now time.Time, target string) (newlyBroken bool) {
	t.detouredAt = now
	p := t.paths[target]
	p.downAt, p.downUntil, p.downTime = time.Time{}, time.Time{}, 0
	t.paths[target] = p
	if _, broken := t.broken[target]; broken || p.failedSince.IsZero() {
		return false
	}
	t.broken[target] = now
	return true
}

// Down records that no member connected to a target, when they were asked at a time. Attempts
// that ran at the same time count as one failure.
func (t *Table) Down(now, askedAt time.Time, target string) {
	p := t.paths[target]
	if askedAt.Before(p.downUntil) {
		return
	}
	p.downTime = min(max(minDownTime, 2*p.downTime), maxDownTime)
	p.downAt, p.downUntil = now, now.Add(p.downTime)
	t.paths[target] = p
}

// MayBeIsolated reports whether the node may reach no target at all, so that a sample of them
// should be tried.
func (t *Table) MayBeIsolated() bool {
	n := 0
	for _, p := range t.paths {
		if t.nothingSince(p.downAt) {
			n++
		}
	}
	return n >= cutOffPaths
}

// SetIsolated records that a sample of targets could not be reached either, when that was
// tried from a time on.
func (t *Table) SetIsolated(triedAt time.Time) {
	if t.MayBeIsolated() && t.nothingSince(triedAt) {
		t.isolatedAt = triedAt
	}
}

// Isolated reports whether this node reaches no target in any way.
func (t *Table) Isolated() bool { return t.nothingSince(t.isolatedAt) }

// nothingSince reports whether no target was reached, in any way, after a time that is set.
func (t *Table) nothingSince(at time.Time) bool {
	return at.After(t.heardAt) && at.After(t.detouredAt)
}

// Sent records that bytes were sent to a target.
func (t *Table) Sent(now time.Time, target string) {
	p := t.paths[target]
	if p.waitingSince.IsZero() {
		p.waitingSince = now
		t.paths[target] = p
	}
}

// Heard records that bytes came from a target directly.
func (t *Table) Heard(now time.Time, target string) {
	t.heardAt = now
	if p := t.paths[target]; !p.waitingSince.IsZero() {
		p.waitingSince = time.Time{}
		t.paths[target] = p
	}
}

// Broken reports whether calls to a target go through members: its path is broken, or the
// node is cut off.
func (t *Table) Broken(target string) bool {
	_, broken := t.broken[target]
	return broken || t.CutOff()
}

// CutOff reports whether this node reaches no target directly: paths broke, and nothing was
// heard since.
func (t *Table) CutOff() bool {
	n := 0
	for _, since := range t.broken {
		if since.After(t.heardAt) {
			n++
		}
	}
	return n >= cutOffPaths
}

// MayDetour reports whether members may be asked to connect to a target.
func (t *Table) MayDetour(now time.Time, target string) bool {
	return !now.Before(t.paths[target].downUntil)
}

// CheckIn returns after how long the path to a target is to be checked because the target
// has left what was sent without a byte; 0 for now, and false if it has not.
func (t *Table) CheckIn(now time.Time, target string) (time.Duration, bool) {
	since := t.paths[target].waitingSince
	if since.IsZero() {
		return 0, false
	}
	limit := silentAlone
	if !t.heardAt.After(since) {
		limit = silentAll
	}
	return max(0, limit-now.Sub(since)), true
}

// Probes returns up to n targets with broken paths that this node should try to connect to,
// those that were tried the longest ago first.
func (t *Table) Probes(n int) []string {
	list := slices.Collect(maps.Keys(t.broken))
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(t.paths[a].triedAt.Compare(t.paths[b].triedAt), cmp.Compare(a, b))
	})
	return list[:min(n, len(list))]
}

// Failures returns the targets that the last attempt did not reach, in the order of their
// identities.
func (t *Table) Failures() []Failure {
	list := []Failure{}
	for _, id := range slices.Sorted(maps.Keys(t.paths)) {
		if f, failed := t.failure(id); failed {
			list = append(list, f)
		}
	}
	return list
}

// failure returns what is known of a failure to connect to a target, if there is one.
func (t *Table) failure(target string) (f Failure, failed bool) {
	p := t.paths[target]
	_, broken := t.broken[target]
	return Failure{Target: target, Since: p.failedSince, Err: p.err, Broken: broken}, !p.failedSince.IsZero()
}

// Prune drops the targets that are not known any more.
func (t *Table) Prune(known func(target string) bool) {
	maps.DeleteFunc(t.paths, func(id string, _ path) bool { return !known(id) })
	maps.DeleteFunc(t.broken, func(id string, _ time.Time) bool { return !known(id) })
}
