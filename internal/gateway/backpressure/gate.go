package backpressure

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// giver says how many requests a second this node gives out of a target's limit, and
// whether it does now. silent is how long ago the target last confirmed the limit.
type giver func(target directory.Incarnation, l Limit, silent time.Duration) (perSecond float64, gives bool)

// Gate says which targets one part of a node may send to. It is safe for concurrent use.
type Gate struct {
	keeper *Tracker
	giver  giver
}

// RequestGate returns the gate of the requests that this node relays. Those of a limited
// target are given out by the first of the members ranked for it. While nobody confirms the
// limit, one more member substitutes for them, another with each confirmFor.
func (k *Tracker) RequestGate() Gate {
	return Gate{keeper: k, giver: func(target directory.Incarnation, l Limit, silent time.Duration) (float64, bool) {
		before, members := k.cfg.Rank(limitRole + target.String())
		if members == 0 {
			return 0, false
		}
		givers := min(l.givers(), members)
		substitute := (givers - 1 + int(silent/confirmFor)) % members
		return l.given(givers), before < givers || before == substitute
	}}
}

// CallGate returns the gate of the calls that a coordinator makes, which gives out those of
// all targets of its service for as long as coordinates holds.
func (k *Tracker) CallGate(coordinates func() bool) Gate {
	return Gate{keeper: k, giver: func(_ directory.Incarnation, l Limit, _ time.Duration) (float64, bool) {
		return l.given(1), coordinates()
	}}
}

// Blocked lists the targets of a directory that may not get a request now.
func (g Gate) Blocked(d *directory.Directory) []string {
	if g.keeper.empty() {
		return nil
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	var list []string
	for _, target := range g.keeper.table.known() {
		if d.IsCurrent(target) && !g.allows(target) {
			list = append(list, target.ID)
		}
	}
	return list
}

// Allows says whether a target may get a request now.
func (g Gate) Allows(target directory.Incarnation) bool {
	if g.keeper.empty() {
		return true
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	return g.allows(target)
}

// Take says whether a target may get a request now, and counts that.
func (g Gate) Take(target directory.Incarnation) bool {
	if g.keeper.empty() {
		return true
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	if !g.allows(target) {
		return false
	}
	g.keeper.table.sent(g.keeper.cfg.Now(), target)
	return true
}

// HeldBack says whether a target may get nothing from this node, also not what has been
// counted for it.
func (g Gate) HeldBack(target directory.Incarnation) bool {
	if g.keeper.empty() {
		return false
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	return g.keeper.table.heldBack(g.keeper.cfg.Now(), target)
}

// PauseLeft is how much longer a target wants nothing from this node; 0 for one that leaves
// or wants no pause.
func (g Gate) PauseLeft(target directory.Incarnation) time.Duration {
	if g.keeper.empty() {
		return 0
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	return g.keeper.table.pauseLeft(g.keeper.cfg.Now(), target)
}

// Bound returns how many requests a second this node gives a target that is limited or held
// back; false for one that is neither.
func (g Gate) Bound(target directory.Incarnation) (perSecond float64, limited bool) {
	if g.keeper.empty() {
		return 0, false
	}
	g.keeper.mu.Lock()
	defer g.keeper.mu.Unlock()
	if g.keeper.table.heldBack(g.keeper.cfg.Now(), target) {
		return 0, true
	}
	l := g.keeper.table.limit(target)
	perSecond, _ = g.giver(target, l, 0)
	return perSecond, l.Set
}

// allows is Allows for a caller that holds the lock.
func (g Gate) allows(target directory.Incarnation) bool {
	return g.keeper.table.allows(g.keeper.cfg.Now(), target, g.giver)
}
