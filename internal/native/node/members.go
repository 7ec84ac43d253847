package node

import (
	"math/rand/v2"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/membership"
)

// Messages to memberActor. It also takes timePassed.
type (
	// received is a peer's update, from its call or its answer.
	received struct{ update message.Exchange }
	// listed are the instances that the platform lists.
	listed struct{ addresses []string }
	// exchangeNow starts a round of exchanges at once.
	exchangeNow struct{}
	// marked are leaving marks that this node read itself.
	marked struct{ marks []message.LeavingMark }
	// describePeers asks for the membership.View, which is immutable.
	describePeers struct{}
)

// members passes messages to memberActor, which owns what the node knows of its
// peers.
type members struct{ actorRef }

// view returns what the node knows of its peers. It fails when the actor does not
// answer within askTimeout.
func (m *members) view() (membership.View, error) {
	view, err := ask[membership.View](&m.actorRef, describePeers{})
	return view, errors.Wrap(err, "ask for the peers")
}

// updateFanOut is to how many peers a node passes an update at once; with nothing new
// it exchanges with one at each gossipInterval. See docs/decisions/0006-membership.md
// for the bytes that it costs.
const updateFanOut = 3

// memberActor owns the node's membership.View and starts its exchanges.
type memberActor struct {
	incarnation *incarnation
	gate        *gate
	gossip      *gossip
	bundles     *bundles
	log         zerolog.Logger

	view membership.View
	rng  *rand.Rand
}

// Receive implements actor.Actor.
func (a *memberActor) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Started, exchangeNow:
		a.exchange(updateFanOut)
	case timePassed:
		now := a.incarnation.now()
		a.view = a.view.WithTime(now).WithReading(now)
		a.gate.apply(admission.Nodes{Count: a.view.Size(now)})
		a.exchange(1)
	case received:
		a.receive(m.update)
	case listed:
		a.view = a.view.WithList(a.incarnation.now(), m.addresses)
	case marked:
		a.mark(m.marks)
	case describePeers:
		c.Respond(a.view)
	}
}

// exchange starts exchanges with a few peers; their answers arrive as received.
func (a *memberActor) exchange(fanOut int) {
	update := a.gossip.update(a.view, a.rng)
	for _, p := range a.view.Sample(fanOut, a.rng) {
		go a.gossip.exchangeWith(p.Address, update)
	}
}

func (a *memberActor) receive(update message.Exchange) {
	a.apply(a.view.WithExchange(a.incarnation.now(), update))
	a.bundles.send(peerAnswered{})
	a.bundles.send(confirmed{digest: update.Digest})
}

// mark takes leaving marks and passes on those that are new at once.
func (a *memberActor) mark(marks []message.LeavingMark) {
	view, fresh := a.view.WithMarks(a.incarnation.now(), marks)
	a.apply(view, fresh)
	if len(fresh) > 0 {
		a.exchange(updateFanOut)
	}
}

// apply takes the next view and passes its new leaving marks to admission.
func (a *memberActor) apply(next membership.View, fresh []message.LeavingMark) {
	a.view = next
	for _, m := range fresh {
		a.gate.apply(admission.Mark{Target: m.Target, Incarnation: m.Incarnation})
		a.log.Info().Str("target", m.Target).Str("incarnation", m.Incarnation).Msg("members: target is leaving")
	}
}
