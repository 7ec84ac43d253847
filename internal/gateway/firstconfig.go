package gateway

import (
	"context"
	"time"
)

// firstConfigWait is how long a request is held at a node that has just started and
// has no configuration yet. When the source answers, a node of 0.4 of a core has it some
// 20 ms after its start, and one of a fifth of a core among 295 that start together,
// with 365 targets, after 90 to 230 ms. With 100 ms such nodes refused 194 requests
// after a loss of power, each a client's only retry.
const firstConfigWait = 300 * time.Millisecond

// awaitFirstConfig holds a request until the node has a configuration, when that may
// come soon: while no call to the source has failed since the start, for at most
// firstConfigWait. It decides nothing else: a request that still finds no
// configuration is refused as not ready.
//
// Six nodes that started together refused six requests, each a client's only retry,
// 2 to 10 ms before their configuration came. Waiting for a source that is known to
// fail would only delay the refusal.
func (g *Gateway) awaitFirstConfig(ctx context.Context) {
	timer := time.NewTimer(firstConfigWait)
	defer timer.Stop()
	select {
	case <-g.views.configured:
	case <-g.health.firstFailure:
	case <-timer.C:
	case <-ctx.Done():
	}
}
