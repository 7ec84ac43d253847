// Package node runs one instance of honeydyke: it serves callers, follows the
// signed bundle, exchanges news with its peers and stops without cutting work.
//
// Another program creates a node with New and runs it with Run; the node keeps
// nothing on disk, starts no process and shares no state.
package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// bookCapacity bounds the spent tickets that have not expired.
	bookCapacity      = 100_000
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// drainPoll is how often a stopping node looks for work in flight.
	drainPoll = 20 * time.Millisecond
	// drainQuiet is how long nothing must be in flight before a stopping node
	// closes its connections. A caller whose answer has just ended may be sending
	// its next request; it is to be refused, not cut.
	drainQuiet = 250 * time.Millisecond
)

// Node is one instance. Create it with New.
type Node struct {
	cfg         *settings.Settings
	opts        options
	incarnation *incarnation
	trust       bundle.Trust
	log         zerolog.Logger

	lastID   atomic.Uint64
	gate     *gate
	delivery *delivery.Client
	tickets  *tickets
	metrics  *metrics
	pause    *pauseDetector
	// control counts the bytes of control traffic.
	control atomic.Int64
	peers   *peerClient

	system     *actor.ActorSystem
	bundles    *actor.PID
	members    *actor.PID
	loads      *actor.PID
	listeners  listeners
	servers    []*http.Server
	cut        chan struct{}
	cutCalls   context.CancelFunc
	serveCalls context.Context
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// New returns a node that listens on its addresses but serves nothing until Run.
// A port 0 in the settings takes a free port.
func New(cfg *settings.Settings, opts ...Option) (*Node, error) {
	o := newOptions(opts)
	n := &Node{
		cfg:         cfg,
		opts:        o,
		incarnation: newIncarnation(o.now),
		trust:       cfg.BundleTrust(),
		log:         o.log,
		cut:         make(chan struct{}),
		metrics:     newMetrics(),
	}
	n.pause = &pauseDetector{age: n.incarnation.age}
	n.serveCalls, n.cutCalls = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.build(); err != nil {
		n.listeners.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) build() error {
	tlsConfigs, err := newTLSConfigs(n.cfg.TLS)
	if err != nil {
		return err
	}
	n.listeners.secure(tlsConfigs)
	n.peers = newPeerClient(n.cfg.Keys.Peer, tlsConfigs.toPeers, &n.control)
	n.delivery = delivery.New(n.deliveryOptions(tlsConfigs)...)
	n.gate = newGate(admission.Config{
		DataCentre: n.cfg.DataCentre, Policy: n.opts.policy, Seed: routing.Hash(n.incarnation.id), NeverRefuse: n.opts.withoutRefusal,
	}, n.incarnation.now)
	n.servers = []*http.Server{
		n.newServer(n.callerHandler(), true),
		n.newServer(n.peerHandler(), false),
		n.newServer(n.adminHandler(), false),
	}
	n.tickets, err = newTickets(n.cfg.TicketKey(), n.PeerAddress(), n.incarnation.id, n.Age)
	return err
}

func (n *Node) deliveryOptions(t *tlsConfigs) []delivery.Option {
	opts := []delivery.Option{delivery.WithClock(n.incarnation.now)}
	if t.toTargets != nil {
		opts = append(opts, delivery.WithTLS(t.toTargets))
	}
	if n.opts.stall > 0 {
		opts = append(opts, delivery.WithStall(n.opts.stall))
	}
	return opts
}

func (n *Node) listen() error {
	var err error
	if n.listeners.callers, err = net.Listen("tcp", n.cfg.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if n.listeners.peers, err = net.Listen("tcp", n.cfg.Listen.Peers); err != nil {
		n.listeners.close()
		return errors.Wrap(err, "listen for peers")
	}
	n.listeners.peers = &countedListener{Listener: n.listeners.peers, bytes: &n.control}
	if n.listeners.admin, err = net.Listen("tcp", n.cfg.Listen.Admin); err != nil {
		n.listeners.close()
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// CallerAddress returns the address that callers use.
func (n *Node) CallerAddress() string { return n.listeners.callers.Addr().String() }

// PeerAddress returns the address that other nodes use.
func (n *Node) PeerAddress() string { return n.listeners.peers.Addr().String() }

// AdminAddress returns the address that operators read from.
func (n *Node) AdminAddress() string { return n.listeners.admin.Addr().String() }

// Incarnation returns the identity of this life of the node.
func (n *Node) Incarnation() string { return n.incarnation.id }

// Age returns the age of this incarnation by its monotonic clock.
func (n *Node) Age() time.Duration { return n.incarnation.age() }

// Phase returns the phase that the node is in.
func (n *Node) Phase() Phase { return n.incarnation.currentPhase() }

// Ready returns a channel that is closed once the node takes work.
func (n *Node) Ready() <-chan struct{} { return n.incarnation.serving }

// Bundle returns the number of the bundle in force; 0 for none.
func (n *Node) Bundle() int {
	plan := n.incarnation.plan.Load()
	if plan == nil {
		return 0
	}
	return plan.Number()
}

// Run serves until ctx ends and then stops as planned: it tells the balancer
// and its peers, takes no new work, finishes all work in flight and returns.
// The error says what was cut when the limit of the settings, or Cut, ended the
// stop early.
func (n *Node) Run(ctx context.Context) error {
	defer n.cutCalls()
	n.startActors(ctx)
	defer n.stopActors()
	n.serve()
	n.log.Info().Str("incarnation", n.incarnation.id).Str("callers", n.CallerAddress()).
		Str("peers", n.PeerAddress()).Str("admin", n.AdminAddress()).Msg("node: started")
	<-ctx.Done()
	err := n.stop()
	n.delivery.CloseIdle()
	return err
}

// Cut ends a planned stop at once; work in flight is cut, and the log says so.
func (n *Node) Cut() { close(n.cut) }

// Kill ends the node as a crash does: it stops listening, drops every
// connection and finishes nothing. It serves tests and demonstrations.
func (n *Node) Kill() {
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.cutCalls()
}

// serve starts the three servers.
func (n *Node) serve() {
	for i, ln := range []net.Listener{n.listeners.callers, n.listeners.peers, n.listeners.admin} {
		go func() { _ = n.servers[i].Serve(ln) }()
	}
}

// stop carries out a planned stop.
func (n *Node) stop() error {
	n.incarnation.leave()
	n.log.Info().Dur("announce", n.cfg.Announce()).Msg("stop: leaving, new work is refused")
	n.system.Root.Send(n.members, tellPeers{})
	limit := time.NewTimer(n.cfg.StopLimit())
	defer limit.Stop()
	announced := time.NewTimer(n.cfg.Announce())
	defer announced.Stop()
	err := n.drain(announced.C, limit.C)
	n.cutCalls()
	shutdown(n.servers)
	n.log.Info().Err(err).Msg("stop: ended")
	return err
}

// drain waits until the announcement has passed and nothing is in flight.
func (n *Node) drain(announced, limit <-chan time.Time) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	told := false
	quiet := time.Time{}
	for {
		select {
		case <-announced:
			told = true
		case <-limit:
			return n.cutWork("the limit of the settings has passed")
		case <-n.cut:
			return n.cutWork("a second signal came")
		case <-poll.C:
			switch {
			case n.busy() > 0:
				quiet = time.Time{}
			case quiet.IsZero():
				quiet = n.incarnation.now()
			case told && n.incarnation.now().Sub(quiet) >= drainQuiet:
				return nil
			}
		}
	}
}

// busy counts the calls that have no final answer yet.
func (n *Node) busy() int { return int(n.metrics.calls.Load()) }

func (n *Node) cutWork(why string) error {
	cut := n.busy()
	if cut == 0 {
		return nil
	}
	n.log.Error().Int("cut", cut).Str("why", why).Msg("stop: work in flight is cut")
	return errors.Errorf("%s: %d calls in flight were cut", why, cut)
}

func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}

// State describes what the node knows and holds.
func (n *Node) State() message.StateDump {
	g := n.gate.state()
	running, spent := n.tickets.counts()
	dump := message.StateDump{
		Node: n.PeerAddress(), Incarnation: n.incarnation.id, DataCentre: n.cfg.DataCentre,
		Phase: message.StateDumpPhase(n.Phase().String()), InFlight: g.inFlight, Held: g.held,
		ControlBytes: int(n.control.Load()), Targets: g.targets, Organisations: g.organisations,
		Tickets: message.TicketState{Running: running, Spent: spent},
	}
	n.describeBundle(&dump)
	dump.Peers = n.describePeers()
	return dump
}

func (n *Node) describeBundle(dump *message.StateDump) {
	reply, err := n.ask(n.bundles, describeBundle{})
	if err != nil {
		return
	}
	if b, ok := reply.(bundleState); ok && b.state.InForce() != nil {
		dump.Bundle = b.state.InForce().Number()
		dump.Digest = b.state.InForce().Digest()
		dump.BundleAgeMs = int(n.incarnation.now().Sub(b.state.Confirmed()).Milliseconds())
	}
}

func (n *Node) describePeers() []message.PeerState {
	states := []message.PeerState{}
	reply, err := n.ask(n.members, describePeers{})
	if err != nil {
		return states
	}
	view, ok := reply.(peerView)
	if !ok {
		return states
	}
	for _, p := range view.view.Peers() {
		s := message.PeerState{Address: p.Address, Incarnation: p.Incarnation, Bundle: p.Bundle, Leaving: p.Leaving, AgeMs: -1}
		if !p.Heard.IsZero() {
			s.AgeMs = int(n.incarnation.now().Sub(p.Heard).Milliseconds())
		}
		states = append(states, s)
	}
	return states
}

const askTimeout = 2 * time.Second

func (n *Node) ask(pid *actor.PID, msg any) (any, error) {
	return n.system.Root.RequestFuture(pid, msg, askTimeout).Result()
}
