package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/reachability"
	"github.com/honeydyke/honeydyke/internal/message"
)

// TargetDialTimeout bounds connecting to a target, which accepts a connection within some
// milliseconds.
const TargetDialTimeout = 300 * time.Millisecond

// dialFunc connects to an address.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// targetPaths connects to targets. It implements delivery.Paths and owns the table of the
// targets that this node cannot reach.
type targetPaths struct {
	now     func() time.Time
	log     zerolog.Logger
	metrics *metrics
	dial    dialFunc

	mu    sync.Mutex
	table *reachability.Table
}

// Direct implements delivery.Paths.
func (p *targetPaths) Direct(ctx context.Context, t delivery.Target) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, TargetDialTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, "tcp", t.Address)
	switch {
	case err == nil:
		p.connected(t)
	case ctx.Err() == nil:
		p.failed(t, err)
	}
	return conn, err
}

func (p *targetPaths) connected(t delivery.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failure, failed := p.table.Connected(t.ID); failed {
		p.log.Info().Str("target", t.ID).Str("address", t.Address).Dur("after", p.now().Sub(failure.Since)).
			Msg("paths: target is reachable again")
		p.updateMetrics()
	}
}

func (p *targetPaths) failed(t delivery.Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Failed(p.now(), t.ID, err) {
		p.log.Warn().Str("target", t.ID).Str("address", t.Address).Err(err).Msg("paths: target cannot be reached from this node")
		p.updateMetrics()
	}
}

// prune drops the targets that have left.
func (p *targetPaths) prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Prune(func(id string) bool {
		_, known := d.Target(id)
		return known
	})
	p.updateMetrics()
}

func (p *targetPaths) updateMetrics() {
	p.metrics.unreachableTargets.Update(float64(len(p.table.Failures())))
}

// unreachable returns the targets that cannot be reached, for the state dump.
func (p *targetPaths) unreachable() []message.UnreachableTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	list := []message.UnreachableTarget{}
	for _, f := range p.table.Failures() {
		list = append(list, message.UnreachableTarget{Target: f.Target, SinceMs: int(now.Sub(f.Since).Milliseconds()), Error: f.Err})
	}
	return list
}
