// Package gateway runs one node that relays requests by a configuration which a
// trusted store publishes. It follows the store, finds its members by gossip,
// forms the calls of batch services together with them and stops without
// cutting work.
//
// The gateway speaks to callers, targets and the store through ports; an
// adapter supplies them. It keeps nothing on disk.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ErrNoGateway says that the settings have no gateway section.
var ErrNoGateway = errors.New("the settings have no gateway")

// Gateway is one node. Create it with New.
type Gateway struct {
	cfg     *settings.Settings
	ports   Ports
	log     zerolog.Logger
	now     func() time.Time
	started time.Time

	views     *viewKeeper
	health    *sourceHealth
	follower  *storeFollower
	gossip    *gossip
	departure *departure
	// inflight counts callers' requests without a final answer.
	inflight atomic.Int64

	members *members

	sampleMu sync.Mutex
	sampler  sampler

	relay   *relay.Server
	batches *batches
	prompts *prompts
	metrics *metrics
	peers   *peerClient
	system  *actor.ActorSystem
	servers []*http.Server
	sockets []net.Listener
}

// Option changes a Gateway under construction.
type Option func(*Gateway)

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

const (
	// defaultMaxNodes is the least number of nodes that are assumed to share the
	// budget of repeats.
	defaultMaxNodes = 16
	// membersKnown is how long after its start a node has heard of all members.
	membersKnown = 2 * time.Second
	// sharersFactor is how many nodes may share the budget of repeats for each that
	// was heard of.
	sharersFactor = 1.5
	// defaultBodyLimit bounds bodies before a configuration is known.
	defaultBodyLimit = 4 << 20
	readTimeout      = 30 * time.Second
	headerTimeout    = 5 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeaderBytes   = 64 << 10
)

// New returns a gateway that listens but serves nothing until Run. A port 0 in
// the settings takes a free port.
func New(cfg *settings.Settings, ports Ports, opts ...Option) (*Gateway, error) {
	if cfg.Gateway == nil {
		return nil, ErrNoGateway
	}
	g := &Gateway{
		cfg: cfg, ports: ports, log: zerolog.Nop(), now: time.Now,
		peers: newPeerClient(time.Now), system: actor.NewActorSystem(actor.WithLoggerFactory(quietLogger)), metrics: newMetrics(),
		health: &sourceHealth{}, departure: &departure{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.started = g.now()
	g.views = newViewKeeper(g.now, g.log, g.health.lastTrouble, g.viewChanged)
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.members = newMembers(g.now, g.PeerAddress(), g.started.UnixNano(), cfg.Peers, capacityOf(cfg.Gateway))
	g.follower = &storeFollower{
		source: ports.Source, views: g.views, members: g.members, health: g.health, peers: g.peers,
		metrics: g.metrics, log: g.log, now: g.now,
	}
	g.gossip = &gossip{
		now: g.now, members: g.members, peers: g.peers, views: g.views, health: g.health, departure: g.departure,
		checkBehind: g.follower.checkBehind, triggered: make(chan struct{}, 1),
	}
	g.batches = newBatches(g)
	g.prompts = newPrompts(g)
	g.relay = relay.New(relay.Config{
		DataCentre: cfg.DataCentre, View: g.views.load, Upstream: ports.Targets, Batcher: g.batches, Placer: g.prompts,
		Observer: g, Now: g.now, RetryPolicy: g.budget(), Members: g.members.size,
	})
	return g, nil
}

// viewChanged notifies those who depend on the view, in this order.
func (g *Gateway) viewChanged(v *view.View) {
	g.batches.configure(v)
	g.relay.Prune(v.Directory)
	g.prompts.prune(v.Directory)
	g.gossip.publishStatus()
	g.gossip.trigger()
}

// linkPerCore is the bandwidth that work for other nodes needs beside a core, in
// Mbit/s: whichever of the two is scarcer bounds what a node can carry.
const linkPerCore = 250.0

// capacityOf returns what a machine can carry of the work that one node does for
// all, in thousandths of a core; 0 for unknown.
func capacityOf(cfg *settings.Gateway) int {
	cores := cfg.Cores
	if cfg.LinkMbps > 0 {
		cores = min(cores, cfg.LinkMbps/linkPerCore)
	}
	return int(1000 * cores)
}

// quietLogger keeps the actor system's own lines out of the log.
func quietLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// budget is this node's part in the bound on repeats.
func (g *Gateway) budget() retrybudget.Policy {
	p := retrybudget.Policy{Ratio: 0.1, Window: 10 * time.Second, Extra: defaultMaxNodes, MaxNodes: defaultMaxNodes}
	if r := g.cfg.Gateway.Retries; r != nil {
		p.Ratio = r.Ratio
		p.Window = time.Duration(r.WindowMs) * time.Millisecond
		p.Extra = r.Extra
		if r.MaxNodes > 0 {
			p.MaxNodes = r.MaxNodes
		}
	}
	p.Nodes = g.sharers
	return p
}

// sharers returns how many nodes may share the budget of repeats: more than were
// ever heard of at once, for those that came or went meanwhile.
func (g *Gateway) sharers() int {
	if g.now().Sub(g.started) < membersKnown {
		return retrybudget.UnknownNodes
	}
	return int(sharersFactor * float64(g.members.peakSize()))
}

func (g *Gateway) listen() error {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{g.cfg.Listen.Callers, g.callers()},
		{g.cfg.Listen.Peers, g.peerHandler()},
		{g.cfg.Listen.Admin, g.adminHandler()},
		{g.cfg.Gateway.Ready, http.HandlerFunc(g.serveReady)},
	}
	for _, h := range handlers {
		ln, err := net.Listen("tcp", h.address)
		if err != nil {
			g.close()
			return errors.Wrap(err, "listen")
		}
		if len(g.sockets) == 0 {
			ln = limitConnections(ln, g.callerLimit())
		}
		g.sockets = append(g.sockets, ln)
		g.servers = append(g.servers, &http.Server{
			Handler: h.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		})
	}
	return nil
}

func (g *Gateway) close() {
	for _, ln := range g.sockets {
		_ = ln.Close()
	}
}

// CallerAddress returns the address that callers use.
func (g *Gateway) CallerAddress() string { return g.sockets[0].Addr().String() }

// PeerAddress returns the address that other nodes use.
func (g *Gateway) PeerAddress() string { return g.sockets[1].Addr().String() }

// AdminAddress returns the address that operators read from.
func (g *Gateway) AdminAddress() string { return g.sockets[2].Addr().String() }

// ReadyAddress returns the address that the balancer asks.
func (g *Gateway) ReadyAddress() string { return g.sockets[3].Addr().String() }

// callers counts the requests in flight around the adapter's handler.
func (g *Gateway) callers() http.Handler {
	handler := g.ports.Callers(g)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inflight.Add(1)
		defer g.inflight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Serve implements Relay.
func (g *Gateway) Serve(ctx context.Context, req *relay.Request, out relay.Responder) *verdict.Error {
	if g.departure.refusesNew(g.now()) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving").WithRetryAfter(retryElsewhere)
	}
	return g.relay.Serve(ctx, req, out)
}

// BodyLimit implements Relay.
func (g *Gateway) BodyLimit() int64 {
	if c := g.views.load().Catalog; c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// Leaving implements Relay.
func (g *Gateway) Leaving() bool { return g.departure.begun() }

// Serving says whether the node takes requests.
func (g *Gateway) Serving() bool { return g.views.load().Catalog != nil && !g.departure.begun() }

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until ctx ends and then stops as planned: it tells the balancer
// and its members, and finishes the work in flight within the time to stop.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for i, ln := range g.sockets {
		go func() { _ = g.servers[i].Serve(ln) }()
	}
	go g.follower.run(work)
	go g.gossip.run(work)
	g.log.Info().Str("callers", g.CallerAddress()).Str("peers", g.PeerAddress()).
		Str("dataCentre", g.cfg.DataCentre).Msg("node: started")
	<-ctx.Done()
	g.stop()
	return nil
}

// Reload takes in the settings that may change while the node runs: the
// addresses that members are looked for at.
func (g *Gateway) Reload(cfg *settings.Settings) {
	g.members.setSeeds(cfg.Peers)
	g.log.Info().Strs("peers", cfg.Peers).Msg("settings: read again")
}
