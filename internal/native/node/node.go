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
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// bookCapacity bounds the spent tickets that have not expired.
	bookCapacity = 100_000
	// readTimeout bounds the time a caller takes to send a request.
	readTimeout       = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// drainPoll is how often a stopping node looks for work in flight.
	drainPoll = 20 * time.Millisecond
	// drainQuiet is how long nothing must be in flight before a stopping node
	// closes its connections. A caller whose answer has just ended may be sending
	// its next request; it is to be refused, not cut.
	drainQuiet = 250 * time.Millisecond
)

// Phase is the part of its life that a node is in.
type Phase int32

// Phases of a node.
const (
	Starting Phase = iota
	Serving
	Leaving
)

// String gives the text used on the wire.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving"}[p]
}

// Node is one instance. Create it with New.
type Node struct {
	cfg         *settings.Settings
	trust       bundle.Trust
	incarnation string
	started     time.Time
	now         func() time.Time
	log         zerolog.Logger
	policy      routing.Policy
	naive       bool
	stall       time.Duration

	phase    atomic.Int32
	serving  chan struct{}
	plan     atomic.Pointer[bundle.Plan]
	lastID   atomic.Uint64
	gate     *gate
	delivery *delivery.Client
	tickets  *tickets
	metrics  *metrics
	pulse    pulse
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

// Option changes a Node under construction.
type Option func(*Node)

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option { return func(n *Node) { n.log = log } }

// WithClock sets the clock, which must be monotonic.
func WithClock(now func() time.Time) Option { return func(n *Node) { n.now = now } }

// WithPolicy sets how targets are chosen, for experiments.
func WithPolicy(p routing.Policy) Option { return func(n *Node) { n.policy = p } }

// WithoutRefusal holds work until its deadline instead of refusing early, for
// experiments.
func WithoutRefusal() Option { return func(n *Node) { n.naive = true } }

// WithStall sets the longest silence of an engine's stream.
func WithStall(d time.Duration) Option { return func(n *Node) { n.stall = d } }

// New returns a node that listens on its addresses but serves nothing until Run.
// A port 0 in the settings takes a free port.
func New(cfg *settings.Settings, opts ...Option) (*Node, error) {
	n := &Node{
		cfg:         cfg,
		trust:       cfg.BundleTrust(),
		incarnation: ticket.NewSerial(),
		now:         time.Now,
		log:         zerolog.Nop(),
		policy:      routing.Balanced{},
		serving:     make(chan struct{}),
		cut:         make(chan struct{}),
		metrics:     newMetrics(),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.started = n.now()
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
		DataCentre: n.cfg.DataCentre, Policy: n.policy, Seed: routing.Hash(n.incarnation), NeverRefuse: n.naive,
	}, n.now)
	n.servers = []*http.Server{
		n.newServer(n.callerHandler(), true),
		n.newServer(n.peerHandler(), false),
		n.newServer(n.adminHandler(), false),
	}
	n.tickets, err = newTickets(n.cfg.TicketKey(), n.PeerAddress(), n.incarnation, n.Age)
	return err
}

func (n *Node) deliveryOptions(t *tlsConfigs) []delivery.Option {
	opts := []delivery.Option{delivery.WithClock(n.now)}
	if t.toTargets != nil {
		opts = append(opts, delivery.WithTLS(t.toTargets))
	}
	if n.stall > 0 {
		opts = append(opts, delivery.WithStall(n.stall))
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
func (n *Node) Incarnation() string { return n.incarnation }

// Age returns the age of this incarnation by its monotonic clock.
func (n *Node) Age() time.Duration { return n.now().Sub(n.started) }

// Phase returns the phase that the node is in.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

// Ready returns a channel that is closed once the node takes work.
func (n *Node) Ready() <-chan struct{} { return n.serving }

// startServing ends the start of the node, unless it is leaving already.
func (n *Node) startServing() bool {
	if !n.phase.CompareAndSwap(int32(Starting), int32(Serving)) {
		return false
	}
	close(n.serving)
	return true
}

// Bundle returns the number of the bundle in force; 0 for none.
func (n *Node) Bundle() int {
	plan := n.plan.Load()
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
	n.log.Info().Str("incarnation", n.incarnation).Str("callers", n.CallerAddress()).
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
	n.phase.Store(int32(Leaving))
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
				quiet = n.now()
			case told && n.now().Sub(quiet) >= drainQuiet:
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
		Node: n.PeerAddress(), Incarnation: n.incarnation, DataCentre: n.cfg.DataCentre,
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
		dump.BundleAgeMs = int(n.now().Sub(b.state.Confirmed()).Milliseconds())
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
			s.AgeMs = int(n.now().Sub(p.Heard).Milliseconds())
		}
		states = append(states, s)
	}
	return states
}

const askTimeout = 2 * time.Second

func (n *Node) ask(pid *actor.PID, msg any) (any, error) {
	return n.system.Root.RequestFuture(pid, msg, askTimeout).Result()
}

// governing returns the plan that governs new work, or refuses it.
func (n *Node) governing() (*bundle.Plan, error) {
	switch n.Phase() {
	case Starting:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the node has no bundle in force yet").WithRetryAfter(time.Second)
	case Leaving:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving").WithRetryAfter(minimumRetry)
	}
	return n.plan.Load(), nil
}
