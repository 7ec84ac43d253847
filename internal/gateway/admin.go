package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// stateTimeout bounds collecting the state dump, which asks every coordinator. A busy
// coordinator answers within milliseconds.
const stateTimeout = time.Second

// adminServer serves readiness, the state dump and metrics to operators and the load
// balancer. It is read-only.
type adminServer struct {
	now          func() time.Time
	dataCentre   string
	views        *viewKeeper
	health       *sourceHealth
	members      *members
	shutdown     *shutdownState
	callers      *callerServer
	coordinators *coordinators
	metrics      *metrics
	quarantine   *quarantine.Tracker
	parts        *quarantine.Tracker
	backpressure *backpressure.Tracker
	speeds       *targetSpeeds
	paths        *targetPaths
	bodies       *requestbodies.Budget
	answers      *answers.Pool
}

func (s *adminServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathMetrics, s.metrics.handler)
	mux.HandleFunc("GET "+wire.PathReady, s.serveReady)
	mux.HandleFunc("GET "+wire.PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.state()) })
	return mux
}

func (s *adminServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.phase() != message.GatewayStatePhaseServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// phase returns whether the node is starting, serving or leaving.
func (s *adminServer) phase() message.GatewayStatePhase {
	switch {
	case s.shutdown.begun():
		return message.GatewayStatePhaseLeaving
	case s.views.load().Catalog != nil:
		return message.GatewayStatePhaseServing
	}
	return message.GatewayStatePhaseStarting
}

// state returns a dump of the node's state.
func (s *adminServer) state() message.GatewayState {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	v := s.views.load()
	state := message.GatewayState{
		Node: s.members.self, DataCentre: s.dataCentre, Phase: s.phase(),
		Version: int(v.CatalogVersion()), Revision: int(v.Revision), SourceAgeMs: s.health.ageMs(s.now()), InFlight: int(s.callers.inFlight.Load()),
		Targets: encodeTargets(s.now(), v.Directory), Services: []message.BatchState{}, Members: s.members.list(),
		Evacuations: describeEvacuations(s.now(), v.Evacuations), Held: s.quarantine.HeldRequests(), HeldParts: s.parts.HeldRequests(),
		Limits: s.backpressure.Limits(), Holds: s.backpressure.Holds(), Speeds: s.speeds.list(ctx),
		Unreachable: s.paths.unreachable(), Memory: s.memory(), ConfigFaults: encodeConfigFaults(v.Catalog),
	}
	batches := s.coordinators.states(ctx)
	for _, service := range slices.Sorted(maps.Keys(batches)) {
		state.Services = append(state.Services, encodeBatchState(service, batches[service]))
	}
	return state
}

// encodeConfigFaults returns the faults of a configuration, nil for none.
func encodeConfigFaults(c *catalog.Catalog) []message.ConfigFault {
	list := []message.ConfigFault{}
	if c == nil {
		return list
	}
	for _, f := range c.Faults() {
		list = append(list, message.ConfigFault{Part: f.Part, Name: f.Name, Place: f.Place, Why: f.Why, Refused: f.Refused})
	}
	return list
}

// memory returns what the bodies of requests and the answers take.
func (s *adminServer) memory() *message.MemoryBudgets {
	bodies := s.bodies.State()
	used, limit := s.answers.State()
	return &message.MemoryBudgets{
		RequestBytes: int(bodies.Held), RequestLimit: int(bodies.Most), Requests: bodies.Bodies, Reading: bodies.Reading,
		AnswerBytes: int(used), AnswerLimit: int(limit),
	}
}

// describeEvacuations returns the evacuations with what is not sent to members: when this
// node learned of each and from whom.
func describeEvacuations(now time.Time, evacuations view.Evacuations) []message.ViewEvacuation {
	known := evacuations.All()
	list := encodeEvacuations(now, known)
	for i, e := range known {
		list[i].From, list[i].AgeMs = e.From, int(now.Sub(e.Since).Milliseconds())
	}
	return list
}

func encodeBatchState(service string, b serviceState) message.BatchState {
	state := message.BatchState{
		Service: service, Waiting: b.Waiting, Planned: b.Planned, Late: b.PastDue, Working: b.Busy, Targets: b.Targets,
		HeldBytes: int(b.UsedBytes), RoomBytes: int(b.MemoryBytes), PerSecond: b.ItemsPerSecond, BacklogMs: int(b.Backlog.Milliseconds()),
		Calls: int(b.Batches), Items: int(b.Items), Repeats: int(b.Retries), Expired: int(b.Expired), Refused: int(b.Refused), Withdrawn: int(b.Withdrawn),
		ArrivalsPerSecond: b.ArrivalsPerSecond, Reservations: encodeReservations(b.reservations),
		SharePerSecond: b.shares.Level, OverShare: encodeOverShare(b.shares.Over),
	}
	for _, w := range b.Ahead {
		state.Ahead = append(state.Ahead, message.PriorityWork{Priority: w.Priority, Items: w.Items, Bytes: int(w.Bytes)})
	}
	return state
}
