package gateway

import (
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// pendingGroup is a group that waits for its results. The coordinator owns it until
// done is closed.
type pendingGroup struct {
	group   relay.Group
	results []batching.Result
	err     *verdict.Error
	tokens  []batching.Token
	// pending counts the items without a result.
	pending int
	// onInputsRead is called once all items count as having read their inputs; nil
	// when nobody wants to know.
	onInputsRead func()
	// unread counts the items that have not been part of a batch that reads its
	// inputs at once.
	unread int
	// started says whether any item has been part of a batch.
	started bool
	closed  bool
	done    chan struct{}
}

// pendingItem is an item that waits for its result.
type pendingItem struct {
	group *pendingGroup
	index int
	// reading says whether the item has been part of a batch that reads its inputs
	// at once.
	reading bool
}

// markReading notes that one more item is part of a batch that reads its inputs at
// once, and decides whether the inputs count as read after the group's ReadTime: when that holds
// for all items, and the group has inputs that somebody waits to release.
//
// A batch reads at once only where its target is known to have no other call
// (batching.Send.TargetIdle): else the batch may wait there and find its inputs gone
// (307 items of a day without this, 138 with it). The inputs of other
// batches are released when the batch has ended. Too early, an item finds its inputs
// gone and they are computed again; too late, they take memory that other items wait
// for. See docs/decisions/0012-batches.md, "Result memory" and "Inputs".
func (g *pendingGroup) markReading() bool {
	g.unread--
	return g.unread == 0 && len(g.group.Inputs) > 0 && g.onInputsRead != nil
}

// availableResults returns the results that are there.
func (g *pendingGroup) availableResults() []batching.Result {
	var results []batching.Result
	for _, r := range g.results {
		if r.Handle != "" {
			results = append(results, r)
		}
	}
	return results
}

// newItems returns the group's items, with the tokens that follow last. suspected says that a
// target ended with one before.
func (g *pendingGroup) newItems(last batching.Token, suspected func(quarantine.Digest) bool) []batching.Item {
	items := make([]batching.Item, g.group.Count)
	for i := range items {
		token := last + 1 + batching.Token(i)
		g.tokens = append(g.tokens, token)
		items[i] = batching.Item{
			Token: token, Request: g.group.Request, Stage: g.group.Stage, Index: i,
			Source: g.group.Source, Inputs: g.group.Inputs, Bytes: g.group.Bytes,
			Due: g.group.Due, Deadline: g.group.Deadline, Priority: g.group.Priority,
			DataCentre: g.group.DataCentre, Digest: g.group.Digest.Item(i),
		}
		items[i].Suspect = suspected(items[i].Digest)
	}
	return items
}
