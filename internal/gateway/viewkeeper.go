package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// viewKeeper owns the node's view: the configuration and the targets that it works
// by. Readers load the current view without a lock; changes are applied one after
// the other. It logs what changed and notifies those who depend on it.
type viewKeeper struct {
	now func() time.Time
	log zerolog.Logger
	// changed is called under the lock, in the order of the views, when the
	// configuration or the targets have changed.
	changed func(*view.View)
	// refused counts an entry of the source that was refused.
	refused func()

	current atomic.Pointer[view.View]
	// configured is closed when the first configuration is in force and those who
	// depend on it have been notified.
	configured chan struct{}
	// mu orders the changes; it is held while changed runs.
	mu sync.Mutex
}

// newViewKeeper returns a keeper of the empty view.
func newViewKeeper(now func() time.Time, log zerolog.Logger, changed func(*view.View)) *viewKeeper {
	k := &viewKeeper{now: now, log: log, changed: changed, refused: func() {}, configured: make(chan struct{})}
	k.current.Store(view.New())
	return k
}

// load returns the current view.
func (k *viewKeeper) load() *view.View { return k.current.Load() }

// permit forbids a call to a target that takes no new work by the current view.
func (k *viewKeeper) permit(target string) error {
	if k.load().Directory.Usable(target, k.now()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target, or its data centre, takes no new work")
}

// apply replaces the current view by what change returns for it. ch is what the log
// shows of the change.
func (k *viewKeeper) apply(ch view.Changes, change func(now time.Time, v *view.View) *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.load()
	now := k.now()
	next := change(now, old.WithTime(now))
	if next == old {
		return
	}
	k.current.Store(next)
	k.logChanges(old, next, ch)
	if next.Directory == old.Directory && next.Catalog == old.Catalog {
		return
	}
	k.changed(next)
	if old.Catalog == nil && next.Catalog != nil {
		close(k.configured)
	}
}

// logChanges logs what changed between two views.
func (k *viewKeeper) logChanges(old, next *view.View, ch view.Changes) {
	if next.Version() != old.Version() {
		k.log.Info().Int64("version", next.Version()).Int64("was", old.Version()).Int64("revision", next.Revision).
			Int("routes", next.Catalog.RouteCount()).Msg("view: configuration in force")
	}
	k.logEvacuations(old, next)
	if old.Catalog == nil && next.Catalog != nil {
		// The state dump lists them.
		k.log.Info().Int("targets", next.Directory.Size()).Int64("revision", ch.Revision).Msg("view: targets listed")
	} else {
		k.logTargets(ch)
	}
	for _, c := range ch.List {
		if c, is := c.(view.Rejected); is {
			k.refused()
			k.log.Error().Str("key", c.Key).Str("why", c.Reason).Msg("view: entry refused")
		}
	}
}

// loggedTargets is how many targets of one list of changes the log names. A line for each
// target at each node grows with the square of the fleet: at the start of 985 nodes with
// 10,000 targets it was 2.2 GB.
const loggedTargets = 16

// logTargets logs which targets changed, in one line for a list.
func (k *viewKeeper) logTargets(ch view.Changes) {
	var changed []string
	for _, c := range ch.List {
		switch c := c.(type) {
		case view.TargetChange:
			changed = append(changed, targetText(c.Target))
		case view.TargetGone:
			changed = append(changed, c.ID+" gone")
		case view.Rejected, view.CatalogChange, view.EvacuationChange:
		}
	}
	if len(changed) == 0 {
		return
	}
	named := changed[:min(len(changed), loggedTargets)]
	k.log.Info().Strs("targets", named).Int("more", len(changed)-len(named)).Int64("revision", ch.Revision).Msg("view: targets changed")
}

// targetText names a target with what the list says of it.
func targetText(t directory.Target) string {
	text := t.Life().String() + " " + t.State.String() + " " + t.Service
	if t.State == directory.Ready {
		text += " " + t.Address
	}
	return text
}

// logEvacuations logs which data centres are evacuated from now on, and which were
// taken back. It compares views and not changes, as a list of all keys takes back what
// is missing there.
func (k *viewKeeper) logEvacuations(old, next *view.View) {
	for _, e := range next.Evacuations.All() {
		if e.Active == old.Evacuations.Of(e.DataCentre).Active {
			continue
		}
		text := "view: data centre taken back"
		if e.Active {
			text = "view: data centre evacuated"
		}
		k.log.Info().Str("dataCentre", e.DataCentre).Int64("revision", e.Revision).Str("from", e.From).Msg(text)
	}
}
