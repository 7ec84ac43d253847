package membership

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/message"
)

// A process that starts does not know what earlier ones of its node spent of a budget that all
// members share. The others do: each member reports its retries, and a member that has run for as long as the budget counts
// tells a newcomer what it knows.

// lives holds when processes at an address started, and what earlier ones spent.
type lives struct {
	// firstSeen is when the current process was first heard of.
	firstSeen time.Time
	// spent is what earlier processes may have spent within the window before firstSeen.
	spent retrybudget.Spent
	// known is whether that is known.
	known bool
}

// livesAfter returns the lives at an address after a report of another process than the one of
// entry e. The last report of the earlier one counts only if that one was live until then: one that was silent
// for long may have spent retries that nobody heard of.
func livesAfter(now time.Time, e rosterEntry, window time.Duration) lives {
	last := retrybudget.Spent{Service: e.Service, Retries: e.Retries, FirstAttempts: e.Firsts}
	l := lives{firstSeen: now, spent: last, known: e.Counts && isLive(now, e)}
	if now.Sub(e.lives.firstSeen) < window {
		l.spent.Retries = max(l.spent.Retries, e.lives.spent.Retries)
		l.known = l.known && e.lives.known
	}
	return l
}

// Earlier returns what this member can tell a member that started lately of the processes before
// it; nil if that member has run for the budget's window, or if this one cannot tell.
func (r *Roster) Earlier(now time.Time, address string) *message.EarlierProcess {
	e, known := r.others[address]
	if !known || !e.lives.known || !r.remembers(now) || r.memory.window > dropTimeout || now.Sub(e.lives.firstSeen) >= r.memory.window {
		return nil
	}
	spent := e.lives.spent
	return &message.EarlierProcess{Retries: spent.Retries, Firsts: spent.FirstAttempts, Service: spent.Service, Members: r.PeakSize()}
}

// memory is what a member knows of the time before its own start.
type memory struct {
	// window is how long retries count.
	window time.Duration
	// first is whether no process of this node ran before.
	first bool
	// spent is what earlier processes may have spent, if told is set.
	spent retrybudget.Spent
	told  bool
}

// SetMemory sets for how long retries count, and whether no process of this node ran before. It is
// called once, before all other methods.
func (r *Roster) SetMemory(window time.Duration, first bool) {
	r.memory = memory{window: window, first: first}
}

// remembers reports whether this member has known the others for as long as retries count, or
// since all of them started.
func (r *Roster) remembers(now time.Time) bool {
	if r.firstContact.IsZero() {
		return false
	}
	return now.Sub(r.firstContact) >= r.memory.window || r.memory.first && r.Settled(now)
}

// LearnEarlier records what another member told of this node's earlier processes.
func (r *Roster) LearnEarlier(e message.EarlierProcess) {
	if !r.memory.told || e.Retries > r.memory.spent.Retries {
		r.memory.spent = retrybudget.Spent{Service: e.Service, Retries: e.Retries, FirstAttempts: e.Firsts}
	}
	r.memory.told = true
	r.peak = max(r.peak, e.Members)
}

// EarlierSpent returns what earlier processes of this node may have spent within the window
// before it started, and whether that is known.
func (r *Roster) EarlierSpent() (spent retrybudget.Spent, known bool) {
	return r.memory.spent, r.memory.first || r.memory.told
}
