package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// coordinatorConfig is what a coordinator works with.
type coordinatorConfig struct {
	now     func() time.Time
	log     zerolog.Logger
	system  *actor.ActorSystem
	members *members
	targets Targets
	metrics *metrics
	// retries bounds the retries of each service.
	retries retrybudget.Policy
	// margin widens what cold targets get.
	margin warmup.Margin
	// quarantine hears of the items that targets ended with.
	quarantine *quarantine.Keeper
	// backpressure knows what targets ask for.
	backpressure *backpressure.Keeper
	// permit is called just before the first byte of a call to a target is written;
	// an error forbids it.
	permit func(target string) error
}

// coordinators owns this node's coordinators, one actor a service, and the lock over
// their list. They are created on first use and stay. It counts the groups that this
// node runs.
type coordinators struct {
	coordinatorConfig
	views *viewKeeper

	mu       sync.Mutex
	services map[string]*actor.PID
	// runningGroups counts the groups that this node runs.
	runningGroups atomic.Int64
}

// idle says whether this node runs no group.
func (c *coordinators) idle() bool { return c.runningGroups.Load() == 0 }

// getOrSpawn returns the coordinator of a service at this node.
func (c *coordinators) getOrSpawn(service string) *actor.PID {
	c.mu.Lock()
	defer c.mu.Unlock()
	pid := c.services[service]
	if pid == nil {
		pid = c.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newCoordinator(c.coordinatorConfig, service) }))
		c.services[service] = pid
		c.system.Root.Send(pid, c.configureEvent(c.views.load(), service))
	}
	return pid
}

func (c *coordinators) configureEvent(v *view.View, service string) batching.Configure {
	ev := batching.Configure{Targets: v.Directory.Service(service), AllEvacuated: v.Directory.AllEvacuated(service)}
	if v.Catalog != nil {
		ev.Service = v.Catalog.Service(service)
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

// handBack has the groups that wait for their first call handed back, for the
// member that takes this node's coordination over. It does nothing when there is no
// other member: the last node finishes its work itself.
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

// run has the items of a group run by batches that this node assembles.
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

// release has results released at the targets that hold them.
func (c *coordinators) release(service string, results []batching.Result) {
	sendReleases(c.system, c.getOrSpawn(service), results)
}

// sendReleases has a coordinator release results, by target.
func sendReleases(system *actor.ActorSystem, pid *actor.PID, results []batching.Result) {
	byTarget := map[string][]string{}
	for _, r := range results {
		byTarget[r.Target] = append(byTarget[r.Target], r.Handle)
	}
	for target, handles := range byTarget {
		system.Root.Send(pid, batching.Release{Target: directory.ParseLife(target), Handles: handles})
	}
}

// plan announces a planned stage to its coordinator and returns the backlog before
// it; 0, for unknown, when ctx ends first.
func (c *coordinators) plan(ctx context.Context, request string, s relay.PlannedStage) time.Duration {
	p := &planStage{
		plan:    batching.Plan{Request: request, Stage: s.Stage, Items: s.Items, Due: s.Due},
		backlog: make(chan time.Duration, 1),
	}
	c.system.Root.Send(c.getOrSpawn(s.Service), p)
	select {
	case d := <-p.backlog:
		return d
	case <-ctx.Done():
		return 0
	}
}

// cancel withdraws a planned stage.
func (c *coordinators) cancel(request string, s relay.PlannedStage) {
	c.system.Root.Send(c.getOrSpawn(s.Service), batching.CancelPlan{Request: request, Stage: s.Stage})
}

// states returns the state of each coordinator by its service, without those that
// have not answered when ctx ends.
func (c *coordinators) states(ctx context.Context) map[string]batching.State {
	c.mu.Lock()
	services := maps.Clone(c.services)
	c.mu.Unlock()
	states := make(map[string]batching.State, len(services))
	for service, pid := range services {
		d := stateRequest{state: make(chan batching.State, 1)}
		c.system.Root.Send(pid, d)
		select {
		case states[service] = <-d.state:
		case <-ctx.Done():
		}
	}
	return states
}
