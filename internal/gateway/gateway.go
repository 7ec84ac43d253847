// Package gateway runs one gateway node. A node relays requests to targets according to a
// configuration that a trusted store, the source, publishes. It watches the source, finds the
// other nodes, its members, by gossip, assembles the batches of batch services together with
// them, and shuts down gracefully.
//
// The parts of a node own its state: the view of the configuration and the targets
// (viewKeeper), the health of the source (sourceHealth), the roster of members (members), and
// one coordinator for each batch service that this node coordinates (coordinators). The rules
// of batching, placement, membership and relaying are in the packages below this one, which
// perform no I/O.
//
// While the source is unreachable, the node keeps using its view and takes updates from
// members. Some work is done by one member for all of them; a node that knows no others does
// it for itself. Callers, targets and the source are reached through Ports, which an adapter
// supplies. Nothing is stored on disk.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/boottime"
	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Gateway is one node. It creates the parts, runs them and shuts them down. Create it with
// New.
type Gateway struct {
	cfg   *settings.Settings
	ports Ports
	log   zerolog.Logger
	now   func() time.Time

	members      *members
	health       *sourceHealth
	views        *viewKeeper
	shutdown     *shutdownState
	follower     *sourceFollower
	gossip       *gossiper
	joiner       *joiner
	coordinators *coordinators
	prompts      *promptPlacer
	quarantine   *quarantine.Tracker
	parts        *quarantine.Tracker
	backpressure *backpressure.Tracker
	relay        *relay.Server
	// answers bounds the answers that are being read, bodies those of requests that are held.
	answers    *answers.Pool
	bodies     *requestbodies.Budget
	callers    *callerServer
	admin      *adminServer
	metrics    *metrics
	speeds     *targetSpeeds
	paths      *targetPaths
	tunnels    *tunnelServer
	streams    *streamOrigins
	loans      *sendLoans
	dialTarget dialFunc
	// listen opens the listeners, and dialOptions are those of connections to members.
	listen      listenFunc
	dialOptions []tcpconn.Option
	peers       *peerClient
	delay       *ownDelay
	intake      *callerIntake

	listeners *listeners
	servers   servers
}

// servers are the HTTP servers of the node's listeners.
type servers struct{ callers, peers, admin, ready *http.Server }

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger; nothing is logged by default.
func WithLogger(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithClock sets the clock, which must be monotonic. The default is the clock of package
// boottime.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.now = now } }

// WithTargetDialer sets the function that connects to targets. The default dials TCP.
func WithTargetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(g *Gateway) { g.dialTarget = dial }
}

// WithNetwork listens and connects to members and targets over another network than TCP.
func WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(g *Gateway) {
		g.listen, g.dialOptions = listen, []tcpconn.Option{tcpconn.Over(dial)}
		g.dialTarget = tcpconn.NewDialer(TargetDialTimeout, tcpconn.Over(dial)).DialContext
	}
}

// New returns a gateway that listens but serves nothing until Run. The settings must have a
// gateway section. Port 0 in an address picks a free port.
func New(cfg *settings.Settings, ports Ports, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		cfg: cfg, ports: ports, log: zerolog.Nop(), now: boottime.New().Now,
		health: newSourceHealth(), shutdown: &shutdownState{}, metrics: newMetrics(), listen: listenTCP,
	}
	g.dialTarget = tcpconn.NewDialer(TargetDialTimeout, tcpconn.OnSilence(g.onSilence)).DialContext
	for _, opt := range opts {
		opt(g)
	}
	g.ports.Targets = withReportedSpeeds(cfg.Gateway.TargetSpeed, ports.Targets)
	started := g.now()
	sockets, err := listen(cfg, g.listen)
	if err != nil {
		return nil, err
	}
	g.listeners = sockets
	g.members = newMembers(g.now, g.PeerAddress(), started.UnixNano(), cfg.Peers, machineCapacity(cfg.Gateway))
	g.peers = newPeerClient(g.now, g.dialOptions...)
	g.views = newViewKeeper(g.now, g.log, g.onViewChange)
	g.views.onRejected = g.metrics.recordRejectedEntry
	g.createParts(started)
	return g, nil
}

// createParts creates the parts that depend on the members and the view.
func (g *Gateway) createParts(started time.Time) {
	peers := g.peers
	peers.onSilence = g.onSilence
	g.paths = newTargetPaths(g.now, g.log, g.metrics, g.dialTarget, newTunnelClient(g.now, g.members, g.dialOptions...), g.views)
	g.ports.Targets.UsePaths(g.paths)
	g.answers = g.newAnswerPool()
	g.ports.Targets.UseAnswers(g.answers)
	g.bodies = g.newBodyBudget()
	g.follower = &sourceFollower{
		source: g.ports.Source, views: g.views, members: g.members, health: g.health, peers: peers,
		metrics: g.metrics, log: g.log, now: g.now,
	}
	g.quarantine = quarantine.NewTracker(quarantine.Config{
		Now: g.now, Log: g.log, OnChange: g.onQuarantineChange, OwnsRole: g.members.ownsRole,
	})
	g.parts = quarantine.NewTracker(quarantine.Config{
		Now: g.now, Log: g.log, OnChange: g.onHeldPartsChange, OwnsRole: g.members.ownsRole, Rule: quarantine.PartRule, Subject: "prompt part",
	})
	g.backpressure = backpressure.NewTracker(backpressure.Config{Now: g.now, Log: g.log, Changed: g.onLimitsChange, Nodes: g.members.size, Rank: g.members.rank})
	g.ports.Targets.OnSignal(func(t directory.Target, s backpressure.Signal) { g.backpressure.Observe(t.Incarnation(), s) })
	g.loans = &sendLoans{
		log: g.log, members: g.members, peers: peers, gate: g.backpressure.RequestGate(), metrics: g.metrics, avoided: newAvoidedMembers(g.now),
	}
	g.createIntake()
	g.streams = newStreamOrigins(g.now, g.log, g.members, peers, g.metrics, streamHistoryOptions(g.cfg.Gateway)...)
	g.streams.confirm = g.follower.confirm
	g.streams.confirmed = g.follower.isConfirmed
	g.streams.behind = func(since time.Time) time.Duration {
		return max(g.members.worstViewAge(since), g.health.age.worst(g.now(), since))
	}
	g.views.onApplied = g.streams.observe
	g.follower.onHistory, g.follower.onListed = g.historyReader(), g.readRuns
	g.gossip = &gossiper{
		now: g.now, log: g.log, members: g.members, peers: peers, views: g.views, health: g.health, shutdown: g.shutdown,
		quarantine: g.quarantine, parts: g.parts, backpressure: g.backpressure, streams: g.streams, isolated: g.paths.isolated, busy: g.intake.isBusy, metrics: g.metrics,
		catchUpIfBehind: g.follower.catchUpIfBehind, retriesSpent: func() retrybudget.Spent { return g.relay.RetriesSpent() }, triggered: make(chan struct{}, 1),
	}
	g.paths.onIsolation = g.onIsolation
	g.joiner = newJoiner(g.members, g.gossip.exchange)
	retries := g.newRetryPolicy(started)
	g.coordinators = &coordinators{views: g.views, services: map[string]*actor.PID{}, coordinatorConfig: coordinatorConfig{
		now: g.now, log: g.log, system: actor.NewActorSystem(actor.WithLoggerFactory(discardLogger)), members: g.members,
		targets: g.ports.Targets, metrics: g.metrics, retries: itemRetryPolicy(retries, started, restarted(g.cfg.Gateway)), permit: g.views.permit, margin: warmUpMargin(g.cfg.Gateway), quarantine: g.quarantine, backpressure: g.backpressure,
		admission: admissionRules(g.cfg.Gateway.Admission),
	}}
	margin := warmUpMargin(g.cfg.Gateway)
	g.prompts = &promptPlacer{
		now: g.now, log: g.log, members: g.members, peers: peers, views: g.views, margin: margin,
		choosers: map[string]*placement.EngineChooser{}, reportedSpeeds: usesReportedSpeeds(g.cfg.Gateway.TargetSpeed),
	}
	batches := &batchRouter{
		now: g.now, log: g.log, members: g.members, peers: peers, local: g.coordinators, joiner: g.joiner,
		exchange: g.gossip.exchange,
	}
	g.relay = relay.New(relay.Config{
		DataCentre: g.cfg.DataCentre, Node: g.PeerAddress(), View: g.views.load, AwaitCatalog: g.awaitFirstConfig, Upstream: g.ports.Targets, Batcher: batches, Placer: g.prompts,
		Observer: &requestLog{now: g.now, log: g.log, metrics: g.metrics}, Now: g.now, RetryPolicy: retries.WithEarlier(started, g.members.earlierSpent), NodeCount: g.members.size,
		TargetSample: targetSample(g.cfg.Gateway.TargetSpeed),
		WarmUp:       margin, SendsToCold: g.members.ownsColdTarget, Quarantine: g.quarantine, Parts: g.parts, Streams: g.streams, Gate: g.backpressure.RequestGate(), Lender: g.loans, Isolated: g.paths.isolated,
		Overload: g.intake.overload, Answers: g.answers, MaxItems: maxItems(g.cfg.Gateway),
	})
	g.speeds = &targetSpeeds{log: g.log, sources: func(ctx context.Context) map[string][]targetspeed.View {
		return map[string][]targetspeed.View{
			speedOfBatches: g.coordinators.speeds(ctx), speedOfPrompts: g.prompts.speeds(), speedOfCalls: g.relay.Speeds(),
		}
	}}
	g.createServers()
}

// createIntake creates what decides which callers this node takes, and connects it to the listener of
// callers, the members and the paths.
func (g *Gateway) createIntake() {
	g.intake = newCallerIntake(g.now, g.log, g.metrics, g.cfg.Gateway)
	g.intake.callerBytes, g.intake.haveRoom, g.intake.onBusy = g.listeners.intake.bytes.Load, g.members.haveRoom, g.onBusy
	g.listeners.intake.metrics, g.listeners.intake.turnsAway = g.metrics, g.intake.turnsAway
	g.paths.runsLate = g.intake.runsLate
}

// newRetryPolicy returns the bound on retries of this process, which started at a time.
func (g *Gateway) newRetryPolicy(started time.Time) retrybudget.Policy {
	p := retryPolicy(g.cfg.Gateway, func() int {
		return retrySharers(g.now().Sub(started), g.members.peakSize(), len(g.members.seeds()) > 0)
	})
	g.members.setRetryWindow(p.Window, !restarted(g.cfg.Gateway))
	return p
}

// readRuns asks the targets of streams that may be resumed what they are answering.
func (g *Gateway) readRuns(ctx context.Context) {
	v := g.views.load()
	if v.Catalog == nil {
		return
	}
	for _, service := range v.Catalog.ResumableServices() {
		g.streams.readRuns(ctx, g.ports.Targets, v.Directory.Service(service))
	}
}

// streamHistoryOptions returns the options of the history of targets.
func streamHistoryOptions(cfg *settings.Gateway) []streamorigin.Option {
	if restarted(cfg) {
		return nil
	}
	return []streamorigin.Option{streamorigin.FromStart()}
}

// historyReader returns what records the source's history from before this process; nil if there is
// none, or if nobody tells how far it reaches.
func (g *Gateway) historyReader() func(asked time.Time, ch view.Changes, complete bool) {
	if !restarted(g.cfg.Gateway) || g.cfg.Gateway.SourceHistoryMs == 0 {
		return nil
	}
	g.streams.reach = time.Duration(g.cfg.Gateway.SourceHistoryMs) * time.Millisecond
	g.streams.forgotten = g.follower.forgottenSince
	return func(asked time.Time, ch view.Changes, complete bool) { g.streams.extend(asked, complete, ch) }
}

// onSilence is called when an open connection to a member, a target or the source seems to be
// silent while new ones come up. Connections that nobody uses are replaced, and the watch of the
// source begins anew, since others may have fallen silent at the same moment.
func (g *Gateway) onSilence(address string) {
	g.metrics.silentConnections.Inc(1)
	g.log.Warn().Str("address", address).Msg("paths: open connection seems silent, replacing idle ones")
	g.peers.closeIdle()
	g.ports.Targets.CloseIdle()
	g.ports.Source.CloseIdle()
	g.health.restartWatch()
}

// createServers creates the parts that serve callers, members and operators.
func (g *Gateway) createServers() {
	g.callers = &callerServer{now: g.now, views: g.views, shutdown: g.shutdown, relay: g.relay, movesCallers: g.intake.movesCallers, bodies: g.bodies, metrics: g.metrics, log: g.log}
	g.delay = &ownDelay{now: g.now, log: g.log, metrics: g.metrics, inFlight: g.callers.inFlight.Load, observed: func(delay time.Duration) {
		g.intake.observe(delay)
		g.metrics.recordMemory(g.bodies, g.answers)
	}}
	g.admin = &adminServer{
		now: g.now, dataCentre: g.cfg.DataCentre, views: g.views, health: g.health, members: g.members,
		shutdown: g.shutdown, callers: g.callers, speeds: g.speeds, coordinators: g.coordinators, metrics: g.metrics, quarantine: g.quarantine, parts: g.parts, backpressure: g.backpressure,
		paths: g.paths, bodies: g.bodies, answers: g.answers,
	}
	g.tunnels = &tunnelServer{log: g.log, views: g.views, paths: g.paths, shutdown: g.shutdown, metrics: g.metrics}
	peers := &peerServer{
		now: g.now, views: g.views, gossip: g.gossip, coordinators: g.coordinators, prompts: g.prompts, quarantine: g.quarantine, parts: g.parts,
		tunnels: g.tunnels, streams: g.streams, loans: g.loans,
	}
	g.servers = servers{
		callers: newServer(g.callers.countInFlight(g.ports.Callers(g.callers))),
		peers:   newServer(peers.handler()),
		admin:   newServer(g.admin.handler()),
		ready:   newServer(http.HandlerFunc(g.admin.serveReady)),
	}
	g.servers.callers.ConnState = g.listeners.served.observe
}

// discardLogger keeps the log lines of the actor system out of the node's log.
func discardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// onViewChange notifies the parts that depend on the view, in this order.
func (g *Gateway) onViewChange(v *view.View) {
	g.coordinators.configure(v)
	g.relay.Prune(v.Directory)
	g.prompts.prune(v.Directory)
	g.backpressure.Prune(v.Directory)
	g.paths.prune(v.Directory)
	g.metrics.recordView(g.now(), v)
	g.gossip.publishStatus()
	g.gossip.trigger()
}

// onQuarantineChange counts the held requests and triggers gossip about requests that crash
// their targets.
func (g *Gateway) onQuarantineChange(held int) {
	g.metrics.heldRequests.Update(float64(held))
	g.gossip.trigger()
}

// onHeldPartsChange counts the held parts of prompts and triggers gossip about them.
func (g *Gateway) onHeldPartsChange(held int) {
	g.metrics.heldParts.Update(float64(held))
	g.gossip.trigger()
}

// onLimitsChange counts the targets with a limit and triggers gossip about the limits.
func (g *Gateway) onLimitsChange(limited int) {
	g.metrics.limitedTargets.Update(float64(limited))
	g.gossip.trigger()
}

// onBusy tells members whether this node has room for callers that they turn away.
func (g *Gateway) onBusy() {
	g.gossip.publishStatus()
	g.gossip.trigger()
}

// onIsolation tells members whether this node reaches targets.
func (g *Gateway) onIsolation() {
	g.gossip.publishStatus()
	g.gossip.trigger()
}

// CallerAddress returns the address that serves callers.
func (g *Gateway) CallerAddress() string { return g.listeners.callers.Addr().String() }

// PeerAddress returns the address that serves other nodes.
func (g *Gateway) PeerAddress() string { return g.listeners.peers.Addr().String() }

// AdminAddress returns the address that serves operators.
func (g *Gateway) AdminAddress() string { return g.listeners.admin.Addr().String() }

// ReadyAddress returns the address that serves the load balancer's readiness checks.
func (g *Gateway) ReadyAddress() string { return g.listeners.ready.Addr().String() }

// State returns a dump of the node's state.
func (g *Gateway) State() message.GatewayState { return g.admin.state() }

// Run serves until ctx is done and then shuts down gracefully: it informs the load balancer
// and the members, and finishes the requests in flight within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ports.Source.OnSilence(g.onSilence)
	go g.serve(g.servers.callers, g.listeners.callers)
	go g.serve(g.servers.peers, g.listeners.peers)
	go g.serve(g.servers.admin, g.listeners.admin)
	go g.serve(g.servers.ready, g.listeners.ready)
	go g.follower.run(work)
	go g.gossip.run(work)
	go g.join(work)
	go g.paths.run(work)
	go g.delay.run(work)
	if usesReportedSpeeds(g.cfg.Gateway.TargetSpeed) {
		go g.speeds.run(work)
	}
	g.log.Info().Str("callers", g.CallerAddress()).Str("peers", g.PeerAddress()).
		Str("dataCentre", g.cfg.DataCentre).Msg("node: started")
	<-ctx.Done()
	g.shutDown()
	return nil
}

// Close ends what goes on after Run until the process ends: the servers of members and operators, the connections
// that nobody uses, and the reports of the metrics.
func (g *Gateway) Close() {
	for _, s := range []*http.Server{g.servers.callers, g.servers.peers, g.servers.admin, g.servers.ready} {
		// What it interrupts is nobody's any more.
		_ = s.Close()
	}
	g.peers.closeIdle()
	g.ports.Targets.CloseIdle()
	g.ports.Source.CloseIdle()
	_ = g.metrics.reports.Close()
}

// join joins the cluster once the node has a configuration.
func (g *Gateway) join(ctx context.Context) {
	select {
	case <-g.views.configured:
		g.joiner.run(ctx)
	case <-ctx.Done():
	}
}

// serve serves a listener until that or the server is closed.
func (g *Gateway) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error().Str("address", ln.Addr().String()).Err(err).Msg("node: serving a listener failed")
	}
}

// Reload applies the settings that may change while the node runs: the seed addresses.
func (g *Gateway) Reload(cfg *settings.Settings) {
	g.members.setSeeds(cfg.Peers)
	g.log.Info().Strs("peers", cfg.Peers).Msg("settings: reloaded")
}
