package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// describeTimeout bounds describing the node.
const describeTimeout = time.Second

// State describes what the node knows and holds.
func (g *Gateway) State() message.GatewayState {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	v := g.view.Load()
	s := message.GatewayState{
		Node: g.PeerAddress(), DataCentre: g.cfg.DataCentre, Phase: g.phase(),
		Version: int(v.Version()), Revision: int(v.Revision), SourceAgeMs: g.sourceAge(), InFlight: int(g.inflight.Load()),
		Targets: targetMessages(g.now(), v.Directory), Services: []message.BatchState{},
	}
	s.Members = g.members.list()
	states := g.batches.states(ctx)
	for _, service := range slices.Sorted(maps.Keys(states)) {
		b := states[service]
		s.Services = append(s.Services, message.BatchState{
			Service: service, Waiting: b.Waiting, Planned: b.Planned, Late: b.PastDue, Working: b.Busy, Targets: b.Targets,
			HeldBytes: int(b.UsedBytes), RoomBytes: int(b.MemoryBytes), PerSecond: b.ItemsPerSecond, BacklogMs: int(b.Backlog.Milliseconds()),
			Calls: int(b.Batches), Items: int(b.Items), Repeats: int(b.Retries), Expired: int(b.Expired), Refused: int(b.Refused),
		})
	}
	return s
}

func (g *Gateway) phase() message.GatewayStatePhase {
	switch {
	case g.leaving.Load():
		return message.GatewayStatePhaseLeaving
	case g.Serving():
		return message.GatewayStatePhaseServing
	}
	return message.GatewayStatePhaseStarting
}

// sourceAge returns the milliseconds since the source was heard; -1 for never.
func (g *Gateway) sourceAge() int {
	g.source.mu.Lock()
	defer g.source.mu.Unlock()
	if g.source.heard.IsZero() {
		return -1
	}
	return int(g.now().Sub(g.source.heard).Milliseconds())
}
