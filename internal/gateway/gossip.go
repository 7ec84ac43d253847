package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// gossipInterval is how often a node exchanges with other members. The times of
	// package membership are multiples of it; half of it doubles the bytes.
	gossipInterval = 500 * time.Millisecond
	// gossipPartners is how many it exchanges with in a round: an eligible one and one at
	// random, which is what 300 members need to agree (membership.TestManyMembersAgree).
	gossipPartners = 2
	// gossipTimeout bounds one exchange; it ends before the next round begins. Not
	// measured.
	gossipTimeout = 400 * time.Millisecond
	// triggerDelay gathers changes before a triggered round: targets of a release change
	// together.
	triggerDelay = 50 * time.Millisecond
)

// gossiper exchanges with other members what is known of all of them, from time to
// time and at once when something changed. It reports this node's status. A member
// that does not answer costs nothing but the exchange: the roster drops it once its
// heartbeat stands still.
type gossiper struct {
	now      func() time.Time
	members  *members
	peers    *peerClient
	views    *viewKeeper
	health   *sourceHealth
	shutdown *shutdownState
	// quarantine knows the requests that end their targets, which members report to each other.
	quarantine *quarantine.Keeper
	// backpressure knows what targets ask for, which members report to each other too.
	backpressure *backpressure.Keeper
	log          zerolog.Logger
	// catchUpIfBehind catches up with a member that is ahead of this node.
	catchUpIfBehind func(context.Context)

	// triggered wakes the loop when there is something to report.
	triggered chan struct{}
}

// publishStatus sets what this node reports of itself.
func (g *gossiper) publishStatus() {
	v := g.views.load()
	g.members.setStatus(func() membership.Status {
		return membership.Status{
			Serving: v.Catalog != nil, Leaving: g.shutdown.begun(), ReachesSource: g.health.isReachable(g.now()),
			Version: v.CatalogVersion(), Revision: int64(v.Revision),
		}
	})
}

// run exchanges until ctx ends.
func (g *gossiper) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.triggered:
			// Its only error is the end of ctx, which ends the loop.
			_ = wait.For(ctx, triggerDelay)
		}
		g.round(ctx)
		timer.Reset(gossipInterval)
	}
}

// trigger has the next round begin at once.
func (g *gossiper) trigger() {
	select {
	case g.triggered <- struct{}{}:
	default:
	}
}

// round exchanges with some members. Before it, the view is brought to the present: a source
// in which nothing changes does not do that.
func (g *gossiper) round(ctx context.Context) {
	g.views.expire()
	g.publishStatus()
	for _, partner := range g.members.beginRound(gossipPartners) {
		go func() {
			g.exchange(ctx, partner)
			g.catchUpIfBehind(ctx)
		}()
	}
	g.catchUpIfBehind(ctx)
}

// exchange sends a member what is known of all members, merges what it knows, and
// says whether it answered. Why it did not is not logged: an address among the
// seeds may be without a node for long.
func (g *gossiper) exchange(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	in, err := g.peers.exchangeGossip(ctx, member, g.withReports(g.members.report()), g.members.readsCompact(member))
	if err != nil {
		return false
	}
	g.members.mergeReply(member, in)
	g.backpressure.Merge(member, in.Limits)
	g.mergeSuspects(ctx, member, in)
	return true
}

// reply merges what a member reported and returns what to answer.
func (g *gossiper) reply(in message.Gossip) message.Gossip {
	out := g.members.mergeAndReport(in)
	if len(in.Members) > 0 {
		g.quarantine.Merge(in.Members[0].Address, in.Suspects)
		g.backpressure.Merge(in.Members[0].Address, in.Limits)
	}
	return g.withReports(out)
}

// withReports adds what this node knows of requests that end their targets, and of targets'
// limits.
func (g *gossiper) withReports(out message.Gossip) message.Gossip {
	out.Suspects, out.HeldSum = g.quarantine.Recent()
	out.Limits = g.backpressure.Recent()
	return out
}

// mergeSuspects takes in what a member answered of requests that end their targets. When
// the two hold other requests, as after a start or a cut, this node asks for all.
func (g *gossiper) mergeSuspects(ctx context.Context, member string, in message.Gossip) {
	g.quarantine.Merge(member, in.Suspects)
	if !g.quarantine.Compare(in.HeldSum) {
		return
	}
	held, err := g.peers.fetchHeldRequests(ctx, member)
	if err != nil {
		g.log.Debug().Str("member", member).Err(err).Msg("quarantine: the member did not say what it holds")
		return
	}
	g.quarantine.Merge(member, held)
}

// triggerIfBehind has a round begin when a member turns out to be ahead of this node: at
// once when this node leaves the source to the readers, else when its own watch
// should have delivered the change.
func (g *gossiper) triggerIfBehind() {
	newest := g.members.aheadOf(g.views.load())
	switch {
	case newest.member == "":
	case newest.followsReaders:
		g.trigger()
	case !g.health.isBehind(g.now(), true, false):
		time.AfterFunc(behindAfter, g.trigger)
	}
}
