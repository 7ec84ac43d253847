package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// confinedBatches implements relay.Batcher for requests that must stay in some regions:
// this node runs their items itself, and no member hears of them. It owns no state.
type confinedBatches struct{ local *coordinators }

// Run implements relay.Batcher. A group that was handed back because another member
// coordinates the service from now on stays here.
func (b *confinedBatches) Run(ctx context.Context, service string, g relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	results, err := b.local.run(ctx, service, g, inputsRead)
	if err != nil && err.Reason() == verdict.ReasonMoved && ctx.Err() == nil {
		return b.local.run(ctx, service, g, inputsRead)
	}
	return results, err
}

// Release implements relay.Batcher.
func (b *confinedBatches) Release(service string, results []batching.Result) {
	b.local.release(service, results)
}

// Plan implements relay.Batcher.
func (b *confinedBatches) Plan(ctx context.Context, request string, stages []relay.PlannedStage) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	backlogs := make([]time.Duration, len(stages))
	for i, s := range stages {
		backlogs[i] = b.local.plan(ctx, request, s)
	}
	return backlogs
}

// Cancel implements relay.Batcher.
func (b *confinedBatches) Cancel(request string, stages []relay.PlannedStage) {
	for _, s := range stages {
		b.local.cancel(request, s)
	}
}
