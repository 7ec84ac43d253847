package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// viewKeeper owns the node's view: the configuration and the targets that it uses. Readers
// load the current view without a lock; changes are applied one at a time. It logs what
// changed and notifies the parts that depend on the view.
type viewKeeper struct {
	now func() time.Time
	log zerolog.Logger
	// onChange is called with the lock held, in the order of the views, when the
	// configuration or the targets have changed.
	onChange func(*view.View)
	// onApplied is called with the lock held for each new view, with the one before it and the
	// reported changes.
	onApplied func(now time.Time, old, next *view.View, ch view.Changes)
	// onRejected is called for each entry of the source that cannot be decoded.
	onRejected func()

	current atomic.Pointer[view.View]
	// configured is closed when the first configuration is in force and the parts that depend
	// on it have been notified.
	configured chan struct{}
	// mu serialises the changes. It is held while onChange runs.
	mu sync.Mutex
}

// newViewKeeper returns a keeper of an empty view.
func newViewKeeper(now func() time.Time, log zerolog.Logger, onChange func(*view.View)) *viewKeeper {
	k := &viewKeeper{now: now, log: log, onChange: onChange, onApplied: func(time.Time, *view.View, *view.View, view.Changes) {}, onRejected: func() {}, configured: make(chan struct{})}
	k.current.Store(view.New())
	return k
}

// load returns the current view.
func (k *viewKeeper) load() *view.View { return k.current.Load() }

// permit returns an error if a target takes no new work according to the current view.
func (k *viewKeeper) permit(target string) error {
	if k.load().Directory.Usable(target, k.now()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target, or its data centre, takes no new work")
}

// apply replaces the current view by the result of change. ch lists the changes to log.
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
	k.onApplied(now, old, next, ch)
	k.logChanges(old, next, ch)
	if next.Directory == old.Directory && next.Catalog == old.Catalog {
		return
	}
	k.onChange(next)
	if old.Catalog == nil && next.Catalog != nil {
		close(k.configured)
	}
}

// expire ends what has expired in the current view.
func (k *viewKeeper) expire() {
	k.apply(view.Changes{}, func(_ time.Time, v *view.View) *view.View { return v })
}

// isTargetChange reports whether a change adds or updates a target.
func isTargetChange(c view.Change) bool {
	_, ok := c.(view.TargetChange)
	return ok
}

// logChanges logs what changed between two views.
func (k *viewKeeper) logChanges(old, next *view.View, ch view.Changes) {
	if next.CatalogVersion() != old.CatalogVersion() {
		k.log.Info().Int64("version", next.CatalogVersion()).Int64("was", old.CatalogVersion()).Int64("revision", int64(next.Revision)).
			Int("routes", next.Catalog.RouteCount()).Int("organisations", next.Catalog.OrganisationCount()).Int("keys", next.Catalog.KeyCount()).
			Bool("needsKeys", next.Catalog.NeedsKeys()).Msg("view: configuration in force")
		k.logFaults(next.Catalog)
		if next.Catalog.NeedsKeys() && next.Catalog.KeyCount() == 0 {
			k.log.Warn().Int64("version", next.CatalogVersion()).
				Msg("view: no organisation has a key, so that only public routes are served")
		}
	}
	restored := next.Revision.IsRestoredSince(old.Revision)
	if restored {
		k.log.Warn().Int64("revision", int64(next.Revision)).Int64("was", int64(old.Revision)).
			Msg("view: source was restored from an older copy")
	}
	k.logEvacuations(old, next)
	if restored || old.Catalog == nil && next.Catalog != nil {
		// One line stands for all targets: a line each takes a slow node that starts with
		// hundreds of targets longer than reading them. The state dump lists them.
		k.log.Info().Int("targets", len(next.Directory.All())).Int64("revision", int64(ch.Revision)).Msg("view: targets listed")
		ch.List = slices.DeleteFunc(slices.Clone(ch.List), isTargetChange)
	}
	for _, c := range ch.List {
		switch c := c.(type) {
		case view.TargetChange:
			k.log.Info().Str("target", c.Target.ID).Str("service", c.Target.Service).Str("address", c.Target.Address).
				Str("state", c.Target.State.String()).Str("software", c.Target.Version.String()).Int64("born", c.Target.StartMs).Int64("revision", int64(ch.Revision)).Msg("view: target")
		case view.TargetRemoval:
			k.log.Info().Str("target", c.ID).Int64("revision", int64(ch.Revision)).Msg("view: target removed")
		case view.RejectedEntry:
			k.onRejected()
			k.log.Error().Str("key", c.Key).Str("why", c.Reason).Msg("view: entry rejected")
		case view.CatalogChange, view.EvacuationChange:
		}
	}
}

// maxLoggedFaults bounds the lines about the faults of a configuration.
const maxLoggedFaults = 50

// logFaults logs the parts of a configuration that are refused, and the values that are not used.
func (k *viewKeeper) logFaults(c *catalog.Catalog) {
	faults := c.Faults()
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		ev, msg := k.log.Warn(), "view: value not used"
		if f.Refused {
			ev, msg = k.log.Error(), "view: "+f.Part+" refused"
		}
		ev.Int64("version", c.Version).Str(f.Part, f.Name).Str("place", f.Place).Str("why", f.Why).Msg(msg)
	}
	if len(faults) > maxLoggedFaults {
		k.log.Error().Int64("version", c.Version).Int("refused", c.RefusedCount()).Int("unused", c.UnusedCount()).
			Msg("view: the configuration has more faults than are logged")
	}
}

// logEvacuations logs which data centres have been evacuated and which evacuations have been
// lifted. It compares views instead of changes, since a complete listing lifts the
// evacuations that it lacks.
func (k *viewKeeper) logEvacuations(old, next *view.View) {
	for _, e := range next.Evacuations.All() {
		if e.Active == old.Evacuations.Get(e.DataCentre).Active {
			continue
		}
		msg := "view: data centre taken back"
		if e.Active {
			msg = "view: data centre evacuated"
		}
		k.log.Info().Str("dataCentre", e.DataCentre).Int64("revision", int64(e.Revision)).Str("from", e.From).Msg(msg)
	}
}
