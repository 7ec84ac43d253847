package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/internal/native/rollout"
)

const (
	// gossipInterval is how often a node exchanges updates with a peer. Half of it doubles
	// the bytes of control.
	gossipInterval = time.Second
	// reportInterval is how often one load report is read; admission names the target
	// whose report is worth most. It keeps control traffic under 4,096 bytes a second a
	// node.
	reportInterval = 250 * time.Millisecond
)

// control owns what changes with updates and time, and not with requests: the
// actors of bundles, members and load reports, and the goroutines that feed them.
type control struct {
	incarnation *incarnation
	gate        *gate
	pause       *pauseDetector
	gossip      *gossip
	service     *serviceWatcher
	list        *instanceList
	reports     *reportReader
	start       startRule
	// peers are the addresses of the settings.
	peers []string
	log   zerolog.Logger

	system  *actor.ActorSystem
	bundles *bundles
	members *members
	loads   *actorRef
}

// run starts the actors and what feeds them. ctx ends the feeding, close the
// actors.
func (c *control) run(ctx context.Context) {
	c.spawn()
	c.pause.beat()
	go every(ctx, pauseBeat, c.beat)
	go every(ctx, gossipInterval, func() { c.members.send(timePassed{}) })
	go every(ctx, reportInterval, func() { c.loads.send(timePassed{}) })
	go c.service.follow(ctx)
	go c.list.follow(ctx)
}

// spawn starts the actors. That of the members comes after that of the bundles,
// which it asks at once.
func (c *control) spawn() {
	c.system = actor.NewActorSystem(actor.WithLoggerFactory(quietLogger))
	c.bundles.spawn(c.system, func() actor.Actor {
		return &bundleActor{
			incarnation: c.incarnation, gate: c.gate, members: c.members, log: c.log,
			state: rollout.New(c.incarnation.dataCentre), start: c.start,
		}
	})
	c.members.spawn(c.system, func() actor.Actor {
		seed := uint64(c.incarnation.started.UnixNano())
		view := membership.New(c.incarnation.address, c.incarnation.dataCentre).WithAddresses(c.incarnation.now(), c.peers)
		return &memberActor{
			incarnation: c.incarnation, gate: c.gate, gossip: c.gossip, bundles: c.bundles, log: c.log,
			view: view, rng: rand.New(rand.NewPCG(seed, seed)),
		}
	})
	c.loads.spawn(c.system, func() actor.Actor {
		return &loadActor{reports: c.reports, self: c.loads}
	})
}

// close stops the actors.
func (c *control) close() { c.system.Shutdown() }

// beat records that the process runs. After a pause it asks peers and targets for
// updates at once.
func (c *control) beat() {
	if c.pause.beat() {
		c.log.Warn().Msg("pulse: the process was paused; asking for news before acting")
		c.members.send(exchangeNow{})
		c.loads.send(timePassed{})
	}
	c.bundles.send(timePassed{})
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.Tick(interval)
	for {
		select {
		case <-tick:
			f()
		case <-ctx.Done():
			return
		}
	}
}
