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
	v := g.views.load()
	s := message.GatewayState{
		Node: g.PeerAddress(), DataCentre: g.cfg.DataCentre, Phase: g.phase(),
		Version: int(v.Version()), Revision: int(v.Revision), SourceAgeMs: g.health.ageMs(g.now()), InFlight: int(g.inflight.Load()),
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
	case g.departure.begun():
		return message.GatewayStatePhaseLeaving
	case g.Serving():
		return message.GatewayStatePhaseServing
	}
	return message.GatewayStatePhaseStarting
}
