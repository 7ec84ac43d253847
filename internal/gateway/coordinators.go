package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// coordinatorConfig holds the dependencies and settings of a coordinator.
type coordinatorConfig struct {
	now     func() time.Time
	log     zerolog.Logger
	system  *actor.ActorSystem
	members *members
	targets Targets
	metrics *metrics
	// retries bounds the retries of each service.
	retries retrybudget.Policy
	// margin widens the limits of cold targets.
	margin warmup.Margin
	// quarantine records the items that crash their targets.
	quarantine *quarantine.Tracker
	// backpressure holds the limits and pauses that targets ask for.
	backpressure *backpressure.Tracker
	// admission returns the rules of admission that apply to a service.
	admission func(c *catalog.Catalog, service string) batching.Admission
	// permit is called just before the first byte of a call to a target is written; an error
	// forbids the call.
	permit func(target string) error
}

// coordinators owns this node's coordinators, one actor per service, and the lock that guards
// them. Coordinators are created on first use and never removed.
type coordinators struct {
	coordinatorConfig
	views *viewKeeper

	mu       sync.Mutex
	services map[string]*actor.PID
	// runningGroups counts the groups that this node runs.
	runningGroups atomic.Int64
}

// idle reports whether this node runs no groups.
func (c *coordinators) idle() bool { return c.runningGroups.Load() == 0 }

// getOrSpawn returns this node's coordinator of a service and creates it if there is none.
func (c *coordinators) getOrSpawn(service string) *actor.PID {
	c.mu.Lock()
	defer c.mu.Unlock()
	pid := c.services[service]
	if pid == nil {
		pid = c.system.Root.Spawn(newCoordinator(c.coordinatorConfig, service).props())
		c.services[service] = pid
		c.system.Root.Send(pid, c.configureEvent(c.views.load(), service))
	}
	return pid
}

func (c *coordinators) configureEvent(v *view.View, service string) batching.Configure {
	ev := batching.Configure{Targets: v.Directory.Service(service), AllEvacuated: v.Directory.AllEvacuated(service)}
	if v.Catalog != nil {
		ev.Service = v.Catalog.Service(service)
		ev.Admission = c.admission(v.Catalog, service)
	}
	if ev.Service != nil {
		ev.WarmUp = c.margin.Bound(ev.Service.WarmUp)
	}
	return ev
}

// configure passes a new view to all coordinators.
func (c *coordinators) configure(v *view.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, pid := range c.services {
		c.system.Root.Send(pid, c.configureEvent(v, service))
	}
}

// handBack returns the groups whose first call has not started to their senders, for the
// member that coordinates the services from now on. It does nothing if there is no other
// member: the last node finishes its work itself.
func (c *coordinators) handBack() {
	if c.members.coordinator("") == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pid := range c.services {
		c.system.Root.Send(pid, handBack{})
	}
}

// run runs the items of a group in batches that this node assembles.
func (c *coordinators) run(ctx context.Context, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	c.runningGroups.Add(1)
	defer c.runningGroups.Add(-1)
	pid := c.getOrSpawn(service)
	pending := &pendingGroup{group: group, onInputsRead: inputsRead, done: make(chan struct{})}
	c.system.Root.Send(pid, pending)
	select {
	case <-pending.done:
		return pending.results, pending.err
	case <-ctx.Done():
		c.system.Root.Send(pid, cancelGroup{pending})
		return nil, verdict.New(verdict.NotRun, contextReason(ctx), "the results of stage %d were not awaited", group.Stage)
	}
}

// release releases results at the targets that hold them.
func (c *coordinators) release(service string, results []batching.Result) {
	sendReleases(c.system, c.getOrSpawn(service), results)
}

// sendReleases asks a coordinator to release results, grouped by target.
func sendReleases(system *actor.ActorSystem, pid *actor.PID, results []batching.Result) {
	byTarget := map[string][]string{}
	for _, r := range results {
		byTarget[r.Target] = append(byTarget[r.Target], r.Handle)
	}
	for target, handles := range byTarget {
		system.Root.Send(pid, batching.Release{Target: directory.ParseIncarnation(target), Handles: handles})
	}
}

// plan passes plans to the coordinators of their services, and returns the quotes for the
// stages of each. It fails if ctx is done first.
func (c *coordinators) plan(ctx context.Context, plans []requestPlan) ([][]relay.Quote, error) {
	received := c.now()
	byService := map[string]*planStages{}
	quotes := make([][]relay.Quote, len(plans))
	for i, p := range plans {
		quotes[i] = make([]relay.Quote, len(p.Stages))
		for k, s := range p.Stages {
			m := byService[s.Service]
			if m == nil {
				m = &planStages{received: received, done: make(chan struct{})}
				byService[s.Service] = m
			}
			m.add(p, s, &quotes[i][k])
		}
	}
	for service, m := range byService {
		c.system.Root.Send(c.getOrSpawn(service), m)
	}
	for _, m := range byService {
		select {
		case <-m.done:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "the coordinators did not answer")
		}
	}
	return quotes, nil
}

// states returns the states of the coordinators by service, without those that have not
// answered when ctx is done.
func (c *coordinators) states(ctx context.Context) map[string]serviceState {
	c.mu.Lock()
	services := maps.Clone(c.services)
	c.mu.Unlock()
	states := make(map[string]serviceState, len(services))
	for service, pid := range services {
		d := stateRequest{state: make(chan serviceState, 1)}
		c.system.Root.Send(pid, d)
		select {
		case states[service] = <-d.state:
		case <-ctx.Done():
		}
	}
	return states
}

// speeds describes the targets of batch services that report their speed, without those of
// coordinators that have not answered when ctx is done.
func (c *coordinators) speeds(ctx context.Context) []targetspeed.View {
	c.mu.Lock()
	services := maps.Clone(c.services)
	c.mu.Unlock()
	var list []targetspeed.View
	for _, pid := range services {
		r := speedsRequest{speeds: make(chan []targetspeed.View, 1)}
		c.system.Root.Send(pid, r)
		select {
		case speeds := <-r.speeds:
			list = append(list, speeds...)
		case <-ctx.Done():
		}
	}
	return list
}
