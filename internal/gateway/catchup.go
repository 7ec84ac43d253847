package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// deltaTimeout bounds fetching from a member what changed. Not measured by
	// itself; set with f2b371a. The whole has answerTimeout.
	deltaTimeout = 1500 * time.Millisecond
	// newCatalogSlack is how long beyond probeWait the source's answer may take to
	// begin at a node that reads there a configuration which members know already.
	// Not measured by itself; set with f2b371a.
	newCatalogSlack = 1500 * time.Millisecond
)

// checkBehind catches up with the member that is furthest ahead, when this node
// counts as behind. It does not wait for the end of that; one runs at a time.
func (f *storeFollower) checkBehind(ctx context.Context) {
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
		f.health.endCurrentWatch()
	}()
}

// catchUp takes over what a member knows beyond this node. A node that leaves the
// source to the readers reads a new configuration there all the same: the links
// between members may be too slow for many to pass it on.
func (f *storeFollower) catchUp(ctx context.Context, newest ahead) {
	newCatalog := int64(newest.version) > f.views.load().Version()
	if newest.followsReaders && newCatalog {
		err := f.readChanges(ctx, probeWait, newCatalogSlack)
		if err == nil {
			return
		}
		f.log.Debug().Err(err).Str("member", newest.member).Msg("source: a new configuration was not read, asking a member")
	}
	limit := answerTimeout
	if !newCatalog {
		limit = deltaTimeout
	}
	f.takeFromMember(ctx, newest.member, limit)
}

// takeFromMember fetches what a member knows beyond this node and applies it. When
// the member does not answer, the next round of gossip tries again.
func (f *storeFollower) takeFromMember(ctx context.Context, member string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	v := f.views.load()
	snapshot, err := f.peers.viewAtMember(ctx, member, v.Revision, v.Version())
	if err != nil {
		f.log.Debug().Str("member", member).Int64("revision", v.Revision).Err(err).
			Msg("view: a member that is ahead gave no answer")
		return
	}
	if isDelta(snapshot) {
		f.takeDelta(member, snapshot)
		return
	}
	f.takeWhole(member, snapshot)
}

// takeDelta takes over what changed at a member.
func (f *storeFollower) takeDelta(member string, s message.ViewSnapshot) {
	d := deltaOf(f.now(), s)
	ch := view.Changes{Revision: d.Revision}
	for _, t := range d.Targets {
		ch.List = append(ch.List, view.TargetChange{Target: t})
	}
	for _, id := range d.Gone {
		ch.List = append(ch.List, view.TargetGone{ID: id})
	}
	f.log.Info().Str("member", member).Int("since", s.Since).Int("revision", s.Revision).
		Msg("view: changes reported by a member")
	f.views.apply(ch, func(_ time.Time, v *view.View) *view.View { return v.WithDelta(d) })
}

// takeWhole takes over all that a member knows.
func (f *storeFollower) takeWhole(member string, s message.ViewSnapshot) {
	document, err := documentOf(s)
	if err != nil {
		f.log.Error().Str("member", member).Err(err).Msg("view: a member's configuration was refused")
		return
	}
	catalog, err := f.source.Decode(document)
	if err != nil {
		f.log.Error().Str("member", member).Err(err).Msg("view: a member's configuration was refused")
		return
	}
	ch := view.Changes{Revision: int64(s.Revision), List: []view.Change{catalog}}
	now := f.now()
	for _, t := range s.Targets {
		ch.List = append(ch.List, view.TargetChange{Target: targetOf(now, t)})
	}
	f.log.Info().Str("member", member).Int64("version", catalog.Catalog.Version).Int("revision", s.Revision).
		Msg("view: taken from a member")
	// Without changes to log: the line above stands for all of them.
	f.views.apply(view.Changes{}, func(now time.Time, v *view.View) *view.View {
		return v.WithSnapshot(now, ch, time.Time{})
	})
}
