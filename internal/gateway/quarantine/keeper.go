package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
)

// compareInterval is the least time between two comparisons of all held requests with
// members: two rounds of gossip. A node that missed something is
// right again within it.
const compareInterval = time.Second

// tryRole begins the name under which the member is chosen that tries a held request.
const tryRole = "try/"

// Config is what a Keeper is made of.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// OnChange is called when something is known that members should hear at once, and gets
	// the number of requests that are held. It must not call the keeper.
	OnChange func(held int)
	// OwnsRole says whether this node is the member for what one member does for all,
	// by the name of it.
	OwnsRole func(role string) bool
}

// Tracker is a Table that is safe for concurrent use, says who may send what, speaks to
// members in messages, and logs what it decides.
type Tracker struct {
	cfg Config

	mu    sync.Mutex
	table *Table
	// compared is when this node last asked a member for all that it holds.
	compared time.Time
}

// NewTracker returns a keeper that knows nothing.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg, table: NewTable()} }

// Admission is Free, Trial or Refused.
type Admission interface{ isAdmission() }

// Allowed is a request that may be sent.
type Allowed struct{}

// Trial is a held request that is to be sent to one target, to see whether that outlives
// it.
type Trial struct{}

// Refused is a request that is held back.
type Refused struct{ Hold Hold }

func (Allowed) isAdmission()    {}
func (Trial) isAdmission()   {}
func (Refused) isAdmission() {}

// Idle says that no request is suspected.
func (k *Tracker) Idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len() == 0
}

// Admit decides about a request before any work for it begins.
func (k *Tracker) Admit(d Digest) Admission {
	k.mu.Lock()
	defer k.mu.Unlock()
	hold, held := k.table.Held(d)
	if !held {
		return Allowed{}
	}
	mayTry := func() bool { return k.cfg.OwnsRole(tryRole + d.String()) }
	if k.table.Try(k.cfg.Now(), d, mayTry) {
		k.cfg.Log.Info().Str("digest", d.String()).Int("ends", len(hold.Crashes)).Msg("quarantine: request tried once more")
		return Trial{}
	}
	return Refused{Hold: hold}
}

// Suspected says whether targets ended while they had a request, and none has answered it
// since. Such a request gets a target without others of the kind.
func (k *Tracker) Suspected(d Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Suspected(d)
}

// Held says whether a request may not be sent, and why, just before it is.
func (k *Tracker) Held(d Digest) (Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Held(d)
}

// TargetEnded notes that a target ended while this node had a request there.
func (k *Tracker) TargetEnded(d Digest, c Crash) {
	k.change("", []Digest{d}, func(t *Table, now time.Time) bool { return t.Crashed(now, d, c) })
}

// Answered notes that a target answered a request, be it with a failure of its own.
func (k *Tracker) Answered(d Digest) {
	k.change("", []Digest{d}, func(t *Table, now time.Time) bool { return t.Answered(now, d) })
}

// Merge takes in what a member reported of requests.
func (k *Tracker) Merge(member string, list []message.SuspectRequest) {
	if len(list) == 0 {
		return
	}
	entries := entriesFrom(k.cfg.Now(), list)
	digests := make([]Digest, len(entries))
	for i, e := range entries {
		digests[i] = e.Digest
	}
	k.change(member, digests, func(t *Table, now time.Time) bool { return t.Merge(now, entries) })
}

// change applies a change that concerns some requests and logs those that are held or
// released by it. Members hear of these at once; of requests that are only suspected with
// the next rounds of gossip. A target that ends leaves dozens of suspects, nearly all of
// them innocent: on 59 nodes rounds for each of them took a quarter more processor time and
// bytes on days with many such ends.
func (k *Tracker) change(from string, digests []Digest, apply func(t *Table, now time.Time) bool) {
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

// logChange logs a request that is held or released now; the caller holds the lock.
func (k *Tracker) logChange(d Digest, from string, before bool) {
	hold, held := k.table.Held(d)
	switch {
	case held && !before:
		targets := make([]string, len(hold.Crashes))
		for i, c := range hold.Crashes {
			targets[i] = c.Target
		}
		k.cfg.Log.Warn().Str("digest", d.String()).Strs("targets", targets).Dur("held", hold.Until.Sub(k.cfg.Now())).Str("from", from).
			Msg("quarantine: request held, targets ended with it")
	case before && !held:
		k.cfg.Log.Info().Str("digest", d.String()).Str("from", from).Msg("quarantine: request released, a target answered it")
	}
}

// Recent returns what members should hear: what this node learnt lately, and the hash of
// all that it holds, empty for nothing.
func (k *Tracker) Recent() (list []message.SuspectRequest, heldSum string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	k.table.Prune(now)
	return messagesOf(now, k.table.Recent(now)), sumText(k.table.HeldSum())
}

// NeedsSync says whether a member with such a hash should be asked for all that it holds.
func (k *Tracker) NeedsSync(heldSum string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	if heldSum == "" || heldSum == sumText(k.table.HeldSum()) || now.Sub(k.compared) < compareInterval {
		return false
	}
	k.compared = now
	return true
}

// HeldRequests returns all requests that this node holds, with how long they are held.
func (k *Tracker) HeldRequests() message.SuspectList {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	list := messagesOf(now, k.table.AllHeld())
	for i, e := range k.table.AllHeld() {
		hold, _ := k.table.Held(e.Digest)
		list[i].HeldMs = max(int(hold.Until.Sub(now).Milliseconds()), 0)
	}
	return message.SuspectList{Requests: list}
}

func sumText(sum uint64) string {
	if sum == 0 {
		return ""
	}
	return strconv.FormatUint(sum, digestBase)
}
