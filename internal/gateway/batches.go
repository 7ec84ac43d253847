package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// planTimeout bounds announcing a request's stages to their coordinators. The request
	// waits for it before admission. A coordinator that takes longer is overloaded or gone,
	// and the request continues without its backlog.
	planTimeout = 100 * time.Millisecond
	// maxCoordinatorAttempts bounds how many members one group is sent to before this node
	// runs it itself. Members with differing rosters converge within that many attempts.
	maxCoordinatorAttempts = 3
	// releaseTimeout bounds forwarding the release of results to a member and reporting the
	// end of a prefill. Nothing waits for either.
	releaseTimeout = time.Second
)

// batchRouter implements relay.Batcher. It routes groups of items, plans and releases to the
// member that coordinates their service, which may be this node. It has no state of its own.
// If a member does not answer, this node continues without the plan, releases the results
// itself, or sends the group to the next member.
type batchRouter struct {
	now     func() time.Time
	log     zerolog.Logger
	members *members
	peers   *peerClient
	local   *coordinators
	joiner  *joiner
	// exchange exchanges gossip with a member and reports whether it answered.
	exchange func(ctx context.Context, member string) bool
}

// Run implements relay.Batcher.
func (b *batchRouter) Run(ctx context.Context, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	for range maxCoordinatorAttempts {
		results, err := b.runAtCoordinator(ctx, service, group, inputsRead)
		if err == nil || !shouldReroute(err) || ctx.Err() != nil {
			return results, err
		}
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
func (b *batchRouter) Plan(ctx context.Context, request string, stages []relay.PlannedStage) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	backlogs := make([]time.Duration, len(stages))
	var remote sync.WaitGroup
	for member, indices := range b.groupByCoordinator(stages) {
		if member != "" {
			remote.Go(func() { b.planAt(ctx, member, request, stages, indices, backlogs) })
			continue
		}
		for _, i := range indices {
			backlogs[i] = b.local.plan(ctx, request, stages[i])
		}
	}
	remote.Wait()
	return backlogs
}

// planAt announces the stages with the given indices to the member that coordinates them and
// stores their backlogs. They stay 0, for unknown, if the member does not answer.
func (b *batchRouter) planAt(
	ctx context.Context, member, request string, stages []relay.PlannedStage, indices []int, backlogs []time.Duration,
) {
	estimates, err := b.peers.planStages(ctx, member, request, selectStages(stages, indices))
	if err != nil {
		b.log.Debug().Str("request", request).Str("member", member).Err(err).Msg("items: planning stages at a member failed")
		return
	}
	for k, i := range indices {
		backlogs[i] = estimates[k]
	}
}

// Cancel implements relay.Batcher.
func (b *batchRouter) Cancel(request string, stages []relay.PlannedStage) {
	for member, indices := range b.groupByCoordinator(stages) {
		if member != "" {
			go b.cancelAt(member, request, selectStages(stages, indices))
			continue
		}
		for _, i := range indices {
			b.local.cancel(request, stages[i])
		}
	}
}

// cancelAt cancels planned stages at the member that coordinates them. A plan that is not
// cancelled expires when its stage is past due.
func (b *batchRouter) cancelAt(member, request string, stages []relay.PlannedStage) {
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	if err := b.peers.cancelStages(ctx, member, request, stages); err != nil {
		b.log.Debug().Str("request", request).Str("member", member).Err(err).
			Msg("items: cancelling a plan at a member failed")
	}
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

// selectStages returns the stages with the given indices.
func selectStages(stages []relay.PlannedStage, indices []int) []relay.PlannedStage {
	selected := make([]relay.PlannedStage, len(indices))
	for k, i := range indices {
		selected[k] = stages[i]
	}
	return selected
}
