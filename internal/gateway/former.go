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

// order is a group that waits for its results. The actor owns it until done is
// closed.
type order struct {
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
type inputsRead struct{ order *order }

// cancelOrder says that nobody waits for an order any more.
type cancelOrder struct{ order *order }

// freeNow asks an actor to send what it gathered.
type freeNow struct{}

// handBack tells an actor that another node forms the service's calls from now on.
type handBack struct{}

// place is where an item's result goes.
type place struct {
	order *order
	index int
	// begun says whether the item has been part of a call.
	begun bool
}

// former forms the calls of one service: the shell around a batching core.
type former struct {
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
	frees   map[string]*pendingFree
	freeing bool
	self    *actor.PID
}

type pendingFree struct {
	target  directory.Target
	handles []string
}

func newFormer(g *Gateway, service string) *former {
	return &former{
		g: g, service: service, core: batching.New(g.budget()),
		places: map[batching.Token]place{}, frees: map[string]*pendingFree{},
	}
}

// Receive implements actor.Actor.
func (f *former) Receive(ctx actor.Context) {
	f.self = ctx.Self()
	switch msg := ctx.Message().(type) {
	case *order:
		f.open(msg)
	case *plannedStage:
		msg.backlog <- f.core.State(f.g.now()).Backlog
		f.handle(msg.plan)
	case describe:
		msg.state <- f.core.State(f.g.now())
	case cancelOrder:
		f.cancel(msg.order)
	case inputsRead:
		if !msg.order.closed {
			go msg.order.started()
		}
	case handBack:
		f.leaving = true
		f.handBack(errLeaving())
	case freeNow:
		f.freeing = false
		f.flush()
	case batching.Tick:
		f.ticking = false
		f.handle(msg)
	case batching.Event:
		f.handle(msg)
	}
}

func (f *former) open(o *order) {
	if f.leaving {
		f.closeOrder(o, errLeaving())
		return
	}
	items := make([]batching.Item, o.group.Count)
	o.pending, o.unstarted = len(items), len(items)
	o.results = make([]batching.Result, len(items))
	for i := range items {
		f.last++
		f.places[f.last] = place{order: o, index: i}
		o.tokens = append(o.tokens, f.last)
		items[i] = batching.Item{
			Token: f.last, Request: o.group.Request, Stage: o.group.Stage, Index: i,
			Source: o.group.Source, Inputs: o.group.Inputs, Bytes: o.group.Bytes,
			Due: o.group.Due, Deadline: o.group.Deadline, Priority: o.group.Priority,
			DataCentre: o.group.DataCentre,
		}
	}
	f.handle(batching.Submit{Items: items})
}

// handBack ends the orders that have not begun, for another node to take. Two
// nodes that form calls for the same targets get into each other's way.
func (f *former) handBack(cause *verdict.Error) {
	for _, p := range f.places {
		if !p.order.begun && !p.order.closed {
			f.closeOrder(p.order, cause)
		}
	}
}

func errLeaving() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving")
}

// checkDuty hands back what has not begun when another node has come to form the
// service's calls. Groups that still come are from nodes that do not know it yet.
func (f *former) checkDuty(now time.Time) {
	if now.Sub(f.checked) < dutyCheck {
		return
	}
	f.checked = now
	owner := f.g.batches.owner(f.service)
	owned := owner == "" || owner == f.g.PeerAddress()
	if f.owned && !owned && !f.leaving {
		f.g.log.Info().Str("service", f.service).Str("member", owner).Int("waiting", f.core.State(now).Waiting).
			Msg("items: another member forms the calls now")
		f.handBack(verdict.New(verdict.NotRun, verdict.ReasonMoved, "member %s forms the calls now", owner))
	}
	f.owned = owned
}

// cancel takes an order's items back and frees what is made of it.
func (f *former) cancel(o *order) {
	if !o.closed {
		f.closeOrder(o, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "withdrawn"))
		return
	}
	if o.err == nil {
		f.g.batches.releaseHere(f.service, o.results)
	}
}

// closeOrder ends an order; with an error its other items are withdrawn.
func (f *former) closeOrder(o *order, err *verdict.Error) {
	o.closed = true
	o.err = err
	for _, token := range o.tokens {
		delete(f.places, token)
	}
	if err != nil {
		var made []batching.Result
		for _, r := range o.results {
			if r.Handle != "" {
				made = append(made, r)
			}
		}
		o.results = nil
		f.g.batches.releaseHere(f.service, made)
		f.g.system.Root.Send(f.self, batching.Withdraw{Tokens: o.tokens})
	}
	close(o.done)
}

func (f *former) handle(ev batching.Event) {
	now := f.g.now()
	for _, effect := range f.core.Handle(now, ev) {
		switch e := effect.(type) {
		case batching.Start:
			f.start(now, e)
		case batching.Resolve:
			f.resolve(e)
		case batching.Free:
			f.gather(e)
		}
	}
	f.report(now)
	f.checkDuty(now)
	if !f.ticking && !f.core.Idle() {
		f.ticking = true
		self := f.self
		time.AfterFunc(tickInterval, func() { f.g.system.Root.Send(self, batching.Tick{}) })
	}
}

// report logs what the former holds, at most once in a while.
func (f *former) report(now time.Time) {
	if now.Sub(f.reported) < reportInterval {
		return
	}
	f.reported = now
	s := f.core.State(now)
	f.g.log.Info().Str("service", f.service).Int("waiting", s.Waiting).Int("late", s.Late).Int("working", s.Working).
		Int("targets", s.Targets).Int("paused", s.Paused).Int64("heldBytes", s.HeldBytes).Int64("roomBytes", s.RoomBytes).
		Dur("wait", s.Wait).Dur("backlog", s.Backlog).Int("planned", s.Planned).Int64("calls", s.Calls).Int64("items", s.Items).Int64("repeats", s.Repeats).
		Int64("expired", s.Expired).Int64("refused", s.Refused).Float64("perSecond", s.PerSecond).Msg("items: state")
}

func (f *former) resolve(e batching.Resolve) {
	p, known := f.places[e.Token]
	if !known {
		return
	}
	delete(f.places, e.Token)
	if e.Err != nil {
		f.closeOrder(p.order, e.Err)
		return
	}
	p.order.results[p.index] = e.Result
	if p.order.pending--; p.order.pending == 0 {
		f.closeOrder(p.order, nil)
	}
}

// countBegun notes that items are part of a call, and has the makers of their
// inputs told when all items of their order are.
func (f *former) countBegun(items []batching.Item) {
	for _, item := range items {
		p, known := f.places[item.Token]
		if !known || p.begun {
			continue
		}
		p.begun = true
		f.places[item.Token] = p
		if p.order.unstarted--; p.order.unstarted == 0 && len(p.order.group.Inputs) > 0 && p.order.started != nil {
			self, o := f.self, p.order
			time.AfterFunc(readTime, func() { f.g.system.Root.Send(self, inputsRead{o}) })
		}
	}
}

// start sends a call, after what is to be freed at the same target.
func (f *former) start(now time.Time, e batching.Start) {
	free := f.frees[e.Target.ID]
	delete(f.frees, e.Target.ID)
	f.g.metrics.batch(f.service, len(e.Items))
	for _, item := range e.Items {
		if p, known := f.places[item.Token]; known {
			p.order.begun = true
		}
	}
	if e.AtOnce {
		f.countBegun(e.Items)
	}
	self := f.self
	go func() {
		if free != nil {
			f.g.free(free)
		}
		ctx, cancel := context.WithTimeout(context.Background(), e.Limit)
		defer cancel()
		outcomes, err := f.g.ports.Targets.Make(ctx, ItemCall{
			Target: e.Target, Items: e.Items, Now: now,
			Permit: func() error { return f.g.permit(e.Target.ID) },
		})
		if err != nil {
			f.g.log.Warn().Str("service", f.service).Str("target", e.Target.ID).Int("items", len(e.Items)).
				Dur("took", f.g.now().Sub(now)).Err(err).Msg("items: call failed")
		}
		f.g.system.Root.Send(self, batching.Finished{Call: e.Call, Outcomes: outcomes, Err: err})
	}()
}

func (f *former) gather(e batching.Free) {
	p := f.frees[e.Target.ID]
	if p == nil {
		p = &pendingFree{target: e.Target}
		f.frees[e.Target.ID] = p
	}
	p.handles = append(p.handles, e.Handles...)
	if !f.freeing {
		f.freeing = true
		self := f.self
		time.AfterFunc(freeDelay, func() { f.g.system.Root.Send(self, freeNow{}) })
	}
}

func (f *former) flush() {
	for id, p := range f.frees {
		delete(f.frees, id)
		go f.g.free(p)
	}
}

func (g *Gateway) free(p *pendingFree) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := g.ports.Targets.Release(ctx, p.target, p.handles); err != nil {
		g.log.Debug().Str("target", p.target.ID).Int("results", len(p.handles)).Err(err).Msg("items: not freed")
	}
}

// permit is asked just before the first byte of a call is written.
func (g *Gateway) permit(id string) error {
	if g.view.Load().Directory.Usable(id, g.now()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target leaves")
}
