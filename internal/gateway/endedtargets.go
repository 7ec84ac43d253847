package gateway

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/delivery"
)

// sampledTargets is how many targets are tried to tell the failure of one from that of this node's
// paths.
const sampledTargets = 3

// HasEnded implements delivery.Paths. The process of a target has ended if its instance
// refuses connections. A broken path may look the same, so that another target must be
// reachable, if there is one, and no member may reach this one.
func (p *targetPaths) HasEnded(ctx context.Context, t delivery.Target) bool {
	if p.Broken(t) {
		conn, err := p.Detour(ctx, t)
		if err == nil {
			closeUnused(conn)
		}
		return errors.Is(err, errTargetRefused)
	}
	conn, err := p.Direct(ctx, t)
	if err == nil {
		closeUnused(conn)
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	reached := make(chan bool, 1)
	go func() { reached <- p.reachedByMember(ctx, t) }()
	return p.reachesAnother(ctx, t) && !<-reached
}

// reachedByMember reports whether a member connects to a target.
func (p *targetPaths) reachedByMember(ctx context.Context, t delivery.Target) bool {
	conn, err := p.Detour(ctx, t)
	if err == nil {
		closeUnused(conn)
	}
	return err == nil
}

// reachesAnother reports whether this node connects to another target than t. It is true if
// there is none.
func (p *targetPaths) reachesAnother(ctx context.Context, t delivery.Target) bool {
	others := p.sample(t.Address)
	return len(others) == 0 || p.reachesAny(ctx, others)
}

// reachesAny reports whether this node connects to one of some targets.
func (p *targetPaths) reachesAny(ctx context.Context, others []delivery.Target) bool {
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			conn, err := p.Direct(ctx, other)
			if err == nil {
				closeUnused(conn)
			}
			results <- err == nil
		}()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// sample returns some targets at other addresses than the given one, at random.
func (p *targetPaths) sample(except string) []delivery.Target {
	var others []delivery.Target
	for _, other := range p.views.load().Directory.All() {
		if len(others) == sampledTargets {
			break
		}
		if other.Address != except {
			others = append(others, delivery.Target{ID: other.ID, Address: other.Address})
		}
	}
	return others
}
