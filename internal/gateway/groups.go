package gateway

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// submitGroup submits a group's items to the core, or hands the group back if the node is
// leaving.
func (c *coordinator) submitGroup(g *pendingGroup) {
	if c.leaving {
		c.closeGroup(g, errLeaving())
		return
	}
	c.reservations.submitted(g.group.Request, g.group.Stage)
	items := g.newItems(c.lastItemID, c.quarantine.Suspected)
	c.lastItemID += batching.ItemID(len(items))
	g.pending, g.unread = len(items), len(items)
	g.results = make([]batching.Result, len(items))
	for i, item := range items {
		c.items[item.ID] = &pendingItem{group: g, index: i}
	}
	c.handle(batching.Submit{Items: items})
}

// markStarted records that items are part of a batch. It returns the groups whose inputs are read
// with it.
func (c *coordinator) markStarted(e batching.Send) (reading []*pendingGroup) {
	for _, item := range e.Items {
		p, known := c.items[item.ID]
		if !known {
			continue
		}
		p.group.started = true
		if !e.TargetIdle || p.reading {
			continue
		}
		p.reading = true
		if p.group.markReading() {
			reading = append(reading, p.group)
		}
	}
	return reading
}

// reportRead reports the inputs of groups as read once their read time has passed. It is called when
// the batch that reads them is written, outside the actor: making the connection may take as long as
// reading them.
func (c *coordinator) reportRead(self *actor.PID, groups []*pendingGroup) {
	for _, g := range groups {
		time.AfterFunc(g.group.ReadTime, func() { c.system.Root.Send(self, inputsRead{g}) })
	}
}

// resolveItem records the result of an item. The last result closes its group, and so does an
// error.
func (c *coordinator) resolveItem(e batching.Resolve) {
	p, known := c.items[e.ItemID]
	if !known {
		return
	}
	delete(c.items, e.ItemID)
	if e.Err != nil {
		if _, withdrawn := relay.WithdrawnCause(e.Err); withdrawn {
			c.metrics.recordWithdrawn(c.service)
		}
		c.closeGroup(p.group, e.Err)
		return
	}
	p.group.results[p.index] = e.Result
	if p.group.pending--; p.group.pending == 0 {
		c.closeGroup(p.group, nil)
	}
}

// cancel withdraws a group's items and releases its results.
func (c *coordinator) cancel(g *pendingGroup) {
	if !g.closed {
		c.closeGroup(g, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "withdrawn"))
		return
	}
	if g.err == nil {
		sendReleases(c.system, c.self, g.results)
	}
}

// closeGroup closes a group. If there is an error, its other items are withdrawn and their
// results are released.
func (c *coordinator) closeGroup(g *pendingGroup, err *verdict.Error) {
	g.closed = true
	g.err = err
	for _, id := range g.itemIDs {
		delete(c.items, id)
	}
	if err != nil {
		finished := g.availableResults()
		g.results = nil
		sendReleases(c.system, c.self, finished)
		c.system.Root.Send(c.self, batching.Withdraw{ItemIDs: g.itemIDs})
	}
	close(g.done)
}
