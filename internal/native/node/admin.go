package node

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// neverReceived is the age, in milliseconds, that the state dump gives for a peer
// that has sent nothing yet.
const neverReceived = -1

// admin answers operators and the balancer. It only reads: nothing on a live
// instance can be changed by hand.
type admin struct {
	// address and dataCentre are this node's.
	address     string
	dataCentre  string
	incarnation *incarnation
	gate        *gate
	tickets     *tickets
	bundles     *bundles
	members     *members
	traffic     *controlTraffic
	metrics     *metrics
	log         zerolog.Logger
}

func (a *admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathMetrics, a.metrics.handler)
	mux.HandleFunc("GET "+wire.PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, a.state()) })
	mux.HandleFunc("GET "+wire.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+wire.PathReady, a.serveReady)
	return mux
}

// serveReady answers the balancer whether to send work here.
func (a *admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if phase := a.incarnation.currentPhase(); phase != Serving {
		http.Error(w, phase.String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// state describes what the node knows and holds. Parts that their owners do not
// give in time are missing, with a log line.
func (a *admin) state() message.StateDump {
	g := a.gate.state()
	running, spent := a.tickets.counts()
	dump := message.StateDump{
		Node: a.address, Incarnation: a.incarnation.id, DataCentre: a.dataCentre,
		Phase: message.StateDumpPhase(a.incarnation.currentPhase().String()), InFlight: g.inFlight, Held: g.held,
		ControlBytes: int(a.traffic.bytes.Load()), Targets: g.targets, Organisations: g.organisations,
		Tickets: message.TicketState{Running: running, Spent: spent},
	}
	a.describeBundle(&dump)
	dump.Peers = a.peers()
	return dump
}

func (a *admin) describeBundle(dump *message.StateDump) {
	b, err := a.bundles.describe()
	if err != nil {
		a.log.Warn().Err(err).Msg("node: the state dump has no bundle")
		return
	}
	if plan := b.state.InForce(); plan != nil {
		dump.Bundle = plan.Number()
		dump.Digest = plan.Digest()
		dump.BundleAgeMs = int(a.incarnation.now().Sub(b.state.Confirmed()).Milliseconds())
	}
}

func (a *admin) peers() []message.PeerState {
	states := []message.PeerState{}
	view, err := a.members.view()
	if err != nil {
		a.log.Warn().Err(err).Msg("node: the state dump has no peers")
		return states
	}
	for _, p := range view.Peers() {
		s := message.PeerState{Address: p.Address, Incarnation: p.Incarnation, Bundle: p.Bundle, Leaving: p.Leaving, AgeMs: neverReceived}
		if !p.LastExchange.IsZero() {
			s.AgeMs = int(a.incarnation.now().Sub(p.LastExchange).Milliseconds())
		}
		states = append(states, s)
	}
	return states
}
