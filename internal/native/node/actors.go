package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/internal/native/rollout"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// gossipInterval is how often a node exchanges news with a few peers.
	gossipInterval = time.Second
	// gossipFanOut is how many peers a node tells of news at once; without news
	// it tells one.
	gossipFanOut = 3
	// startWait is how long a new node waits for all sources it asked.
	startWait = 2 * time.Second
	// aloneWait is how long a node whose peers are all silent waits before it
	// serves what the configuration service alone says.
	aloneWait = 30 * time.Second
	// reportInterval is how often one load report is read; the admission core
	// names the target whose report is worth most.
	reportInterval = 250 * time.Millisecond
	// serviceRetry is the pause after a failed read of the service.
	serviceRetry = 500 * time.Millisecond
	// listInterval is how often the platform's list is read.
	listInterval = 5 * time.Second
)

// Messages to the actors.
type (
	// offered is a verified bundle from a source.
	offered struct {
		plan   *bundle.Plan
		signed bundle.Signed
		source string
	}
	// confirmed says that a source named the newest bundle.
	confirmed struct{ digest string }
	// sourceAnswered says that a source was asked and answered, with or without
	// a bundle.
	sourceAnswered struct{ peer bool }
	// tick lets time pass.
	tick struct{}
	// describeBundle asks for a bundleState.
	describeBundle struct{}
	// describePeers asks for a peerView.
	describePeers struct{}
	// heard is a peer's word, from a call or an answer.
	heard struct{ word message.Exchange }
	// addressesSeen are the instances that the platform lists.
	addressesSeen struct{ addresses []string }
	// tellPeers starts a round of exchange at once.
	tellPeers struct{}
	// marked are leaving marks that this node learnt itself.
	marked struct{ marks []message.LeavingMark }
)

// bundleState answers describeBundle. It is immutable.
type bundleState struct {
	state   rollout.State
	history bundle.History
}

// peerView answers describePeers. It is immutable.
type peerView struct{ view membership.View }

func (n *Node) startActors(ctx context.Context) {
	n.system = actor.NewActorSystem(actor.WithLoggerFactory(quietLogger))
	root := n.system.Root
	n.bundles = root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &bundleActor{node: n, state: rollout.New(n.cfg.DataCentre)}
	}))
	n.members = root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return newMemberActor(n)
	}))
	n.loads = root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &loadActor{node: n}
	}))
	n.pause.beat()
	go n.every(ctx, pauseBeat, n.beat)
	go n.every(ctx, gossipInterval, func() { root.Send(n.members, tick{}) })
	go n.every(ctx, reportInterval, func() { root.Send(n.loads, tick{}) })
	go n.followService(ctx)
	go n.followList(ctx)
}

func (n *Node) stopActors() {
	n.system.Shutdown()
}

// every calls f at each interval until ctx ends.
func (n *Node) every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// beat notes that the process is awake. After a pause it asks for news at once.
func (n *Node) beat() {
	if n.pause.beat() {
		n.log.Warn().Msg("pulse: the process was paused; asking for news before acting")
		n.system.Root.Send(n.members, tellPeers{})
		n.system.Root.Send(n.loads, tick{})
	}
	n.system.Root.Send(n.bundles, tick{})
}

// bundleActor owns the node's rollout.State.
type bundleActor struct {
	node    *Node
	state   rollout.State
	history bundle.History
	// peerAnswered and serviceAnswered say which kinds of source have spoken.
	peerAnswered    bool
	serviceAnswered bool
}

// Receive implements actor.Actor.
func (a *bundleActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case offered:
		a.take(m)
	case confirmed:
		a.confirm(m)
	case sourceAnswered:
		a.peerAnswered = a.peerAnswered || m.peer
		a.serviceAnswered = a.serviceAnswered || !m.peer
		a.serve()
	case tick:
		a.apply(a.state.WithTime(a.node.incarnation.now()))
		a.serve()
	case describeBundle:
		c.Respond(bundleState{state: a.state, history: a.history})
	}
}

func (a *bundleActor) confirm(m confirmed) {
	if newest := a.state.Newest(); newest != nil && newest.Digest() == m.digest {
		a.state = a.state.WithConfirmed(a.node.incarnation.now())
	}
}

func (a *bundleActor) take(m offered) {
	before := a.state.Newest()
	next, err := a.state.WithOffer(a.node.incarnation.now(), m.plan)
	if err != nil {
		a.node.log.Warn().Err(err).Str("source", m.source).Msg("bundle: refused, the one in force stays")
		return
	}
	if next.Newest() != before {
		a.history = a.history.With(m.signed)
		if before != nil && !bundle.Follows(before, m.plan) {
			a.node.log.Warn().Int("from", before.Number()).Int("to", m.plan.Number()).Msg("bundle: numbers were missed, the newest is taken whole")
		}
		a.node.log.Info().Int("number", m.plan.Number()).Str("source", m.source).Msg("bundle: verified")
	}
	a.apply(next)
	if next.Newest() != before {
		a.node.system.Root.Send(a.node.members, tellPeers{})
	}
}

// apply puts the plan in force that next holds.
func (a *bundleActor) apply(next rollout.State) {
	changed := next.InForce() != a.state.InForce()
	a.state = next
	if !changed {
		return
	}
	plan := next.InForce()
	a.node.gate.apply(admission.Install{Plan: plan})
	a.node.incarnation.plan.Store(plan)
	a.node.log.Info().Int("number", plan.Number()).Msg("bundle: in force")
	a.serve()
}

// serve ends the start of the node once it may serve: it has a bundle, and the
// sources that it asked have answered or had their time. A node that knows of
// peers waits for the word of one, because the service may be stale.
func (a *bundleActor) serve() {
	if a.node.Phase() != Starting || a.state.InForce() == nil {
		return
	}
	age := a.node.Age()
	alone := len(a.node.cfg.Peers) == 0
	enough := a.peerAnswered && (a.serviceAnswered || a.node.cfg.ConfigurationService == "" || age > startWait)
	if (enough || alone || age > aloneWait) && a.node.incarnation.startServing() {
		a.node.log.Info().Int("bundle", a.state.InForce().Number()).Msg("node: serving")
	}
}

// memberActor owns the node's membership.View.
type memberActor struct {
	node *Node
	view membership.View
	rng  *rand.Rand
}

func newMemberActor(n *Node) *memberActor {
	seed := uint64(n.incarnation.started.UnixNano())
	view := membership.New(n.PeerAddress(), n.cfg.DataCentre).WithAddresses(n.incarnation.now(), n.cfg.Peers)
	return &memberActor{node: n, view: view, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Receive implements actor.Actor.
func (a *memberActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Started, tellPeers:
		a.round(gossipFanOut)
	case tick:
		a.view = a.view.WithTime(a.node.incarnation.now()).WithDuty(a.node.incarnation.now())
		a.node.gate.apply(admission.Nodes{Count: a.view.Size(a.node.incarnation.now())})
		a.round(1)
	case heard:
		a.hear(m.word)
	case addressesSeen:
		a.view = a.view.WithList(a.node.incarnation.now(), m.addresses)
	case marked:
		a.mark(m.marks)
	case describePeers:
		c.Respond(peerView{view: a.view})
	}
}

// round tells a few peers what this node knows; their answers come back as
// heard.
func (a *memberActor) round(fanOut int) {
	word := a.node.word(a.view, a.rng)
	for _, p := range a.view.Sample(fanOut, a.rng) {
		go a.node.exchangeWith(p.Address, word)
	}
}

func (a *memberActor) hear(word message.Exchange) {
	view, news := a.view.WithWord(a.node.incarnation.now(), word)
	a.view = view
	a.apply(news)
	a.node.system.Root.Send(a.node.bundles, sourceAnswered{peer: true})
	a.node.system.Root.Send(a.node.bundles, confirmed{digest: word.Digest})
}

func (a *memberActor) mark(marks []message.LeavingMark) {
	view, news := a.view.WithMarks(a.node.incarnation.now(), marks)
	a.view = view
	a.apply(news)
	if len(news) > 0 {
		a.round(gossipFanOut)
	}
}

func (a *memberActor) apply(news []message.LeavingMark) {
	for _, m := range news {
		a.node.gate.apply(admission.Mark{Target: m.Target, Incarnation: m.Incarnation})
		a.node.log.Info().Str("target", m.Target).Str("incarnation", m.Incarnation).Msg("members: target is leaving")
	}
}

// word is what this node tells a peer.
func (n *Node) word(view membership.View, rng *rand.Rand) message.Exchange {
	ex := message.Exchange{
		Node: n.PeerAddress(), Incarnation: n.incarnation.id, DataCentre: n.cfg.DataCentre,
		Leaving: n.Phase() == Leaving, Peers: view.Told(n.incarnation.now(), rng), Marks: view.FreshMarks(n.incarnation.now()), Readers: view.Readers(n.incarnation.now()),
	}
	if reply, err := n.ask(n.bundles, describeBundle{}); err == nil {
		if b, ok := reply.(bundleState); ok && b.state.Newest() != nil {
			ex.Bundle = b.state.Newest().Number()
			ex.Digest = b.state.Newest().Digest()
		}
	}
	return ex
}

// loadActor reads the load reports of the targets, one at a time.
type loadActor struct {
	node    *Node
	reading bool
}

// reportDone says that a report was read or could not be.
type reportDone struct{}

// Receive implements actor.Actor.
func (a *loadActor) Receive(c actor.Context) {
	switch c.Message().(type) {
	case tick:
		a.read(c.Self())
	case reportDone:
		a.reading = false
	}
}

// read reads the report that is worth most, unless one is being read.
func (a *loadActor) read(self *actor.PID) {
	target, ok := a.node.gate.nextReport()
	if a.reading || !ok {
		return
	}
	a.reading = true
	go func() {
		a.node.readReport(target)
		a.node.system.Root.Send(self, reportDone{})
	}()
}
