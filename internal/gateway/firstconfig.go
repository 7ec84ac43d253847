package gateway

import (
	"context"
	"time"
)

// firstConfigWait is how long a request is held at a node that has just started and has no
// configuration yet. If the source answers, a node with 0.4 of a core has one about 20 ms
// after its start. A node with a fifth of a core, one of 295 that start together with 365
// targets, has one after 90 to 230 ms. With 100 ms, such nodes refused 194 requests after a
// power loss, each of them its client's only retry.
const firstConfigWait = 300 * time.Millisecond

// awaitFirstConfig holds a request until the node has a configuration, for at most
// firstConfigWait and only while no call to the source has failed since the start. A request
// that still finds no configuration is refused as not ready.
//
// Without it, six nodes that started together refused six requests, each of them its client's
// only retry, 2 to 10 ms before their configuration arrived. Waiting for a source that is
// known to fail would only delay the refusal.
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
