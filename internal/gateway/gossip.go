package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// gossipInterval is how often a node talks to other members.
	gossipInterval = 500 * time.Millisecond
	// gossipPartners is how many it talks to.
	gossipPartners = 2
	// gossipTimeout bounds one exchange.
	gossipTimeout = 400 * time.Millisecond
	// newsPause gathers news before members are told.
	newsPause = 50 * time.Millisecond
)

// publishStatus sets what this node reports of itself.
func (g *Gateway) publishStatus() {
	v := g.view.Load()
	g.members.setStatus(func() membership.Status {
		return membership.Status{
			Serving: v.Catalog != nil, Leaving: g.leaving.Load(), ReachesSource: g.source.hears(g.now()),
			Version: v.Version(), Revision: v.Revision,
		}
	})
}

// gossip talks to other members until ctx ends: from time to time, and at once
// when there is news.
func (g *Gateway) gossip(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.news:
			pause(ctx, newsPause)
		}
		g.talk(ctx)
		timer.Reset(gossipInterval)
	}
}

// spread has the members told of news.
func (g *Gateway) spread() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// talk exchanges with some members.
func (g *Gateway) talk(ctx context.Context) {
	g.publishStatus()
	for _, p := range g.members.beginRound(gossipPartners) {
		go func() {
			g.exchange(ctx, p)
			g.checkBehind(ctx)
		}()
	}
	g.checkBehind(ctx)
}

// exchange tells a member what is known of all members and hears what it knows.
func (g *Gateway) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	in, err := g.peers.gossipAtMember(ctx, address, g.members.gossip())
	if err != nil {
		return false
	}
	g.members.mergeFrom(address, in)
	return true
}

func (g *Gateway) serveGossip(w http.ResponseWriter, r *http.Request) {
	var in message.Gossip
	if !readMessage(w, r, &in) {
		return
	}
	writeMessage(w, g.members.exchange(in))
	newest := g.members.aheadOf(g.view.Load())
	switch {
	case newest.member == "":
	case newest.followsReaders:
		g.spread()
	case !g.source.behind(g.now(), true, false):
		time.AfterFunc(newsTakes, g.spread)
	}
}
