package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

const (
	// historyStep is how many revisions before the present one the search for the oldest revision
	// that the source still knows begins. It doubles with each step.
	historyStep = 32
	// historyTimeout bounds one call of the search, confirmTimeout the call that confirms the view.
	historyTimeout = time.Second
	// confirmTimeout: see historyTimeout. A caller waits for it.
	confirmTimeout = 300 * time.Millisecond
	// confirmTries bounds the calls that confirm the view while others change it.
	confirmTries = 3
	// searchPause is the least time between two searches for what the source has forgotten.
	searchPause = 500 * time.Millisecond
)

// reportHistory reads once what the source still knows of the time before this process. A source
// that was ever restored does not tell what it forgot.
func (f *sourceFollower) reportHistory(ctx context.Context) {
	report := f.onHistory
	if report == nil {
		return
	}
	f.onHistory = nil
	go f.onListed(ctx)
	asked := f.now()
	revision := f.views.load().Revision
	if revision.Epoch() != 0 {
		f.log.Info().Int64("revision", int64(revision)).Msg("source: restored before, the time before this process is not known")
		return
	}
	ch, oldest, err := f.readHistory(ctx, revision)
	if err != nil {
		f.log.Warn().Err(err).Int64("revision", int64(revision)).Msg("source: reading its history failed, the time before this process is not known")
		return
	}
	f.log.Info().Int64("revision", int64(revision)).Int64("oldest", oldest).Int("changes", len(ch.List)).Msg("source: history read")
	report(asked, ch, oldest == 0)
}

// readHistory returns the changes after the oldest revision that the source still knows, and that
// revision.
func (f *sourceFollower) readHistory(ctx context.Context, revision view.Revision) (changes view.Changes, oldest int64, err error) {
	oldest = revision.Number()
	gone := int64(-1)
	for step := int64(historyStep); oldest > gone+1; step *= 2 {
		try := max(revision.Number()-step, 0)
		if gone >= 0 {
			try = (gone + oldest) / 2
		}
		ch, err := f.changesSince(ctx, view.NewRevision(revision.Epoch(), try))
		switch {
		case errors.Is(err, ErrHistoryGone):
			gone = try
		case err != nil:
			return view.Changes{}, 0, err
		default:
			oldest, changes = try, ch
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = gone
	return changes, oldest, nil
}

// forgottenSince returns the newest revision up to last whose changes the source has forgotten, and a time
// before which it still knew it.
func (f *sourceFollower) forgottenSince(ctx context.Context, last view.Revision) (forgotten view.Revision, asked time.Time, err error) {
	if !f.health.lastOutage().IsZero() {
		// A source that failed may have lost its history at once.
		return 0, time.Time{}, errors.New("the source failed since this process started")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	asked = f.now()
	if asked.Sub(f.searchedAt) < searchPause {
		return view.NewRevision(last.Epoch(), f.gone+1), f.searchedAt, nil
	}
	known := last.Number()
	for known > f.gone+1 {
		try := (f.gone + known) / 2
		_, err := f.changesSince(ctx, view.NewRevision(last.Epoch(), try))
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.gone, asked = try, f.now()
		case err != nil:
			return 0, time.Time{}, err
		default:
			known = try
		}
	}
	f.searchedAt = asked
	return view.NewRevision(last.Epoch(), f.gone+1), asked, nil
}

// changesSince returns the changes after a revision without waiting for more.
func (f *sourceFollower) changesSince(ctx context.Context, revision view.Revision) (view.Changes, error) {
	ctx, answered, cancel := withAnswerTimeout(ctx, historyTimeout)
	defer cancel()
	f.metrics.sourceCalls.Inc(1)
	return f.source.Watch(ctx, revision, 0, answered)
}

// confirm makes sure that the view has all that the source knew when it was called. Those who ask while
// a call is made share the next one, and its failure: beside a source that does not answer each would
// wait for confirmTimeout after all before it.
func (f *sourceFollower) confirm(ctx context.Context) error {
	asked := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.After(asked) {
		return nil
	}
	if f.unconfirmedAt.After(asked) {
		return f.unconfirmed
	}
	started := f.now()
	err := f.readUntilConfirmed(ctx)
	if err != nil {
		f.unconfirmedAt, f.unconfirmed = started, err
	}
	return err
}

// isConfirmed reports whether the view was confirmed lately. A node that watches the source asks it, unless
// it failed: a process that stood still has an old view until its watch begins anew.
func (f *sourceFollower) isConfirmed(ctx context.Context) bool {
	if f.health.age.current(f.now()) <= maxConfirmedAge {
		return true
	}
	if f.health.isDown() || f.members.followsReaders() {
		return false
	}
	err := f.confirm(ctx)
	if err != nil {
		f.log.Info().Err(err).Msg("source: confirming the view for a new stream failed")
	}
	return err == nil
}

// readUntilConfirmed reads changes until the view has all of them. Another client's end does not end a
// call that others wait for.
func (f *sourceFollower) readUntilConfirmed(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for range confirmTries {
		started, after := f.now(), f.views.load().Revision
		ch, err := f.changesSince(ctx, after)
		if err != nil {
			return err
		}
		if f.applyChanges(ch, after) {
			f.confirmedAt = started
			f.health.age.confirm(f.now(), started)
			return nil
		}
	}
	return errors.New("the view changed while it was confirmed")
}

// applyChanges applies the changes after a revision, and reports whether the view still had that
// revision.
func (f *sourceFollower) applyChanges(ch view.Changes, after view.Revision) (applied bool) {
	f.views.apply(ch, func(now time.Time, v *view.View) *view.View {
		if applied = v.Revision == after; !applied {
			return v
		}
		return v.WithChanges(now, ch, f.health.lastOutage())
	})
	return applied
}
