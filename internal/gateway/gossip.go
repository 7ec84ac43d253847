package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// gossipInterval is the time between two gossip rounds. The timeouts of package
	// membership are multiples of it. Half the interval doubles the traffic.
	gossipInterval = 500 * time.Millisecond
	// gossipPartners is how many members a node exchanges gossip with per round: an eligible
	// one and a random one, which is what 300 members need to agree
	// (membership.TestManyMembersAgree).
	gossipPartners = 2
	// gossipTimeout bounds one exchange, so that it ends before the next round starts.
	gossipTimeout = 400 * time.Millisecond
	// triggerDelay is how long changes are collected before a triggered round, since the
	// targets of a rollout change together.
	triggerDelay = 50 * time.Millisecond
)

// gossiper exchanges what is known of all members with other members, periodically and at
// once when something changes, and reports this node's status. A member that does not answer
// costs only the exchange: the roster drops it once its heartbeat stops rising.
type gossiper struct {
	now      func() time.Time
	members  *members
	peers    *peerClient
	views    *viewKeeper
	health   *sourceHealth
	shutdown *shutdownState
	// quarantine holds the requests that crash their targets, which members report to each
	// other.
	quarantine *quarantine.Tracker
	// parts holds the parts of prompts that crash their targets.
	parts *quarantine.Tracker
	// backpressure holds the limits that targets ask for, which members report to each other
	// too.
	backpressure *backpressure.Tracker
	// streams holds where streams began, of which the expired are dropped each round.
	streams *streamOrigins
	// isolated returns a context that is done while this node reaches no target in any way.
	isolated func() context.Context
	// busy reports whether this node lately had more work than it can do.
	busy func() bool
	// retriesSpent returns what this node spent of the retry budget within its window.
	retriesSpent func() retrybudget.Spent
	metrics      *metrics
	log          zerolog.Logger
	// catchUpIfBehind catches up with a member that is ahead of this node.
	catchUpIfBehind func(context.Context)

	// triggered wakes the loop when there is something to report.
	triggered chan struct{}
}

// publishStatus updates the status that this node reports.
func (g *gossiper) publishStatus() {
	age, v := g.agedView()
	// Read first: the budget takes the lock of the members, which setStatus holds.
	spent := g.retriesSpent()
	g.members.setStatus(func() membership.Status {
		return membership.Status{
			Serving: v.Catalog != nil && g.isolated().Err() == nil, Leaving: g.shutdown.begun(), ReachesSource: g.health.isReachable(g.now()),
			Version: v.CatalogVersion(), Revision: int64(v.Revision), Spent: spent, Busy: g.busy(),
			ViewAgeMs: ceilMs(age),
		}
	})
}

// agedView returns the view and its age to report; 0 without a configuration, as no stream begins
// then. The age is read first: the view may be newer than it says, never older.
func (g *gossiper) agedView() (age time.Duration, v *view.View) {
	age, v = g.health.age.reported(g.now()), g.views.load()
	if v.Catalog == nil {
		age = 0
	}
	return age, v
}

// withView returns the report of this node with its present view and the age of that, which is up to a
// round older in the status: the member that asked dates its own view by it.
func (g *gossiper) withView(self message.GossipMember) message.GossipMember {
	age, v := g.agedView()
	self.Version, self.Revision, self.ViewAgeMs = int(v.CatalogVersion()), int(v.Revision), ceilMs(age)
	return self
}

// run runs gossip rounds until ctx is done.
func (g *gossiper) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.triggered:
			// It fails only when ctx is done, which ends the loop.
			_ = wait.For(ctx, triggerDelay)
		}
		g.round(ctx)
		timer.Reset(gossipInterval)
	}
}

// trigger starts the next round after triggerDelay instead of gossipInterval.
func (g *gossiper) trigger() {
	select {
	case g.triggered <- struct{}{}:
	default:
	}
}

// round exchanges gossip with some members. It first expires what is outdated in the view,
// since a source without changes does not cause that.
func (g *gossiper) round(ctx context.Context) {
	g.views.expire()
	g.streams.prune()
	g.publishStatus()
	for _, partner := range g.members.beginRound(gossipPartners) {
		go func() {
			g.exchange(ctx, partner)
			g.catchUpIfBehind(ctx)
		}()
	}
	g.catchUpIfBehind(ctx)
}

// exchange sends a member what is known of all members, merges the answer, and reports
// whether the member answered. Failures are not logged: a seed address may be without a node
// for long.
func (g *gossiper) exchange(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	sent, v := g.now(), g.views.load()
	in, err := g.peers.exchangeGossip(ctx, member, g.withReports(g.members.report()), g.members.readsCompact(member))
	if err != nil {
		g.metrics.gossipUnanswered.Inc(1)
		return false
	}
	g.members.mergeReply(member, in)
	if len(in.Members) > 0 {
		g.health.age.confirmByMember(g.now(), sent, in.Members[0], v.CatalogVersion(), int64(v.Revision))
	}
	g.backpressure.Merge(member, in.Limits)
	g.mergeSuspects(ctx, member, in)
	return true
}

// reply merges a member's report and returns the answer to it.
func (g *gossiper) reply(in message.Gossip) message.Gossip {
	out := g.members.mergeAndReport(in)
	out.Members[0] = g.withView(out.Members[0])
	if len(in.Members) > 0 {
		g.quarantine.Merge(in.Members[0].Address, in.Suspects)
		g.parts.Merge(in.Members[0].Address, in.Parts)
		g.backpressure.Merge(in.Members[0].Address, in.Limits)
	}
	return g.withReports(out)
}

// withReports adds what this node knows of requests that crash their targets and of the
// targets' limits.
func (g *gossiper) withReports(out message.Gossip) message.Gossip {
	out.Suspects, out.HeldSum = g.quarantine.Recent()
	out.Parts, out.PartsSum = g.parts.Recent()
	out.Limits = g.backpressure.RecentLimits()
	return out
}

// mergeSuspects merges a member's report of requests and parts of prompts that crash their
// targets. If the two nodes hold different ones, as after a start or a partition, this node
// fetches all that the member holds.
func (g *gossiper) mergeSuspects(ctx context.Context, member string, in message.Gossip) {
	g.quarantine.Merge(member, in.Suspects)
	g.parts.Merge(member, in.Parts)
	requests, parts := g.quarantine.NeedsSync(in.HeldSum), g.parts.NeedsSync(in.PartsSum)
	if !requests && !parts {
		return
	}
	held, err := g.peers.fetchHeldRequests(ctx, member)
	if err != nil {
		g.log.Debug().Str("member", member).Err(err).Msg("quarantine: fetching a member's held requests failed")
		return
	}
	g.quarantine.Merge(member, held.Requests)
	g.parts.Merge(member, held.Parts)
}

// triggerIfBehind triggers a round when a member turns out to be ahead of this node: at once
// if this node leaves the source to the readers, otherwise when its own watch should have
// returned the change.
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
