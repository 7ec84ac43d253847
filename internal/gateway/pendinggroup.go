package gateway

import (
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// pendingGroup is a group that waits for its results. It belongs to the coordinator until
// done is closed.
type pendingGroup struct {
	group   relay.Group
	results []batching.Result
	err     *verdict.Error
	itemIDs []batching.ItemID
	// pending counts the items without a result.
	pending int
	// onInputsRead is called once all items are assumed to have read their inputs; it may be
	// nil.
	onInputsRead func()
	// unread counts the items that have not been part of a batch that reads its inputs at
	// once.
	unread int
	// started is whether any item has been part of a batch.
	started bool
	closed  bool
	done    chan struct{}
}

// pendingItem is an item that waits for its result.
type pendingItem struct {
	group *pendingGroup
	index int
	// reading is whether the item has been part of a batch that reads its inputs at once.
	reading bool
}

// markReading records that one more item is part of a batch that reads its inputs at once. It
// decides whether the inputs count as read once the group's ReadTime has passed: if that
// holds for all items, and the group has inputs whose release somebody waits for.
//
// A batch reads its inputs at once only if its target is known to have no other call
// (batching.Send.TargetIdle). Otherwise the batch may wait at the target and find its inputs
// released; without this condition, that happened to 307 items in a day. The inputs of other
// batches are released when the batch has ended. If inputs are released too early, an item
// does not find them and they are computed again; if too late, they take memory that other
// items wait for. See docs/decisions/0012-batches.md, "Result memory" and "Inputs".
func (g *pendingGroup) markReading() bool {
	g.unread--
	return g.unread == 0 && len(g.group.Inputs) > 0 && g.onInputsRead != nil
}

// availableResults returns the results that have arrived.
func (g *pendingGroup) availableResults() []batching.Result {
	var results []batching.Result
	for _, r := range g.results {
		if r.Handle != "" {
			results = append(results, r)
		}
	}
	return results
}

// newItems creates the group's items, with the IDs that follow last. suspected reports
// whether a target crashed with an item before.
func (g *pendingGroup) newItems(last batching.ItemID, suspected func(quarantine.Digest) bool) []batching.Item {
	items := make([]batching.Item, g.group.Count)
	for i := range items {
		id := last + 1 + batching.ItemID(i)
		g.itemIDs = append(g.itemIDs, id)
		items[i] = batching.Item{
			ID: id, Request: g.group.Request, Stage: g.group.Stage, Index: i,
			Source: g.group.Source, Inputs: g.group.Inputs, Bytes: g.group.Bytes,
			Due: g.group.Due, Deadline: g.group.Deadline, Priority: g.group.Priority,
			DataCentre: g.group.DataCentre, Digest: g.group.Digest.Item(i),
			WithdrawableUntil: g.group.WithdrawableUntil,
		}
		items[i].Suspect = suspected(items[i].Digest)
	}
	return items
}
