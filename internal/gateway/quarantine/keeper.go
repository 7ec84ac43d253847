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

// Config configures a Keeper.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// OnChange is called after a change that members should receive at once, with the number
	// of held requests. It must not call the keeper.
	OnChange func(held int)
	// OwnsRole reports whether this node has a role that one member has for the whole
	// fleet.
	OwnsRole func(role string) bool
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

// NewTracker returns a keeper with an empty table.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg, table: NewTable()} }

// Admission is the result of Keeper.Admit: Free, Trial or Refused.
type Admission interface{ isAdmission() }

// Allowed admits a request that is not held.
type Allowed struct{}

// Trial admits a held request once, to test whether a target survives it.
type Trial struct{}

// Refused rejects a held request.
type Refused struct{ Hold Hold }

func (Allowed) isAdmission()    {}
func (Trial) isAdmission()   {}
func (Refused) isAdmission() {}

// Empty reports whether the table is empty, so that no request needs to be checked.
func (k *Tracker) Empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len() == 0
}

// Admit decides whether a request may run, before any work for it starts.
func (k *Tracker) Admit(d Digest) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	hold, held := k.table.Held(d)
	if !held {
		return Allowed{}
	}
	mayTry := func() bool { return k.cfg.OwnsRole(trialRolePrefix + d.String()) }
	if k.table.StartTrial(k.cfg.Now(), d, mayTry) {
		k.cfg.Log.Info().Str("digest", d.String()).Int("ends", len(hold.Crashes)).Msg("quarantine: sending held request as a trial")
		return Trial{}
	}
	return Refused{Hold: hold}
}

// Suspected reports whether targets crashed while they had a request and none has answered
// it since. Suspected requests are sent to different targets.
func (k *Tracker) Suspected(d Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Suspected(d)
}

// Held returns the hold on a request, and whether there is one. It is called just before
// the request is sent.
func (k *Tracker) Held(d Digest) (Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Held(d)
}

// RecordCrash records that a target crashed while it had a request from this node.
func (k *Tracker) RecordCrash(d Digest, c Crash) {
	k.update("", []Digest{d}, func(t *Table, now time.Time) bool { return t.RecordCrash(now, d, c) })
}

// RecordAnswer records that a target answered a request, even with an error of its own.
func (k *Tracker) RecordAnswer(d Digest) {
	k.update("", []Digest{d}, func(t *Table, now time.Time) bool { return t.RecordAnswer(now, d) })
}

// Merge merges the entries that a member reported.
func (k *Tracker) Merge(member string, list []message.SuspectRequest) {
	if len(list) == 0 {
		return
	}
	entries := fromMessages(k.cfg.Now(), list)
	digests := make([]Digest, len(entries))
	for i, e := range entries {
		digests[i] = e.Digest
	}
	k.update(member, digests, func(t *Table, now time.Time) bool { return t.Merge(now, entries) })
}

// update applies a change to some requests and logs those that it holds or releases. Only
// these are reported to members at once. Requests that are merely suspected are reported in
// the next regular rounds of gossip: a crash leaves dozens of suspects, nearly all of them
// innocent, and extra rounds for them would raise processor time and traffic of 59 nodes by
// a quarter on days with many crashes.
func (k *Tracker) update(from string, digests []Digest, apply func(t *Table, now time.Time) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := make([]bool, len(digests))
	for i, d := range digests {
		_, before[i] = k.table.Held(d)
	}
	if !apply(k.table, k.cfg.Now()) {
		return
	}
	urgent := false
	for i, d := range digests {
		k.logChange(d, from, before[i])
		_, held := k.table.Held(d)
		urgent = urgent || held || before[i]
	}
	if urgent {
		k.cfg.OnChange(len(k.table.AllHeld()))
	}
}

// logChange logs that a request is now held or released. before is whether it was held
// before the change. The caller must hold the lock.
func (k *Tracker) logChange(d Digest, from string, before bool) {
	hold, held := k.table.Held(d)
	switch {
	case held && !before:
		targets := make([]string, len(hold.Crashes))
		for i, c := range hold.Crashes {
			targets[i] = c.Target
		}
		k.cfg.Log.Warn().Str("digest", d.String()).Strs("targets", targets).Dur("held", hold.Until.Sub(k.cfg.Now())).Str("from", from).
			Msg("quarantine: request held after target crashes")
	case before && !held:
		k.cfg.Log.Info().Str("digest", d.String()).Str("from", from).Msg("quarantine: request released after an answer")
	}
}

// Recent returns what to report to members: the entries that changed recently, and the hash
// of the held requests, which is empty if none is held.
func (k *Tracker) Recent() (list []message.SuspectRequest, heldSum string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	k.table.Prune(now)
	return toMessages(now, k.table.Recent(now)), formatSum(k.table.HeldSum())
}

// NeedsSync reports whether to request all held entries from a member that reports the given
// hash. It records the request.
func (k *Tracker) NeedsSync(heldSum string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	if heldSum == "" || heldSum == formatSum(k.table.HeldSum()) || now.Sub(k.lastSync) < syncInterval {
		return false
	}
	k.lastSync = now
	return true
}

// HeldRequests returns the requests that this node holds, with the remaining time of each hold.
func (k *Tracker) HeldRequests() message.SuspectList {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	list := toMessages(now, k.table.AllHeld())
	for i, e := range k.table.AllHeld() {
		hold, _ := k.table.Held(e.Digest)
		list[i].HeldMs = max(int(hold.Until.Sub(now).Milliseconds()), 0)
	}
	return message.SuspectList{Requests: list}
}

// formatSum formats a hash of held requests; 0, for none, is the empty text.
func formatSum(sum uint64) string {
	if sum == 0 {
		return ""
	}
	return strconv.FormatUint(sum, digestBase)
}
