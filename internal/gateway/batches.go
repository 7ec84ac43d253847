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
	// planTimeout bounds announcing a request's stages to their coordinators, which the
	// request waits for before it is admitted: a coordinator that takes longer is
	// overloaded or gone, and the request goes on without its backlog.
	planTimeout = 100 * time.Millisecond
	// maxCoordinatorAttempts bounds the members that one group is handed to before this node runs
	// it itself: members that are wrong about each other settle within that many.
	maxCoordinatorAttempts = 3
	// releaseTimeout bounds passing results that are to be released to a member, and
	// reporting the end of a prefill. Nobody waits for either.
	releaseTimeout = time.Second
)

// batchRouter implements relay.Batcher: it routes groups of items, plans and releases to
// the member that coordinates their service, which may be this node. It owns no
// state. When a member does not answer, this node does without the plan, releases
// the results itself, and hands the group to the next member.
type batchRouter struct {
	now     func() time.Time
	log     zerolog.Logger
	members *members
	peers   *peerClient
	local   *coordinators
	joiner  *joiner
	// exchange gossips with a member and says whether it answered.
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

// runAtCoordinator has the member run a group that coordinates the service by what
// this node knows, which may be this node.
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

// shouldReroute decides whether a group that its coordinator did not run goes to
// another one: when the member cannot be reached, is leaving, or no longer coordinates
// the service. Any other error is about the group, so another member would give it
// too. A wrong yes runs items twice; a wrong no fails a request that could have been
// answered. See docs/decisions/0012-batches.md, "Failure".
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

// releaseAt has the member that coordinates a service release results. When it does
// not answer, this node releases them itself.
func (b *batchRouter) releaseAt(member, service string, results []batching.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := b.peers.releaseResults(ctx, member, service, results); err != nil {
		b.log.Debug().Str("service", service).Str("member", member).Int("results", len(results)).Err(err).
			Msg("items: member took no releases, releasing locally")
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

// planAt announces the stages of the given numbers to the member that coordinates
// them and notes their backlogs; they stay 0, for unknown, when it does not answer.
func (b *batchRouter) planAt(
	ctx context.Context, member, request string, stages []relay.PlannedStage, indices []int, backlogs []time.Duration,
) {
	estimates, err := b.peers.planStages(ctx, member, request, selectStages(stages, indices))
	if err != nil {
		b.log.Debug().Str("request", request).Str("member", member).Err(err).Msg("items: no backlog from a member")
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

// cancelAt withdraws planned stages from the member that coordinates them. A plan
// that stays there ends by itself when its stage is past due.
func (b *batchRouter) cancelAt(member, request string, stages []relay.PlannedStage) {
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	if err := b.peers.cancelStages(ctx, member, request, stages); err != nil {
		b.log.Debug().Str("request", request).Str("member", member).Err(err).
			Msg("items: a plan was not withdrawn at a member")
	}
}

// groupByCoordinator groups the numbers of stages by the member that coordinates their
// service; those of this node are under the empty address.
func (b *batchRouter) groupByCoordinator(stages []relay.PlannedStage) map[string][]int {
	indices := make(map[string][]int)
	for i, s := range stages {
		member := b.members.remoteCoordinator(s.Service)
		indices[member] = append(indices[member], i)
	}
	return indices
}

// selectStages returns the stages of the given numbers.
func selectStages(stages []relay.PlannedStage, indices []int) []relay.PlannedStage {
	selected := make([]relay.PlannedStage, len(indices))
	for k, i := range indices {
		selected[k] = stages[i]
	}
	return selected
}
