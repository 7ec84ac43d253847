package node

import (
	"context"
	"math/rand/v2"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// gossip exchanges updates with other nodes: who lives, which targets are
// leaving, who reads the configuration service, and the number of the newest
// bundle. A node that learns of a newer bundle fetches it from the peer.
type gossip struct {
	// address and dataCentre are this node's.
	address     string
	dataCentre  string
	incarnation *incarnation
	// calls ends when the node cuts its calls.
	calls   context.Context
	client  *peerClient
	bundles *bundles
	members *members
	pause   *pauseDetector
	log     zerolog.Logger
}

// update returns what this node sends to a peer.
func (g *gossip) update(view membership.View, rng *rand.Rand) message.Exchange {
	now := g.incarnation.now()
	update := message.Exchange{
		Node: g.address, Incarnation: g.incarnation.id, DataCentre: g.dataCentre,
		Leaving: g.incarnation.currentPhase() == Leaving,
		Peers:   view.NamedPeers(now, rng), Marks: view.FreshMarks(now), Readers: view.Readers(now),
	}
	b, err := g.bundles.describe()
	if err != nil {
		g.log.Warn().Err(err).Msg("members: the update names no bundle")
		return update
	}
	if newest := b.state.Newest(); newest != nil {
		update.Bundle = newest.Number()
		update.Digest = newest.Digest()
	}
	return update
}

// exchangeWith sends an update to a peer and accepts the answer.
func (g *gossip) exchangeWith(address string, update message.Exchange) {
	ctx, cancel := context.WithTimeout(g.calls, peerTimeout)
	defer cancel()
	answer, err := g.client.exchange(ctx, address, update)
	if err != nil {
		g.log.Debug().Err(err).Str("peer", address).Msg("members: no exchange")
		return
	}
	g.accept(ctx, answer)
}

// accept takes a peer's update and fetches its bundle when that is newer.
func (g *gossip) accept(ctx context.Context, update message.Exchange) {
	if err := g.fetchNewer(ctx, update); err != nil {
		g.log.Warn().Err(err).Str("peer", update.Node).Msg("bundle: not taken from peer")
	}
	g.pause.refreshed()
	g.members.send(received{update})
}

// fetchNewer fetches and offers the peer's bundle when its number is higher than
// the newest known here: a step from that one, or the whole when the step does
// not lead to a good bundle.
func (g *gossip) fetchNewer(ctx context.Context, update message.Exchange) error {
	b, err := g.bundles.describe()
	if err != nil {
		return err
	}
	newest := b.state.Newest()
	if update.Bundle <= 0 || newest != nil && newest.Number() >= update.Bundle {
		return nil
	}
	if own := b.history.Newest(); own.Text != "" {
		err := g.fetch(ctx, update.Node, own)
		if err == nil {
			return nil
		}
		g.log.Debug().Err(err).Str("peer", update.Node).Msg("bundle: no step from peer, fetched whole")
	}
	return g.fetch(ctx, update.Node, bundle.Signed{})
}

// fetch fetches and offers what leads from own to the peer's bundle.
func (g *gossip) fetch(ctx context.Context, address string, own bundle.Signed) error {
	signed, err := g.client.bundle(ctx, address, own)
	if err != nil {
		return err
	}
	return g.bundles.offer(address, signed)
}
