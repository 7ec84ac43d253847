package gateway

import (
	"context"
	"encoding/base64"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// Parameters of a member's question for what another knows.
const (
	// paramSince is the revision since which the one who asks wants the changes.
	paramSince = "since"
	// paramVersion is the version that the one who asks knows.
	paramVersion = "version"
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
	query := url.Values{
		paramSince: {strconv.FormatInt(v.Revision, 10)}, paramVersion: {strconv.FormatInt(v.Version(), 10)},
	}
	var snapshot message.ViewSnapshot
	if err := g.call(ctx, http.MethodGet, member, wire.PathView+"?"+query.Encode(), nil, &snapshot); err != nil {
		return
	}
	if snapshot.Since > 0 {
		g.takeDelta(member, snapshot)
		return
	}
	g.takeView(member, snapshot)
}

// takeDelta takes in what changed at a member.
func (g *Gateway) takeDelta(from string, s message.ViewSnapshot) {
	now := g.now()
	d := view.Delta{Since: int64(s.Since), Revision: int64(s.Revision), Gone: s.Gone}
	ch := view.Changes{Revision: d.Revision}
	for _, t := range s.Targets {
		target := targetOf(now, t)
		d.Targets = append(d.Targets, target)
		ch.List = append(ch.List, view.TargetChange{Target: target})
	}
	for _, id := range s.Gone {
		ch.List = append(ch.List, view.TargetGone{ID: id})
	}
	g.log.Info().Str("member", from).Int("since", s.Since).Int("revision", s.Revision).Msg("view: changes told by a member")
	g.apply(ch, func(_ time.Time, v *view.View, _ time.Time) *view.View { return v.WithDelta(d) })
}

// takeView takes in all that a member knows.
func (g *Gateway) takeView(from string, s message.ViewSnapshot) {
	ch := view.Changes{Revision: int64(s.Revision)}
	document, err := base64.StdEncoding.DecodeString(s.Document)
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

// targetOf reads a target that a member told of.
func targetOf(now time.Time, t message.ViewTarget) directory.Target {
	target := directory.Target{ID: t.Id, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots}
	switch {
	case t.Draining:
		target.State = directory.Draining
	case t.LapsesMs > 0:
		target.State = directory.Lapsed
		target.LapsesAt = now.Add(time.Duration(t.LapsesMs) * time.Millisecond)
	}
	return target
}

// viewTarget describes a target to a member. One that has lapsed and is about to
// be given up is told with the shortest time there is.
func viewTarget(now time.Time, t directory.Target) message.ViewTarget {
	m := message.ViewTarget{
		Id: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots,
		Draining: t.State == directory.Draining,
	}
	if t.State == directory.Lapsed {
		m.LapsesMs = max(int(t.LapsesAt.Sub(now).Milliseconds()), 1)
	}
	return m
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
	writeMessage(w, message.ViewSnapshot{
		Revision: int(v.Revision), Document: base64.StdEncoding.EncodeToString(v.Document), Targets: targetsOf(now, v.Directory),
	})
}

func deltaMessage(now time.Time, d view.Delta) message.ViewSnapshot {
	m := message.ViewSnapshot{Since: int(d.Since), Revision: int(d.Revision), Targets: []message.ViewTarget{}, Gone: d.Gone}
	for _, t := range d.Targets {
		m.Targets = append(m.Targets, viewTarget(now, t))
	}
	return m
}
