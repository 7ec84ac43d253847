package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// planTimeout bounds announcing a request's stages to their coordinators.
	planTimeout = relay.PlanTimeout
	// maxCoordinatorAttempts bounds how many members one group is sent to before this node
	// runs it itself. Members with differing rosters converge within that many attempts.
	maxCoordinatorAttempts = 3
	// releaseTimeout bounds forwarding the release of results to a member and reporting the
	// end of a prefill. Nothing waits for either.
	releaseTimeout = time.Second
)

// batchRouter implements relay.Batcher. It routes groups of items, plans and releases to the
// member that coordinates their service, which may be this node. It owns the queues of the plans
// and the lock that guards the list of them; there is one for each member that ever coordinated
// a service. If a member does not answer, this node continues without the plan, releases the
// results itself, or sends the group to the next member.
type batchRouter struct {
	now     func() time.Time
	log     zerolog.Logger
	members *members
	peers   *peerClient
	local   *coordinators
	joiner  *joiner
	// exchange exchanges gossip with a member and reports whether it answered.
	exchange func(ctx context.Context, member string) bool

	mu    sync.Mutex
	plans map[string]*planQueue
}

// Run implements relay.Batcher.
func (b *batchRouter) Run(ctx context.Context, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	for range maxCoordinatorAttempts {
		results, err := b.runAtCoordinator(ctx, service, group, inputsRead)
		if err == nil || !shouldReroute(err) || ctx.Err() != nil {
			return results, err
		}
		// Items of the group may have run at that coordinator, which the next one would not
		// know when it refuses the group as not run.
		group.WithdrawableUntil = time.Time{}
	}
	return b.local.run(ctx, service, group, inputsRead)
}

// runAtCoordinator runs a group at the member that coordinates the service according to this
// node's roster, which may be this node.
func (b *batchRouter) runAtCoordinator(ctx context.Context, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	member := b.members.remoteCoordinator(service)
	if member == "" {
		b.joiner.wait(ctx)
		member = b.members.remoteCoordinator(service)
	}
	if member == "" {
		return b.local.run(ctx, service, group, inputsRead)
	}
	results, err := b.runAt(ctx, member, service, group, inputsRead)
	if err != nil && shouldReroute(err) && err.Reason() != verdict.ReasonMoved && ctx.Err() == nil {
		b.log.Warn().Str("request", group.Request).Str("service", service).Str("member", member).Err(err).
			Msg("items: member lost or leaving, asking another")
		b.members.suspect(member)
	}
	return results, err
}

// shouldReroute decides whether a group that its coordinator did not run is sent to another
// member: if the coordinator is unreachable, is leaving, or no longer coordinates the
// service. Any other error concerns the group itself, so another member would return it too.
// A wrong yes runs items twice; a wrong no fails a request that could have been answered. See
// docs/decisions/0012-batches.md, "Failure".
func shouldReroute(err *verdict.Error) bool {
	switch err.Reason() {
	case verdict.ReasonConnection, verdict.ReasonLeaving, verdict.ReasonMoved:
		return true
	}
	return false
}

// Release implements relay.Batcher.
func (b *batchRouter) Release(service string, results []batching.Result) {
	if member := b.members.remoteCoordinator(service); member != "" {
		go b.releaseAt(member, service, results)
		return
	}
	b.local.release(service, results)
}

// releaseAt releases results at the member that coordinates a service. If the member does not
// answer, this node releases them itself.
func (b *batchRouter) releaseAt(member, service string, results []batching.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := b.peers.releaseResults(ctx, member, service, results); err != nil {
		b.log.Debug().Str("service", service).Str("member", member).Int("results", len(results)).Err(err).
			Msg("items: releasing results at a member failed, releasing locally")
		b.local.release(service, results)
	}
}

// Plan implements relay.Batcher.
func (b *batchRouter) Plan(ctx context.Context, p relay.PlanRequest) []relay.Quote {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	quotes := make([]relay.Quote, len(p.Stages))
	var all sync.WaitGroup
	for member, indices := range b.groupByCoordinator(p.Stages) {
		all.Go(func() {
			answers := b.planQueue(member).plan(ctx, selectStages(p, indices))
			for k, i := range indices {
				quotes[i] = relay.Quote{Backlog: relay.UnknownBacklog}
				if answers != nil {
					quotes[i] = answers[k]
				}
			}
		})
	}
	all.Wait()
	return quotes
}

// AwaitQuotes implements relay.Batcher.
func (b *batchRouter) AwaitQuotes(ctx context.Context, p relay.PlanRequest, quotes []relay.Quote) ([]relay.Quote, bool) {
	filled := slices.Clone(quotes)
	var all sync.WaitGroup
	for member, indices := range b.groupByCoordinator(p.Stages) {
		unknown := slices.DeleteFunc(indices, func(i int) bool { return !quotes[i].Unknown() })
		if len(unknown) == 0 {
			continue
		}
		all.Go(func() {
			late := b.planQueue(member).awaitLate(ctx, p.Request)
			for _, i := range unknown {
				// Another member may have coordinated the stage when its plan was sent.
				if quote, ok := late[keyOf(p.Stages[i])]; ok {
					filled[i] = quote
				}
			}
		})
	}
	all.Wait()
	return filled, !slices.ContainsFunc(filled, relay.Quote.Unknown)
}

// PlansWait implements relay.Batcher.
func (b *batchRouter) PlansWait(stages []relay.PlannedStage) bool {
	for member := range b.groupByCoordinator(stages) {
		if b.planQueue(member).full() {
			return true
		}
	}
	return false
}

// LeastBacklogs implements relay.Batcher.
func (b *batchRouter) LeastBacklogs(stages []relay.PlannedStage) []time.Duration {
	backlogs := make([]time.Duration, len(stages))
	for i, s := range stages {
		backlogs[i] = b.planQueue(b.members.remoteCoordinator(s.Service)).leastBacklog()
	}
	return backlogs
}

// Cancel implements relay.Batcher. A cancellation that is lost costs little: the plan expires
// when its stage is past due.
func (b *batchRouter) Cancel(p relay.PlanRequest, quotes []relay.Quote, reserve *relay.Reservation) {
	refusedAt := b.now()
	for member, indices := range b.groupByCoordinator(p.Stages) {
		// A member answers all stages of a request or none.
		answered := !quotes[indices[0]].Unknown()
		b.planQueue(member).cancel(requestPlan{PlanRequest: selectStages(p, indices), reserve: reserve, refusedAt: refusedAt}, answered)
	}
}

// planQueue returns the queue of the plans for a member; the empty address stands for this
// node, whose own plans are held back like those of others.
func (b *batchRouter) planQueue(member string) *planQueue {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.plans[member]
	if q == nil {
		send := func(ctx context.Context, plans []requestPlan) ([][]relay.Quote, error) {
			if member == "" {
				return b.local.plan(ctx, plans)
			}
			return b.peers.sendPlans(ctx, member, plans)
		}
		if b.plans == nil {
			b.plans = map[string]*planQueue{}
		}
		q = newPlanQueue(b.now, b.log.With().Str("member", member).Logger(), send)
		b.plans[member] = q
	}
	return q
}

// groupByCoordinator groups the indices of stages by the member that coordinates their
// service. The empty address stands for this node.
func (b *batchRouter) groupByCoordinator(stages []relay.PlannedStage) map[string][]int {
	indices := make(map[string][]int)
	for i, s := range stages {
		member := b.members.remoteCoordinator(s.Service)
		indices[member] = append(indices[member], i)
	}
	return indices
}

// selectStages returns an announcement of the stages with the given indices alone.
func selectStages(p relay.PlanRequest, indices []int) relay.PlanRequest {
	selected := make([]relay.PlannedStage, len(indices))
	for k, i := range indices {
		selected[k] = p.Stages[i]
	}
	p.Stages = selected
	return p
}
