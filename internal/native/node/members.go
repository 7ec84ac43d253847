package node

import (
	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/message"
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
	// describePeers asks for a peerView.
	describePeers struct{}
)

// peerView answers describePeers. It is immutable.
type peerView struct{ view membership.View }

// members passes messages to memberActor, which owns what the node knows of its
// peers.
type members struct{ actorRef }

// view returns what the node knows of its peers. It fails when the actor does not
// answer within askTimeout.
func (m *members) view() (membership.View, error) {
	answer, err := m.ask(describePeers{})
	if err != nil {
		return membership.View{}, errors.Wrap(err, "ask for the peers")
	}
	v, ok := answer.(peerView)
	if !ok {
		return membership.View{}, errors.Errorf("ask for the peers: unexpected answer %T", answer)
	}
	return v.view, nil
}
