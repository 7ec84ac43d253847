package membership

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/message"
)

// Members report the retries that they spent of the budget that all of them share. A process that
// starts learns from the others what the one before it at its address spent, so that a restart
// does not renew the budget.

// history is what a member knows of the processes at another member's address.
type history struct {
	// firstSeen is when the current process was first heard of.
	firstSeen time.Time
	// spent is what earlier processes may have spent within the window before firstSeen.
	spent retrybudget.Spent
	// known is whether spent is known.
	known bool
}

// historyAfter returns the history of an address when a new process replaces that of entry e. The
// last report of the old process counts only if that was live until now: retries after a long
// silence may not have been reported.
func historyAfter(now time.Time, e rosterEntry, window time.Duration) history {
	last := retrybudget.Spent{Service: e.Service, Retries: e.Retries, FirstAttempts: e.Firsts}
	h := history{firstSeen: now, spent: last, known: e.Counts && isLive(now, e)}
	if now.Sub(e.history.firstSeen) < window {
		h.spent.Retries = max(h.spent.Retries, e.history.spent.Retries)
		h.known = h.known && e.history.known
	}
	return h
}

// Earlier returns what this member knows of the processes before the current one of another member;
// nil if that one started longer than a window ago, or if this member does not know.
func (r *Roster) Earlier(now time.Time, address string) *message.EarlierProcess {
	h := r.others[address].history
	if !h.known || now.Sub(h.firstSeen) >= r.retryWindow || !r.coversRetryWindow(now) {
		return nil
	}
	return &message.EarlierProcess{
		Retries: h.spent.Retries, Firsts: h.spent.FirstAttempts, Service: h.spent.Service, Members: r.PeakSize(),
	}
}

// SetRetryWindow sets for how long a retry counts, and whether no process ran at this member's
// address before this one. It must be called before the first Merge.
func (r *Roster) SetRetryWindow(window time.Duration, firstProcess bool) {
	r.retryWindow, r.firstProcess = window, firstProcess
}

// coversRetryWindow reports whether this member has observed the others for as long as a retry
// counts, or since all of them first started. A window that exceeds dropTimeout is never covered.
func (r *Roster) coversRetryWindow(now time.Time) bool {
	if r.firstContact.IsZero() || r.retryWindow > dropTimeout {
		return false
	}
	return now.Sub(r.firstContact) >= r.retryWindow || r.firstProcess && r.Settled(now)
}

// ownHistory is what other members reported of the processes before this one.
type ownHistory struct {
	reported bool
	spent    retrybudget.Spent
}

// SetEarlier records what another member reported of the processes before this one.
func (r *Roster) SetEarlier(e message.EarlierProcess) {
	if !r.own.reported || e.Retries > r.own.spent.Retries {
		r.own.spent = retrybudget.Spent{Service: e.Service, Retries: e.Retries, FirstAttempts: e.Firsts}
	}
	r.own.reported = true
	r.peak = max(r.peak, e.Members)
}

// EarlierSpent returns what the processes before this one may have spent within the window before
// it started, and whether that is known.
func (r *Roster) EarlierSpent() (spent retrybudget.Spent, known bool) {
	return r.own.spent, r.firstProcess || r.own.reported
}
