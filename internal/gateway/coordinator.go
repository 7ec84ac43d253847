package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/fairshare"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// tickInterval is how often a core with work is sent the time. It is a sixth of a batch
	// and bounds how late an expired item or a stuck batch is noticed.
	tickInterval = 40 * time.Millisecond
	// ownershipCheckInterval is how often a coordinator with work checks whether this node
	// still coordinates the service. It adds to the time for which two members coordinate the
	// service at once.
	ownershipCheckInterval = 100 * time.Millisecond
	// stateLogInterval is how often a coordinator with work logs its state. It bounds the
	// volume of the log.
	stateLogInterval = time.Second
)

// tick passes the time to the core. It should arrive at due.
type tick struct{ due time.Time }

// inputsRead is sent when a group's items are assumed to have read their inputs.
type inputsRead struct{ group *pendingGroup }

// cancelGroup cancels a group that nothing waits for any more.
type cancelGroup struct{ group *pendingGroup }

// flushDiscards sends the collected discards.
type flushDiscards struct{}

// handBack hands groups back because another node coordinates the service from now on.
type handBack struct{}

// stateRequest asks for the state.
type stateRequest struct{ state chan serviceState }

// serviceState describes a coordinator.
type serviceState struct {
	batching.State
	reservations reservationState
	shares       fairshare.State
}

// speedsRequest asks for the targets that report their speed.
type speedsRequest struct{ speeds chan []targetspeed.View }

// coordinator assembles the batches of one service. It is the actor around a batching core,
// which makes the decisions. It passes events to the core, sends its batches to targets, and
// holds what the core does not: the groups, the results to discard, and whether this node
// coordinates the service.
type coordinator struct {
	coordinatorConfig
	service string
	core    *batching.Core
	// gate applies the limits and pauses that targets ask for.
	gate        backpressure.Gate
	lastItemID  batching.ItemID
	items       map[batching.ItemID]*pendingItem
	tickPending bool
	// leaving is set when another node is to run what has not started.
	leaving bool
	// owned is whether this node coordinated the service at the last check.
	owned              bool
	ownershipCheckedAt time.Time
	// stateLoggedAt is when the state was last logged.
	stateLoggedAt time.Time
	discards      *discardQueue
	// reservations holds the capacity that is reserved for retries.
	reservations reservations
	// shares are the fair shares of organisations.
	shares shares
	// turns estimates how long messages wait for their turn.
	turns *turnWait
	self  *actor.PID
}

func newCoordinator(cfg coordinatorConfig, service string) *coordinator {
	gate := cfg.backpressure.CallGate(func() bool { return cfg.members.ownsRole(service) })
	return &coordinator{
		coordinatorConfig: cfg, service: service, gate: gate, turns: &turnWait{},
		core:     batching.New(cfg.retries, batching.WithGate(gate)),
		items:    map[batching.ItemID]*pendingItem{},
		shares:   shares{service: service, metrics: cfg.metrics},
		discards: &discardQueue{log: cfg.log, targets: cfg.targets, byTarget: map[directory.Incarnation]*batching.Discard{}},
	}
}

// props returns the properties of the coordinator's actor.
func (c *coordinator) props() *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor { return c }, actor.WithMailbox(actor.Unbounded(c.turns)))
}

// Receive implements actor.Actor.
func (c *coordinator) Receive(ctx actor.Context) {
	c.self = ctx.Self()
	begun := c.now()
	defer func() { c.turns.record(begun, c.now()) }()
	switch msg := ctx.Message().(type) {
	case *pendingGroup:
		c.submitGroup(msg)
	case *planStages:
		c.plan(msg)
	case speedsRequest:
		msg.speeds <- c.core.Speeds(c.now())
	case stateRequest:
		msg.state <- c.state(c.now())
	case cancelGroup:
		c.cancel(msg.group)
	case inputsRead:
		if !msg.group.closed {
			go msg.group.onInputsRead()
		}
	case handBack:
		c.leaving = true
		c.handBack(errLeaving())
	case flushDiscards:
		c.discards.flush()
	case tick:
		c.tickPending = false
		c.handle(batching.Tick{Delay: max(c.now().Sub(msg.due), 0)})
	case batching.Configure:
		c.configure(msg)
	case batching.Event:
		c.handle(msg)
	}
}

// configure passes the configuration to the core, and to the fair shares.
func (c *coordinator) configure(ev batching.Configure) {
	c.reservations.configure(ev.Admission.Reserve)
	c.shares.configure(ev.Admission.FairShares)
	c.handle(ev)
}

// sendAfter sends the actor a message after d.
func (c *coordinator) sendAfter(d time.Duration, msg any) {
	self := c.self
	time.AfterFunc(d, func() { c.system.Root.Send(self, msg) })
}

// handle passes an event to the core and carries out the effects that it returns.
func (c *coordinator) handle(ev batching.Event) {
	now := c.now()
	for _, effect := range c.core.Handle(now, ev) {
		switch e := effect.(type) {
		case batching.Send:
			c.sendBatch(now, e)
		case batching.Inspect:
			c.inspect(e)
		case batching.Resolve:
			c.resolveItem(e)
		case batching.Discard:
			if c.discards.add(e) {
				c.sendAfter(discardDelay, flushDiscards{})
			}
		}
	}
	c.logState(now)
	c.checkOwnership(now)
	if !c.tickPending && !c.core.Idle() {
		c.tickPending = true
		c.sendAfter(tickInterval, tick{due: c.now().Add(tickInterval)})
	}
}

// logState logs the state, at most once per stateLogInterval.
func (c *coordinator) logState(now time.Time) {
	if now.Sub(c.stateLoggedAt) < stateLogInterval {
		return
	}
	c.stateLoggedAt = now
	s := c.state(now)
	c.metrics.recordReservations(c.service, c.reservations.unreported(s.reservations))
	ev := c.log.Info().Str("service", c.service).Int("waiting", s.Waiting).Int("late", s.PastDue).Int("working", s.Busy).
		Int("targets", s.Targets).Int("paused", s.BackingOff).Int64("heldBytes", s.UsedBytes).Int64("roomBytes", s.MemoryBytes).
		Dur("wait", s.Wait).Dur("backlog", s.Backlog).Int("planned", s.Planned).
		Int64("calls", s.Batches).Int64("items", s.Items).Int64("repeats", s.Retries).
		Int64("expired", s.Expired).Int64("refused", s.Refused).Int64("withdrawn", s.Withdrawn).Float64("perSecond", s.ItemsPerSecond)
	if s.Ahead != nil || s.ArrivalsPerSecond > 0 {
		ev = ev.Array("ahead", aheadLog(s.Ahead)).Float64("arrivals", s.ArrivalsPerSecond)
	}
	if r := s.reservations; r.enabled {
		ev = ev.Int("reserved", r.Open).Int64("offered", r.Offered).Int64("claimed", r.Claimed).Int64("lapsed", r.Lapsed).Int64("dropped", r.Dropped)
	}
	ev.Msg("items: state")
}

// aheadLog logs the work of each priority.
type aheadLog []batching.PriorityWork

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l aheadLog) MarshalZerologArray(a *zerolog.Array) {
	for _, w := range l {
		a.Dict(zerolog.Dict().Int("priority", w.Priority).Int("items", w.Items).Int64("bytes", w.Bytes))
	}
}

// sendBatch sends a batch to its target, preceded by the discards collected for the same
// target.
func (c *coordinator) sendBatch(now time.Time, e batching.Send) {
	discard := c.discards.take(e.Target.Incarnation())
	c.metrics.recordBatch(c.service, len(e.Items))
	reading := c.markStarted(e)
	self := c.self
	go func() {
		if discard != nil {
			c.discards.send(discard)
		}
		written := func() { c.reportRead(self, reading) }
		c.system.Root.Send(self, c.runBatch(now, e, written))
	}()
}

// inspectTimeout bounds an inspection, during which the target gets no batch. An answer takes
// some milliseconds.
const inspectTimeout = 200 * time.Millisecond

// inspect asks a target what it is running and holding.
func (c *coordinator) inspect(e batching.Inspect) {
	self := c.self
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
		defer cancel()
		report, err := c.targets.Inspect(ctx, e.Target)
		c.metrics.recordFailedCall(err)
		c.logInspection(e, report, err)
		c.system.Root.Send(self, batching.Inspected{Target: e.Target.Incarnation(), Report: report, Err: err})
	}()
}

func (c *coordinator) logInspection(e batching.Inspect, report batching.Report, err *verdict.Error) {
	event := c.log.Debug().Str("service", c.service).Str("target", e.Target.ID)
	if err != nil {
		withEvidence(event, err).Err(err).Msg("items: inspecting a target failed, treating it as idle")
		return
	}
	event.Bool("busy", report.Busy).Int64("freeBytes", report.FreeBytes).Msg("items: target inspected")
}

// runBatch runs a batch at its target and returns the result. It calls written just before the first
// byte is written. It runs outside the actor, so it must not touch the actor's state.
func (c *coordinator) runBatch(now time.Time, e batching.Send, written func()) batching.Finished {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	answer, err := c.targets.RunBatch(ctx, BatchCall{
		Target: e.Target, Items: e.Items, Now: now,
		Permit: func() error {
			err := c.permitCall(e.Target)
			if err == nil {
				written()
			}
			return err
		},
	})
	c.metrics.recordFailedCall(err)
	if err != nil {
		withEvidence(c.log.Warn(), err).Str("service", c.service).Str("target", e.Target.ID).Int("items", len(e.Items)).
			Strs("requests", requestsOf(e.Items)).Dur("took", c.now().Sub(now)).Err(err).Msg("items: batch failed")
	}
	return batching.Finished{Batch: e.Batch, Outcomes: answer.Outcomes, Slowdown: answer.Slowdown, Err: err, TargetCrashed: c.recordResult(e, now, err)}
}

// maxLoggedRequests bounds the requests in a line.
const maxLoggedRequests = 16

// requestsOf returns the IDs of the first requests that items belong to.
func requestsOf(items []batching.Item) []string {
	var ids []string
	for _, item := range items {
		if len(ids) < maxLoggedRequests && !slices.Contains(ids, item.Request) {
			ids = append(ids, item.Request)
		}
	}
	return ids
}

// permitCall is called just before the first byte of a batch is written; an error forbids the
// call.
func (c *coordinator) permitCall(t directory.Target) error {
	if c.gate.HeldBack(t.Incarnation()) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target takes no new work")
	}
	return c.permit(t.ID)
}

// recordResult tells the quarantine what the result of a batch, sent at the given time, says
// about its items. It reports whether the target crashed: the connection broke and the
// target's process has ended. Like runBatch it runs outside the actor.
func (c *coordinator) recordResult(e batching.Send, sentAt time.Time, err *verdict.Error) (crashed bool) {
	switch {
	case rules.TargetSurvived(err):
		for _, item := range e.Items {
			if item.Digest != 0 {
				c.quarantine.RecordAnswer(item.Digest)
			}
		}
		return false
	case !rules.ConnectionBroke(err):
		return false
	}
	brokeAt := c.now()
	ctx, cancel := context.WithTimeout(context.Background(), endedCheckTimeout)
	defer cancel()
	if !c.targets.HasEnded(ctx, e.Target) {
		return false
	}
	c.metrics.recordTargetEnd()
	c.log.Warn().Str("service", c.service).Str("target", e.Target.ID).Strs("digests", uniqueDigests(e.Items)).
		Msg("items: target process ended while it ran a batch")
	for _, item := range e.Items {
		if item.Digest != 0 {
			c.quarantine.RecordCrash(item.Digest, quarantine.Crash{Target: e.Target.Incarnation().String(), SentAt: sentAt, BrokenAt: brokeAt, Silent: true})
		}
	}
	return true
}

// endedCheckTimeout bounds checking whether a target's process has ended, which the items of
// its batch wait for. The target's instance refuses a connection within a round trip.
const endedCheckTimeout = 200 * time.Millisecond

// uniqueDigests returns the digests of the items of a batch, without duplicates.
func uniqueDigests(items []batching.Item) []string {
	var list []string
	for _, item := range items {
		if text := item.Digest.String(); !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	return list
}
