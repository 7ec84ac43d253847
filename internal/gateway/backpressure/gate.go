package backpressure

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// shareFunc returns the part of a target's limit that a sender may use, in requests a
// second, and reports whether this node is currently a sender. unconfirmedFor is the time
// since the target last confirmed the limit.
type shareFunc func(target directory.Incarnation, l Limit, unconfirmedFor time.Duration) (perSecond float64, sends bool)

// Gate determines which targets a component of a node may send to. It is safe for concurrent
// use.
type Gate struct {
	tracker *Tracker
	share   shareFunc
}

// RequestGate returns the gate for requests that this node relays. Only the members ranked
// first for a limited target may send to it. If the limit is not confirmed for confirmTimeout,
// one more member may send too, as a substitute; after each further confirmTimeout the next one
// takes its place.
func (t *Tracker) RequestGate() Gate {
	return Gate{tracker: t, share: func(target directory.Incarnation, l Limit, unconfirmedFor time.Duration) (float64, bool) {
		before, members := t.cfg.Rank(limitRolePrefix + target.String())
		if members == 0 {
			return 0, false
		}
		senders := min(l.senders(), members)
		substitute := (senders - 1 + int(unconfirmedFor/confirmTimeout)) % members
		return l.ratePerSender(senders), before < senders || before == substitute
	}}
}

// CallGate returns the gate for the calls that a coordinator makes. The coordinator is the only
// sender for all targets of its service, as long as coordinates returns true.
func (t *Tracker) CallGate(coordinates func() bool) Gate {
	return Gate{tracker: t, share: func(_ directory.Incarnation, l Limit, _ time.Duration) (float64, bool) {
		return l.ratePerSender(1), coordinates()
	}}
}

// Blocked returns the IDs of the targets in d that may not get a request now.
func (g Gate) Blocked(d *directory.Directory) []string {
	if g.tracker.empty() {
		return nil
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	var list []string
	for _, target := range g.tracker.table.all() {
		if d.IsCurrent(target) && !g.allows(target) {
			list = append(list, target.ID)
		}
	}
	return list
}

// Unconfirmed returns the IDs of the targets in d that this node may send to although they have
// a limit, and whose limit nobody has confirmed for probeInterval. A target tells the end of its
// limit only in a response, so that one of them should get the next request.
func (g Gate) Unconfirmed(d *directory.Directory) []string {
	if g.tracker.empty() {
		return nil
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	now := g.tracker.cfg.Now()
	var list []string
	for _, target := range g.tracker.table.limited() {
		if d.IsCurrent(target) && g.tracker.table.unconfirmed(now, target) && g.allows(target) {
			list = append(list, target.ID)
		}
	}
	return list
}

// Allows reports whether a target may get a request now.
func (g Gate) Allows(target directory.Incarnation) bool {
	if g.tracker.empty() {
		return true
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	return g.allows(target)
}

// Take reports whether a target may get a request now. If so, it counts the request.
func (g Gate) Take(target directory.Incarnation) bool {
	if g.tracker.empty() {
		return true
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	if !g.allows(target) {
		return false
	}
	g.tracker.table.takeToken(g.tracker.cfg.Now(), target)
	return true
}

// Limited returns the targets among some that have a limit and would accept a request but for it.
func (g Gate) Limited(targets []directory.Incarnation) []directory.Incarnation {
	if g.tracker.empty() {
		return nil
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	now := g.tracker.cfg.Now()
	return slices.DeleteFunc(slices.Clone(targets), func(target directory.Incarnation) bool {
		e := g.tracker.table.entries[target]
		return e == nil || !e.Set || e.heldBack(now) || e.brittle != nil
	})
}

// Lend takes a request that this node may send to one of some targets now, so that another member
// sends it instead. It is false if there is none, or if this node knows of no limit of the target:
// then it has no part of one to lend.
func (g Gate) Lend(targets []directory.Incarnation) (directory.Incarnation, bool) {
	for _, target := range g.Limited(targets) {
		if g.Take(target) {
			return target, true
		}
	}
	return directory.Incarnation{}, false
}

// Crowded reports whether a brittle target may get no request now, but may get one as soon as
// what is under way there is answered.
func (g Gate) Crowded(target directory.Incarnation) bool {
	if g.tracker.empty() {
		return false
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	now := g.tracker.cfg.Now()
	return g.tracker.table.isBrittle(target) && !g.tracker.table.heldBack(now, target) && !g.allows(target)
}

// HeldBack reports whether a target may get no requests from this node at all, including
// requests that Take has already counted.
func (g Gate) HeldBack(target directory.Incarnation) bool {
	if g.tracker.empty() {
		return false
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	return g.tracker.table.heldBack(g.tracker.cfg.Now(), target)
}

// PauseLeft returns the remaining pause that a target has asked this node for. It is 0 for a
// target that is leaving or has not asked for a pause.
func (g Gate) PauseLeft(target directory.Incarnation) time.Duration {
	if g.tracker.empty() {
		return 0
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	return g.tracker.table.pauseLeft(g.tracker.cfg.Now(), target)
}

// Bound returns the maximum number of requests a second that this node may send to a target
// that is limited or held back, and false for any other target. It is 0 for a target that is
// held back. For a limited target it is the rate of a sender, even if this node is not
// currently one.
func (g Gate) Bound(target directory.Incarnation) (perSecond float64, limited bool) {
	if g.tracker.empty() {
		return 0, false
	}
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	if g.tracker.table.heldBack(g.tracker.cfg.Now(), target) {
		return 0, true
	}
	l := g.tracker.table.limit(target)
	perSecond, _ = g.share(target, l, 0)
	return perSecond, l.Set
}

// allows is like Allows. The caller must hold the lock.
func (g Gate) allows(target directory.Incarnation) bool {
	return g.tracker.table.allows(g.tracker.cfg.Now(), target, g.share, g.tracker.nodes())
}
