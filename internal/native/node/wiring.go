package node

import (
	"net/http"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// wiring connects the parts of a node while New creates it. It holds what more
// than one part uses.
type wiring struct {
	options

	cfg         *settings.Settings
	servers     *servers
	traffic     *controlTraffic
	incarnation *incarnation
	ids         *identities
	metrics     *metrics
	pause       *pauseDetector
	gate        *gate
	bundles     *bundles
	members     *members
	tls         *tlsConfigs
	delivery    *delivery.Client
	tickets     *tickets
	peers       *peerClient
}

func newWiring(cfg *settings.Settings, o options, s *servers, traffic *controlTraffic) *wiring {
	inc := newIncarnation(o.now)
	return &wiring{
		options:     o,
		cfg:         cfg,
		servers:     s,
		traffic:     traffic,
		incarnation: inc,
		ids:         &identities{incarnation: inc.id},
		metrics:     newMetrics(),
		pause:       &pauseDetector{age: inc.age},
		gate: newGate(admission.Config{
			DataCentre: cfg.DataCentre, Policy: o.policy, Seed: routing.Hash(inc.id), NeverRefuse: o.withoutRefusal,
		}, o.now),
		bundles: &bundles{trust: cfg.BundleTrust()},
		members: &members{},
	}
}

// node connects everything. It fails when keys or certificates of the settings
// cannot be read.
func (w *wiring) node() (*Node, error) {
	var err error
	if w.tls, err = newTLSConfigs(w.cfg.TLS); err != nil {
		return nil, err
	}
	w.servers.secure(w.tls)
	w.peers = &peerClient{key: w.cfg.Keys.Peer, scheme: scheme(w.tls.toPeers), http: newControlClient(w.traffic, w.tls.toPeers)}
	w.delivery = delivery.New(w.deliveryOptions()...)
	if w.tickets, err = newTickets(w.cfg.TicketKey(), w.servers.peers.address(), w.incarnation.id, w.incarnation.age); err != nil {
		return nil, err
	}
	g := w.newGossip()
	a := w.newAdmin()
	w.handle(g, a)
	return &Node{
		cfg:         w.cfg,
		log:         w.log,
		incarnation: w.incarnation,
		servers:     w.servers,
		control:     w.newControl(g),
		delivery:    w.delivery,
		metrics:     w.metrics,
		admin:       a,
		cut:         make(chan struct{}),
	}, nil
}

func (w *wiring) deliveryOptions() []delivery.Option {
	opts := []delivery.Option{delivery.WithClock(w.now)}
	if w.tls.toTargets != nil {
		opts = append(opts, delivery.WithTLS(w.tls.toTargets))
	}
	if w.stall > 0 {
		opts = append(opts, delivery.WithStall(w.stall))
	}
	return opts
}

// handle connects what answers calls.
func (w *wiring) handle(g *gossip, a *admin) {
	in := &intake{incarnation: w.incarnation, ids: w.ids}
	r := &runner{gate: w.gate, delivery: w.delivery, metrics: w.metrics, now: w.now, permit: w.pause.check}
	ans := &answerer{ids: w.ids, runner: r, metrics: w.metrics, now: w.now, log: w.log}
	home := &ticketHome{incarnation: w.incarnation, intake: in, answerer: ans, tickets: w.tickets}
	ts := &ticketServer{
		incarnation: w.incarnation, intake: in, tickets: w.tickets, home: home,
		forwarder: &forwarder{client: w.peers, log: w.log}, log: w.log,
	}
	c := &callers{intake: in, answerer: ans, tickets: ts}
	p := &peerServer{
		key: w.cfg.Keys.Peer, gossip: g, bundles: w.bundles, members: w.members,
		answerer: ans, tickets: home, log: w.log,
	}
	w.servers.handle(c.handler(), p.handler(), a.handler())
}

func (w *wiring) newGossip() *gossip {
	return &gossip{
		address: w.servers.peers.address(), dataCentre: w.cfg.DataCentre, incarnation: w.incarnation,
		calls: w.servers.calls, client: w.peers, bundles: w.bundles, members: w.members, pause: w.pause, log: w.log,
	}
}

func (w *wiring) newAdmin() *admin {
	return &admin{
		address: w.servers.peers.address(), dataCentre: w.cfg.DataCentre, incarnation: w.incarnation,
		gate: w.gate, tickets: w.tickets, bundles: w.bundles, members: w.members,
		traffic: w.traffic, metrics: w.metrics, log: w.log,
	}
}

// newControl connects the actors with what feeds them. The client of the platform
// and of load reports trusts the system's authorities alone: where the settings
// name authorities of their own for targets, no load report is read.
func (w *wiring) newControl(g *gossip) *control {
	plain := newControlClient(w.traffic, nil)
	return &control{
		incarnation: w.incarnation, gate: w.gate, pause: w.pause, gossip: g,
		service: w.newServiceWatcher(plain),
		list:    &instanceList{address: w.cfg.InstanceList, client: plain, members: w.members, log: w.log},
		reports: &reportReader{
			calls: w.servers.calls, client: plain, scheme: scheme(w.tls.toTargets),
			gate: w.gate, members: w.members, log: w.log,
		},
		start:   startRule{hasPeers: len(w.cfg.Peers) > 0, hasService: w.cfg.ConfigurationService != ""},
		peers:   w.cfg.Peers,
		bundles: w.bundles, members: w.members, loads: &actorRef{}, log: w.log,
	}
}

func (w *wiring) newServiceWatcher(client *http.Client) *serviceWatcher {
	return &serviceWatcher{
		address: w.cfg.ConfigurationService, client: client, bundles: w.bundles, members: w.members,
		pause: w.pause, metrics: w.metrics, log: w.log,
	}
}
