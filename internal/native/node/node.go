// Package node runs one instance of honeydyke's native interface: it serves
// callers, follows the signed bundle, exchanges updates with its peers and stops
// without cutting work.
//
// Another program creates a node with New and runs it with Run; the node keeps
// nothing on disk, starts no process and shares no state.
//
// The node owns its connections, its actors and the goroutines of its calls. What
// it decides, it decides in packages that do no input or output: admission,
// request, routing, rollout, membership and ticket. It relies on:
//
//   - the configuration service and peers for the bundle: without both a running
//     node keeps the bundle in force, and a new one serves nothing;
//   - peers for updates, and for the tickets whose home they are: without its home
//     nobody can say whether a ticket was spent, and the caller is answered so;
//   - targets: a call that fails is retried at another target where that does no
//     harm, see the packages request and delivery;
//   - its monotonic clock: after a pause the node acts only on fresh updates, see
//     pauseDetector.
package node

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Node is one instance. Create it with New.
type Node struct {
	cfg         *settings.Settings
	log         zerolog.Logger
	incarnation *incarnation
	servers     *servers
	control     *control
	delivery    *delivery.Client
	metrics     *metrics
	admin       *admin
	cut         chan struct{}
}

// New returns a node that listens on its addresses but serves nothing until Run.
// A port 0 in the settings takes a free port. It fails when an address cannot be
// listened on or when keys or certificates of the settings cannot be read.
func New(cfg *settings.Settings, opts ...Option) (*Node, error) {
	o := newOptions(opts)
	traffic := &controlTraffic{}
	srv, err := listen(cfg.Listen, traffic, o.log)
	if err != nil {
		return nil, err
	}
	n, err := newWiring(cfg, o, srv, traffic).node()
	if err != nil {
		srv.closeListeners()
		return nil, err
	}
	return n, nil
}

// CallerAddress returns the address that callers use.
func (n *Node) CallerAddress() string { return n.servers.callers.address() }

// PeerAddress returns the address that other nodes use.
func (n *Node) PeerAddress() string { return n.servers.peers.address() }

// AdminAddress returns the address that operators read from.
func (n *Node) AdminAddress() string { return n.servers.admin.address() }

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

// State describes what the node knows and holds. It must not be called before
// Run.
func (n *Node) State() message.StateDump { return n.admin.state() }

// Run serves until ctx ends and then stops as planned: it informs the balancer
// and its peers, takes no new work, finishes all work in flight and returns.
// The error says what was cut when the limit of the settings, or Cut, ended the
// stop early.
func (n *Node) Run(ctx context.Context) error {
	defer n.servers.cutCalls()
	n.control.run(ctx)
	defer n.control.close()
	n.servers.start()
	n.log.Info().Str("incarnation", n.incarnation.id).Str("callers", n.CallerAddress()).
		Str("peers", n.PeerAddress()).Str("admin", n.AdminAddress()).Msg("node: started")
	<-ctx.Done()
	err := n.stop()
	n.delivery.CloseIdle()
	return err
}

// Cut ends a planned stop at once; work in flight is cut, and the log says so. It
// may be called once.
func (n *Node) Cut() { close(n.cut) }

// Kill ends the node as a crash does: it stops listening, drops every
// connection and finishes nothing. It serves tests and demonstrations.
func (n *Node) Kill() { n.servers.kill() }

// stop carries out a planned stop. The calls are cut before the servers close,
// so that the servers do not wait for work that drain has given up.
func (n *Node) stop() error {
	n.incarnation.leave()
	n.log.Info().Dur("announce", n.cfg.Announce()).Msg("stop: leaving, new work is refused")
	n.control.members.send(exchangeNow{})
	d := &drain{
		now:      n.incarnation.now,
		inFlight: n.metrics.inFlight,
		announce: n.cfg.Announce(),
		limit:    n.cfg.StopLimit(),
		cut:      n.cut,
		log:      n.log,
	}
	err := d.wait()
	n.servers.cutCalls()
	n.servers.shutdown()
	n.log.Info().Err(err).Msg("stop: ended")
	return err
}
