package gateway

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// tickInterval is how often a core with work learns of the time.
	tickInterval = 40 * time.Millisecond
	// freeDelay gathers results to free in one call.
	freeDelay = 25 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// readTime is how long after the start of a call that has no other before it its
	// items have read their inputs. A target reads them before it works, which takes
	// far longer.
	readTime = 120 * time.Millisecond
	// dutyCheck is how often a former with work looks whether the work is still its
	// own.
	dutyCheck = 100 * time.Millisecond
	// reportInterval is how often a former logs its state while it has work.
	reportInterval = time.Second
)

// pendingGroup is a group that waits for its results. The actor owns it until done is
// closed.
type pendingGroup struct {
	group   relay.Group
	results []batching.Result
	err     *verdict.Error
	tokens  []batching.Token
	pending int
	// started is told once all items should have read their inputs; unstarted
	// counts the items that have not been part of a call.
	started   func()
	unstarted int
	// begun says whether any item has been part of a call.
	begun  bool
	closed bool
	done   chan struct{}
}

// inputsRead says that an order's items should have read their inputs.
type inputsRead struct{ order *pendingGroup }

// cancelGroup says that nobody waits for an order any more.
type cancelGroup struct{ order *pendingGroup }

// discardNow asks an actor to send what it gathered.
type discardNow struct{}

// handBack tells an actor that another node forms the service's calls from now on.
type handBack struct{}

// place is where an item's result goes.
type place struct {
	order *pendingGroup
	index int
	// begun says whether the item has been part of a call.
	begun bool
}

// coordinator forms the calls of one service: the shell around a batching core.
type coordinator struct {
	g       *Gateway
	service string
	core    *batching.Core
	last    batching.Token
	places  map[batching.Token]place
	ticking bool
	// leaving says that another node forms the calls of what has not begun.
	leaving bool
	// owned says whether this node was to form the service's calls when that was
	// last checked.
	owned   bool
	checked time.Time
	// reported is when the former last logged its state.
	reported time.Time
	// frees gathers results to free, by target.
	frees   map[string]*pendingDiscard
	freeing bool
	self    *actor.PID
}

type pendingDiscard struct {
	target  directory.Target
	handles []string
}

func newCoordinator(g *Gateway, service string) *coordinator {
	return &coordinator{
		g: g, service: service, core: batching.New(g.budget()),
		places: map[batching.Token]place{}, frees: map[string]*pendingDiscard{},
	}
}

// Receive implements actor.Actor.
func (c *coordinator) Receive(ctx actor.Context) {
	c.self = ctx.Self()
	switch msg := ctx.Message().(type) {
	case *pendingGroup:
		c.open(msg)
	case *plannedStage:
		msg.backlog <- c.core.State(c.g.now()).Backlog
		c.handle(msg.plan)
	case describe:
		msg.state <- c.core.State(c.g.now())
	case cancelGroup:
		c.cancel(msg.order)
	case inputsRead:
		if !msg.order.closed {
			go msg.order.started()
		}
	case handBack:
		c.leaving = true
		c.handBack(errLeaving())
	case discardNow:
		c.freeing = false
		c.flush()
	case batching.Tick:
		c.ticking = false
		c.handle(msg)
	case batching.Event:
		c.handle(msg)
	}
}

func (c *coordinator) open(o *pendingGroup) {
	if c.leaving {
		c.closeOrder(o, errLeaving())
		return
	}
	items := make([]batching.Item, o.group.Count)
	o.pending, o.unstarted = len(items), len(items)
	o.results = make([]batching.Result, len(items))
	for i := range items {
		c.last++
		c.places[c.last] = place{order: o, index: i}
		o.tokens = append(o.tokens, c.last)
		items[i] = batching.Item{
			Token: c.last, Request: o.group.Request, Stage: o.group.Stage, Index: i,
			Source: o.group.Source, Inputs: o.group.Inputs, Bytes: o.group.Bytes,
			Due: o.group.Due, Deadline: o.group.Deadline, Priority: o.group.Priority,
			DataCentre: o.group.DataCentre,
		}
	}
	c.handle(batching.Submit{Items: items})
}

// handBack ends the orders that have not begun, for another node to take. Two
// nodes that form calls for the same targets get into each other's way.
func (c *coordinator) handBack(cause *verdict.Error) {
	for _, p := range c.places {
		if !p.order.begun && !p.order.closed {
			c.closeOrder(p.order, cause)
		}
	}
}

func errLeaving() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving")
}

// checkDuty hands back what has not begun when another node has come to form the
// service's calls. Groups that still come are from nodes that do not know it yet.
func (c *coordinator) checkDuty(now time.Time) {
	if now.Sub(c.checked) < dutyCheck {
		return
	}
	c.checked = now
	owner := c.g.members.coordinator(c.service)
	owned := owner == "" || owner == c.g.PeerAddress()
	if c.owned && !owned && !c.leaving {
		c.g.log.Info().Str("service", c.service).Str("member", owner).Int("waiting", c.core.State(now).Waiting).
			Msg("items: another member forms the calls now")
		c.handBack(verdict.New(verdict.NotRun, verdict.ReasonMoved, "member %s forms the calls now", owner))
	}
	c.owned = owned
}

// cancel takes an order's items back and frees what is made of it.
func (c *coordinator) cancel(o *pendingGroup) {
	if !o.closed {
		c.closeOrder(o, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "withdrawn"))
		return
	}
	if o.err == nil {
		c.g.batches.releaseHere(c.service, o.results)
	}
}

// closeOrder ends an order; with an error its other items are withdrawn.
func (c *coordinator) closeOrder(o *pendingGroup, err *verdict.Error) {
	o.closed = true
	o.err = err
	for _, token := range o.tokens {
		delete(c.places, token)
	}
	if err != nil {
		var made []batching.Result
		for _, r := range o.results {
			if r.Handle != "" {
				made = append(made, r)
			}
		}
		o.results = nil
		c.g.batches.releaseHere(c.service, made)
		c.g.system.Root.Send(c.self, batching.Withdraw{Tokens: o.tokens})
	}
	close(o.done)
}

func (c *coordinator) handle(ev batching.Event) {
	now := c.g.now()
	for _, effect := range c.core.Handle(now, ev) {
		switch e := effect.(type) {
		case batching.Send:
			c.start(now, e)
		case batching.Resolve:
			c.resolve(e)
		case batching.Discard:
			c.gather(e)
		}
	}
	c.report(now)
	c.checkDuty(now)
	if !c.ticking && !c.core.Idle() {
		c.ticking = true
		self := c.self
		time.AfterFunc(tickInterval, func() { c.g.system.Root.Send(self, batching.Tick{}) })
	}
}

// report logs what the former holds, at most once in a while.
func (c *coordinator) report(now time.Time) {
	if now.Sub(c.reported) < reportInterval {
		return
	}
	c.reported = now
	s := c.core.State(now)
	c.g.log.Info().Str("service", c.service).Int("waiting", s.Waiting).Int("late", s.PastDue).Int("working", s.Busy).
		Int("targets", s.Targets).Int("paused", s.BackingOff).Int64("heldBytes", s.UsedBytes).Int64("roomBytes", s.MemoryBytes).
		Dur("wait", s.Wait).Dur("backlog", s.Backlog).Int("planned", s.Planned).Int64("calls", s.Batches).Int64("items", s.Items).Int64("repeats", s.Retries).
		Int64("expired", s.Expired).Int64("refused", s.Refused).Float64("perSecond", s.ItemsPerSecond).Msg("items: state")
}

func (c *coordinator) resolve(e batching.Resolve) {
	p, known := c.places[e.Token]
	if !known {
		return
	}
	delete(c.places, e.Token)
	if e.Err != nil {
		c.closeOrder(p.order, e.Err)
		return
	}
	p.order.results[p.index] = e.Result
	if p.order.pending--; p.order.pending == 0 {
		c.closeOrder(p.order, nil)
	}
}

// countBegun notes that items are part of a call, and has the makers of their
// inputs told when all items of their order are.
func (c *coordinator) countBegun(items []batching.Item) {
	for _, item := range items {
		p, known := c.places[item.Token]
		if !known || p.begun {
			continue
		}
		p.begun = true
		c.places[item.Token] = p
		if p.order.unstarted--; p.order.unstarted == 0 && len(p.order.group.Inputs) > 0 && p.order.started != nil {
			self, o := c.self, p.order
			time.AfterFunc(readTime, func() { c.g.system.Root.Send(self, inputsRead{o}) })
		}
	}
}

// start sends a call, after what is to be freed at the same target.
func (c *coordinator) start(now time.Time, e batching.Send) {
	free := c.frees[e.Target.ID]
	delete(c.frees, e.Target.ID)
	c.g.metrics.batch(c.service, len(e.Items))
	for _, item := range e.Items {
		if p, known := c.places[item.Token]; known {
			p.order.begun = true
		}
	}
	if e.TargetIdle {
		c.countBegun(e.Items)
	}
	self := c.self
	go func() {
		if free != nil {
			c.g.free(free)
		}
		ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
		defer cancel()
		outcomes, err := c.g.ports.Targets.RunBatch(ctx, BatchCall{
			Target: e.Target, Items: e.Items, Now: now,
			Permit: func() error { return c.g.permit(e.Target.ID) },
		})
		if err != nil {
			c.g.log.Warn().Str("service", c.service).Str("target", e.Target.ID).Int("items", len(e.Items)).
				Dur("took", c.g.now().Sub(now)).Err(err).Msg("items: call failed")
		}
		c.g.system.Root.Send(self, batching.Finished{Batch: e.Batch, Outcomes: outcomes, Err: err})
	}()
}

func (c *coordinator) gather(e batching.Discard) {
	p := c.frees[e.Target.ID]
	if p == nil {
		p = &pendingDiscard{target: e.Target}
		c.frees[e.Target.ID] = p
	}
	p.handles = append(p.handles, e.Handles...)
	if !c.freeing {
		c.freeing = true
		self := c.self
		time.AfterFunc(freeDelay, func() { c.g.system.Root.Send(self, discardNow{}) })
	}
}

func (c *coordinator) flush() {
	for id, p := range c.frees {
		delete(c.frees, id)
		go c.g.free(p)
	}
}

func (g *Gateway) free(p *pendingDiscard) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := g.ports.Targets.Release(ctx, p.target, p.handles); err != nil {
		g.log.Debug().Str("target", p.target.ID).Int("results", len(p.handles)).Err(err).Msg("items: not freed")
	}
}

// permit is asked just before the first byte of a call is written.
func (g *Gateway) permit(id string) error {
	if g.views.load().Directory.Usable(id, g.now()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target leaves")
}
