package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// deltaTimeout bounds asking a member for what changed.
const deltaTimeout = 1500 * time.Millisecond

// catchUp takes over what a member knows beyond this node. A node that leaves the
// source to others reads a new configuration there all the same: the links
// between members may be too slow for many to pass it on.
func (g *Gateway) catchUp(ctx context.Context, newest ahead) {
	v := g.view.Load()
	newCatalog := int64(newest.version) > v.Version()
	if newest.followsReaders && newCatalog {
		if err := g.readChanges(ctx, probeWait, newCatalogSlack); err == nil {
			return
		}
	}
	limit := answerTimeout
	if !newCatalog {
		limit = deltaTimeout
	}
	g.askView(ctx, newest.member, limit)
}

// askView asks a member for what it knows beyond this node.
func (g *Gateway) askView(ctx context.Context, member string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	v := g.view.Load()
	snapshot, err := g.peers.viewAtMember(ctx, member, v.Revision, v.Version())
	if err != nil {
		return
	}
	if isDelta(snapshot) {
		g.takeDelta(member, snapshot)
		return
	}
	g.takeView(member, snapshot)
}

// takeDelta takes in what changed at a member.
func (g *Gateway) takeDelta(from string, s message.ViewSnapshot) {
	d := deltaOf(g.now(), s)
	ch := view.Changes{Revision: d.Revision}
	for _, t := range d.Targets {
		ch.List = append(ch.List, view.TargetChange{Target: t})
	}
	for _, id := range d.Gone {
		ch.List = append(ch.List, view.TargetGone{ID: id})
	}
	g.log.Info().Str("member", from).Int("since", s.Since).Int("revision", s.Revision).Msg("view: changes told by a member")
	g.apply(ch, func(_ time.Time, v *view.View, _ time.Time) *view.View { return v.WithDelta(d) })
}

// takeView takes in all that a member knows.
func (g *Gateway) takeView(from string, s message.ViewSnapshot) {
	ch := view.Changes{Revision: int64(s.Revision)}
	document, err := documentOf(s)
	if err != nil {
		return
	}
	catalog, err := g.ports.Source.Decode(document)
	if err != nil {
		g.log.Error().Str("member", from).Err(err).Msg("view: a member's configuration was refused")
		return
	}
	ch.List = append(ch.List, catalog)
	now := g.now()
	for _, t := range s.Targets {
		ch.List = append(ch.List, view.TargetChange{Target: targetOf(now, t)})
	}
	g.log.Info().Str("member", from).Int64("version", catalog.Catalog.Version).Int("revision", s.Revision).Msg("view: taken from a member")
	g.apply(view.Changes{}, func(now time.Time, v *view.View, _ time.Time) *view.View { return v.WithSnapshot(now, ch, time.Time{}) })
}

func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	v := g.view.Load()
	if v.Catalog == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	now := g.now()
	since, _ := strconv.ParseInt(r.FormValue(paramSince), 10, 64)
	if r.FormValue(paramVersion) == strconv.FormatInt(v.Version(), 10) && since > 0 {
		if d, known := v.DeltaSince(since); known {
			writeMessage(w, deltaMessage(now, d))
			return
		}
	}
	writeMessage(w, snapshotMessage(now, v))
}
