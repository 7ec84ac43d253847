package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// deltaTimeout bounds fetching a delta from a member: some kilobytes, over links that may
	// be saturated.
	deltaTimeout = 1500 * time.Millisecond
	// memberCatalogTimeout bounds fetching a new catalog from a member before the source is
	// asked for it. A member that passes 0.5 MB on to a dozen others over 200 Mbit/s takes
	// 0.3 s. Where links are too slow for that, the source answers well within the seconds in
	// which a new catalog has to come into force.
	memberCatalogTimeout = 800 * time.Millisecond
	// newCatalogSlack is how long after probeWait the source's answer may start when a node
	// reads a catalog there that members know already.
	newCatalogSlack = 1500 * time.Millisecond
)

// catchUpIfBehind starts catching up with the member that is furthest ahead if this node
// counts as behind. It does not wait for the result; one runs at a time.
func (f *sourceFollower) catchUpIfBehind(ctx context.Context) {
	newest := f.members.aheadOf(f.views.load())
	if !f.health.isBehind(f.now(), newest.member != "", newest.followsReaders) {
		return
	}
	if !f.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.catchingUp.Store(false)
		f.catchUp(ctx, newest)
		f.health.restartWatch()
	}()
}

// catchUp takes over what a member knows beyond this node. A node that leaves the source to
// the readers asks the source for a new catalog only if the member does not pass it on soon:
// the links between members may be too slow for many transfers at once. When every node read
// every new catalog at the source, 16 catalogs cost 295 nodes 4,700 calls in a minute.
func (f *sourceFollower) catchUp(ctx context.Context, newest aheadMember) {
	newCatalog := int64(newest.version) > f.views.load().CatalogVersion()
	if !newCatalog {
		f.fetchFromMember(ctx, newest.member, deltaTimeout)
		return
	}
	if !newest.followsReaders {
		f.fetchFromMember(ctx, newest.member, answerTimeout)
		return
	}
	if f.fetchFromMember(ctx, newest.member, memberCatalogTimeout) {
		return
	}
	err := f.readChanges(ctx, probeWait, newCatalogSlack)
	if err == nil {
		return
	}
	f.log.Info().Err(err).Str("member", newest.member).Dur("behind", f.health.behindFor(f.now())).
		Msg("source: reading a new configuration failed, asking the member again")
	f.fetchFromMember(ctx, newest.member, answerTimeout)
}

// fetchFromMember fetches what a member knows beyond this node, applies it, and reports
// whether the member answered. If it did not, the next gossip round tries again.
func (f *sourceFollower) fetchFromMember(ctx context.Context, member string, limit time.Duration) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	v, began := f.views.load(), f.now()
	snapshot, err := f.peers.fetchView(ctx, member, v.Revision, v.CatalogVersion())
	if err != nil {
		f.log.Info().Str("member", member).Int64("revision", int64(v.Revision)).Dur("took", f.now().Sub(began)).
			Dur("behind", f.health.behindFor(f.now())).Err(err).Msg("view: fetching changes from a member failed")
		return false
	}
	catalog, err := f.decodeCatalog(snapshot)
	switch {
	case err != nil:
		f.log.Error().Str("member", member).Err(err).Msg("view: configuration from a member rejected")
		return false
	case isDelta(snapshot):
		f.applyDelta(member, snapshot, catalog)
	case catalog != nil:
		f.applySnapshot(member, snapshot, *catalog)
	}
	return true
}

// decodeCatalog decodes the catalog in a member's snapshot with the same checks as one read
// from the source; nil if there is none.
func (f *sourceFollower) decodeCatalog(s message.ViewSnapshot) (*view.CatalogChange, error) {
	if s.Document == "" {
		return nil, nil
	}
	document, err := decodeDocument(s)
	if err != nil {
		return nil, err
	}
	catalog, err := f.source.Decode(document)
	return &catalog, err
}

// applyDelta applies a member's delta, with its new catalog if it has one.
func (f *sourceFollower) applyDelta(member string, s message.ViewSnapshot, catalog *view.CatalogChange) {
	d := decodeDelta(f.now(), member, s, catalog)
	f.log.Info().Str("member", member).Int("since", s.Since).Int("revision", s.Revision).
		Dur("behind", f.health.behindFor(f.now())).Msg("view: applying changes from a member")
	f.views.apply(d.Changes(), func(now time.Time, v *view.View) *view.View { return v.WithDelta(now, d) })
}

// applySnapshot replaces the view by a member's snapshot.
func (f *sourceFollower) applySnapshot(member string, s message.ViewSnapshot, catalog view.CatalogChange) {
	ch := view.Changes{Revision: view.Revision(s.Revision), List: []view.Change{catalog}}
	now := f.now()
	for _, t := range s.Targets {
		ch.List = append(ch.List, view.TargetChange{Target: decodeTarget(now, t)})
	}
	evacuations := decodeEvacuations(now, member, s.Evacuations)
	if s.Evacuations == nil {
		// A member of an earlier version does not know of evacuations, so its list lifts
		// none.
		evacuations = f.views.load().Evacuations.All()
	}
	for _, e := range evacuations {
		ch.List = append(ch.List, view.EvacuationChange{Evacuation: e})
	}
	f.log.Info().Str("member", member).Int64("version", catalog.Catalog.Version).Int("revision", s.Revision).
		Dur("behind", f.health.behindFor(f.now())).Msg("view: applying a snapshot from a member")
	// No changes are passed for logging; the line above stands for all of them.
	f.views.apply(view.Changes{}, func(now time.Time, v *view.View) *view.View {
		return v.WithSnapshot(now, ch, time.Time{})
	})
}
