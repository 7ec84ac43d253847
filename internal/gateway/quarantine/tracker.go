package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
)

// syncInterval is the minimum time between two requests for all entries that a member
// holds: two rounds of gossip. A node that missed an entry gets it within this time.
const syncInterval = time.Second

// trialRolePrefix is the prefix of the role of the member that may try a held request. The
// request's digest follows.
const trialRolePrefix = "try/"

// Config configures a Tracker.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// OnChange is called after a change that members should receive at once, with the
	// number of held requests. It must not call the tracker.
	OnChange func(held int)
	// OwnsRole reports whether this node has a role that one member has for the whole
	// fleet.
	OwnsRole func(role string) bool
	// Rule determines when subjects are held; the zero value stands for RequestRule.
	Rule Rule
	// Subject is what is held, in log lines; empty for a request.
	Subject string
}

// Tracker adds to a Table a lock, the admission of requests, the conversion of entries to
// and from messages, and logging. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu    sync.Mutex
	table *Table
	// lastSync is when this node last asked a member for all entries that it holds.
	lastSync time.Time
}

// NewTracker returns a tracker with an empty table.
func NewTracker(cfg Config) *Tracker {
	if cfg.Rule == (Rule{}) {
		cfg.Rule = RequestRule
	}
	if cfg.Subject == "" {
		cfg.Subject = "request"
	}
	return &Tracker{cfg: cfg, table: NewTable(WithRule(cfg.Rule))}
}

// Admission is the result of Tracker.Admit: Allowed, Trial or Refused.
type Admission interface{ isAdmission() }

// Allowed admits a request that is not held.
type Allowed struct{}

// Trial admits a held request once, to test whether a target survives it.
type Trial struct{}

// Refused rejects a held request.
type Refused struct{ Hold Hold }

func (Allowed) isAdmission() {}
func (Trial) isAdmission()   {}
func (Refused) isAdmission() {}

// Empty reports whether the table is empty, so that no request needs to be checked.
func (tr *Tracker) Empty() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.Len() == 0
}

// Admit decides whether a request may run, before any work for it starts.
func (tr *Tracker) Admit(d Digest) Admission {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	hold, held := tr.table.Held(d)
	if !held {
		return Allowed{}
	}
	mayTry := func() bool { return tr.cfg.OwnsRole(trialRolePrefix + d.String()) }
	if tr.table.StartTrial(tr.cfg.Now(), d, mayTry) {
		tr.cfg.Log.Info().Str("digest", d.String()).Int("ends", len(hold.Crashes)).Msg("quarantine: sending held " + tr.cfg.Subject + " as a trial")
		return Trial{}
	}
	return Refused{Hold: hold}
}

// AdmitAll decides about a request by all of its subjects, such as the parts of its prompt.
func (tr *Tracker) AdmitAll(subjects []Digest) Admission {
	if d, _, held := tr.HeldAmong(subjects); held {
		return tr.Admit(d)
	}
	return Allowed{}
}

// RecordRequest records that a request with some subjects was admitted. group identifies the
// requests that may have these subjects.
func (tr *Tracker) RecordRequest(group Digest, subjects []Digest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.table.RecordRequest(group, subjects)
}

// HeldAmong returns the first of a request's subjects that is held on its own (Table.HeldAmong).
func (tr *Tracker) HeldAmong(subjects []Digest) (Digest, Hold, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.HeldAmong(subjects)
}

// Suspected reports whether targets crashed while they had a request and none has answered
// it since. Suspected requests are sent to different targets.
func (tr *Tracker) Suspected(d Digest) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.Suspected(d)
}

// Held returns the hold on a request, and whether there is one. It is called just before
// the request is sent.
func (tr *Tracker) Held(d Digest) (Hold, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.Held(d)
}

// RecordCrash records that a target crashed while it had a request from this node.
func (tr *Tracker) RecordCrash(d Digest, c Crash) {
	tr.update("", []Digest{d}, func(t *Table, now time.Time) bool { return t.RecordCrash(now, d, c) })
}

// RecordAnswer records that a target answered a request, even with an error of its own.
func (tr *Tracker) RecordAnswer(d Digest) {
	tr.update("", []Digest{d}, func(t *Table, now time.Time) bool { return t.RecordAnswer(now, d) })
}

// Merge merges the entries that a member reported.
func (tr *Tracker) Merge(member string, list []message.SuspectRequest) {
	if len(list) == 0 {
		return
	}
	entries := fromMessages(tr.cfg.Now(), list)
	digests := make([]Digest, len(entries))
	for i, e := range entries {
		digests[i] = e.Digest
	}
	tr.update(member, digests, func(t *Table, now time.Time) bool { return t.Merge(now, entries) })
}

// update applies a change to some requests and logs those that it holds or releases. The
// change is reported to members at once if any of the requests is or was urgent, as held ones
// are. Requests that are merely suspected are reported in the next regular rounds of gossip: a crash leaves
// dozens of suspects, nearly all of them innocent, and when targets crash often, extra rounds
// for them would noticeably raise the processor time and traffic of a large fleet.
func (tr *Tracker) update(from string, digests []Digest, apply func(t *Table, now time.Time) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	before, urgent := make([]bool, len(digests)), false
	for i, d := range digests {
		_, before[i] = tr.table.Held(d)
		urgent = urgent || tr.table.Urgent(d)
	}
	if !apply(tr.table, tr.cfg.Now()) {
		return
	}
	for i, d := range digests {
		tr.logChange(d, from, before[i])
		urgent = urgent || tr.table.Urgent(d)
	}
	if urgent {
		tr.cfg.OnChange(len(tr.table.AllHeld()))
	}
}

// logChange logs that a request is now held or released. before is whether it was held
// before the change. The caller must hold the lock.
func (tr *Tracker) logChange(d Digest, from string, before bool) {
	hold, held := tr.table.Held(d)
	switch {
	case held && !before:
		targets := make([]string, len(hold.Crashes))
		for i, c := range hold.Crashes {
			targets[i] = c.Target
		}
		tr.cfg.Log.Warn().Str("digest", d.String()).Strs("targets", targets).Dur("held", hold.Until.Sub(tr.cfg.Now())).Str("from", from).
			Msg("quarantine: " + tr.cfg.Subject + " held after target crashes")
	case before && !held:
		tr.cfg.Log.Info().Str("digest", d.String()).Str("from", from).Msg("quarantine: " + tr.cfg.Subject + " released after an answer")
	}
}

// Recent returns what to report to members: the entries that changed recently, and the hash
// of the held requests, which is empty if none is held.
func (tr *Tracker) Recent() (list []message.SuspectRequest, heldSum string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.cfg.Now()
	tr.table.Prune(now)
	return toMessages(now, tr.table.Recent(now)), formatSum(tr.table.HeldSum())
}

// NeedsSync reports whether to request all held entries from a member that reports the
// given hash. If so, it records the time, and reports false for the next syncInterval.
func (tr *Tracker) NeedsSync(heldSum string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.cfg.Now()
	if heldSum == "" || heldSum == formatSum(tr.table.HeldSum()) || now.Sub(tr.lastSync) < syncInterval {
		return false
	}
	tr.lastSync = now
	return true
}

// HeldRequests returns what this node holds, with the remaining time of each
// hold.
func (tr *Tracker) HeldRequests() []message.SuspectRequest {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.cfg.Now()
	list := toMessages(now, tr.table.AllHeld())
	for i, e := range tr.table.AllHeld() {
		hold, _ := tr.table.Held(e.Digest)
		list[i].HeldMs = max(int(hold.Until.Sub(now).Milliseconds()), 0)
	}
	return list
}

// formatSum formats a hash of held requests; 0, for none, is the empty text.
func formatSum(sum uint64) string {
	if sum == 0 {
		return ""
	}
	return strconv.FormatUint(sum, digestBase)
}
