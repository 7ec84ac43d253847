package gateway

import (
	"context"
)

// findIsolation finds out whether this node reaches no target in any way: if it does not
// connect to a sample of targets, and no member connects to the first of them.
func (p *targetPaths) findIsolation(ctx context.Context) {
	triedAt := p.now()
	sample := p.sample("")
	if len(sample) == 0 || p.reachesAny(ctx, sample) || p.reachedByMember(ctx, sample[0]) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetIsolated(triedAt)
	p.changed()
}

func (p *targetPaths) mayBeIsolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.MayBeIsolated()
}

// isolated returns a context that is done while this node reaches no target in any way.
func (p *targetPaths) isolated() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolation
}

// updateIsolation ends the context of isolated when an isolation begins, and renews it when
// one ends. The caller must hold the lock.
func (p *targetPaths) updateIsolation() {
	isolated := p.table.Isolated()
	if isolated == (p.isolation.Err() != nil) {
		return
	}
	if isolated {
		p.log.Warn().Msg("paths: neither this node nor a member reaches a target, refusing requests")
		p.setIsolation()
	} else {
		p.log.Info().Msg("paths: a target can be reached again, accepting requests")
		p.isolation, p.setIsolation = context.WithCancel(context.Background())
	}
	go p.onIsolation()
}
