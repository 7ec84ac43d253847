package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// planTimeout bounds telling the formers of a request's stages.
	planTimeout = 100 * time.Millisecond
	// maxOwners bounds the nodes that one group is handed to.
	maxOwners = 3
)

// batches hands groups of items to the node that forms the calls of their
// service, which may be this one.
type batches struct {
	g *Gateway

	mu       sync.Mutex
	services map[string]*actor.PID
	// open counts groups that this node forms calls for.
	open atomic.Int64
}

func newBatches(g *Gateway) *batches {
	return &batches{g: g, services: map[string]*actor.PID{}}
}

func (b *batches) idle() bool { return b.open.Load() == 0 }

// coordinator returns the actor that forms the calls of a service at this node.
func (b *batches) coordinator(service string) *actor.PID {
	b.mu.Lock()
	defer b.mu.Unlock()
	pid := b.services[service]
	if pid == nil {
		pid = b.g.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newCoordinator(b.g, service) }))
		b.services[service] = pid
		b.g.system.Root.Send(pid, configureOf(b.g.views.load(), service))
	}
	return pid
}

func configureOf(v *view.View, service string) batching.Configure {
	ev := batching.Configure{Targets: v.Directory.Service(service)}
	if v.Catalog != nil {
		ev.Service = v.Catalog.Service(service)
	}
	return ev
}

// configure tells the actors of a new view.
func (b *batches) configure(v *view.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, pid := range b.services {
		b.g.system.Root.Send(pid, configureOf(v, service))
	}
}

// Run implements relay.Batcher.
func (b *batches) Run(ctx context.Context, service string, group relay.Group, started func()) ([]batching.Result, *verdict.Error) {
	for range maxOwners {
		owner := b.g.members.coordinator(service)
		if owner == "" || owner == b.g.PeerAddress() {
			break
		}
		results, err := b.g.runAtLiveMember(ctx, owner, service, group, started)
		if err == nil || !otherMember(err) || ctx.Err() != nil {
			return results, err
		}
		if err.Reason() == verdict.ReasonMoved {
			continue
		}
		b.g.log.Warn().Str("request", group.Request).Str("service", service).Str("member", owner).Err(err).Msg("items: member lost or leaving, asking another")
		b.g.members.suspect(owner)
	}
	return b.makeHere(ctx, service, group, started)
}

// otherMember says whether a group that a member did not make should go to another
// member.
func otherMember(err *verdict.Error) bool {
	switch err.Reason() {
	case verdict.ReasonConnection, verdict.ReasonLeaving, verdict.ReasonMoved:
		return true
	}
	return false
}

// handBack gives the groups that wait for their first call back, for the member
// that takes this node's duties over. It does nothing when there is no other.
func (b *batches) handBack() {
	if b.g.members.coordinator("") == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, pid := range b.services {
		b.g.system.Root.Send(pid, handBack{})
	}
}

// makeHere has the items made by calls that this node forms.
func (b *batches) makeHere(ctx context.Context, service string, group relay.Group, started func()) ([]batching.Result, *verdict.Error) {
	b.open.Add(1)
	defer b.open.Add(-1)
	pid := b.coordinator(service)
	order := &pendingGroup{group: group, started: started, done: make(chan struct{})}
	b.g.system.Root.Send(pid, order)
	select {
	case <-order.done:
		return order.results, order.err
	case <-ctx.Done():
		b.g.system.Root.Send(pid, cancelGroup{order})
		reason := verdict.ReasonCancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = verdict.ReasonDeadline
		}
		return nil, verdict.New(verdict.NotRun, reason, "the results of stage %d were not awaited", group.Stage)
	}
}

// Release implements relay.Batcher.
func (b *batches) Release(service string, results []batching.Result) {
	owner := b.g.members.coordinator(service)
	if owner != "" && owner != b.g.PeerAddress() {
		go b.releaseAt(owner, service, results)
		return
	}
	b.releaseHere(service, results)
}

// releaseAt has the member that coordinates a service release results. When it does
// not answer, this node releases them itself.
func (b *batches) releaseAt(member, service string, results []batching.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := b.g.peers.releaseAtMember(ctx, member, service, results); err != nil {
		b.g.log.Debug().Str("service", service).Str("member", member).Int("results", len(results)).Err(err).Msg("items: member took no releases, releasing locally")
		b.releaseHere(service, results)
	}
}

func (b *batches) releaseHere(service string, results []batching.Result) {
	byTarget := map[string][]string{}
	for _, r := range results {
		byTarget[r.Target] = append(byTarget[r.Target], r.Handle)
	}
	pid := b.coordinator(service)
	for target, handles := range byTarget {
		b.g.system.Root.Send(pid, batching.Release{Target: target, Handles: handles})
	}
}

// planHere tells this node's former of a planned stage and returns its backlog.
func (b *batches) planHere(ctx context.Context, request string, s relay.PlannedStage) time.Duration {
	p := &plannedStage{
		plan:    batching.Plan{Request: request, Stage: s.Stage, Items: s.Items, Due: s.Due},
		backlog: make(chan time.Duration, 1),
	}
	b.g.system.Root.Send(b.coordinator(s.Service), p)
	select {
	case d := <-p.backlog:
		return d
	case <-ctx.Done():
		return 0
	}
}

func (b *batches) cancelHere(request string, s relay.PlannedStage) {
	b.g.system.Root.Send(b.coordinator(s.Service), batching.CancelPlan{Request: request, Stage: s.Stage})
}

// byOwner groups the numbers of stages by the node that forms their calls.
func (b *batches) byOwner(stages []relay.PlannedStage) map[string][]int {
	owners := make(map[string][]int)
	for i, s := range stages {
		owner := b.g.members.coordinator(s.Service)
		if owner == "" {
			owner = b.g.PeerAddress()
		}
		owners[owner] = append(owners[owner], i)
	}
	return owners
}

// Plan implements relay.Batcher.
func (b *batches) Plan(ctx context.Context, request string, stages []relay.PlannedStage) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	backlogs := make([]time.Duration, len(stages))
	var asked sync.WaitGroup
	for owner, numbers := range b.byOwner(stages) {
		if owner != b.g.PeerAddress() {
			asked.Add(1)
			go func() {
				defer asked.Done()
				b.planAt(ctx, owner, request, stages, numbers, backlogs)
			}()
			continue
		}
		for _, i := range numbers {
			backlogs[i] = b.planHere(ctx, request, stages[i])
		}
	}
	asked.Wait()
	return backlogs
}

// Cancel implements relay.Batcher.
func (b *batches) Cancel(request string, stages []relay.PlannedStage) {
	for owner, numbers := range b.byOwner(stages) {
		if owner != b.g.PeerAddress() {
			go b.cancelAt(owner, request, pick(stages, numbers))
			continue
		}
		for _, i := range numbers {
			b.cancelHere(request, stages[i])
		}
	}
}

// pick returns the stages of the given numbers.
func pick(stages []relay.PlannedStage, numbers []int) []relay.PlannedStage {
	picked := make([]relay.PlannedStage, len(numbers))
	for k, i := range numbers {
		picked[k] = stages[i]
	}
	return picked
}

// planAt announces the stages of the given numbers to the member that coordinates
// them and notes their backlogs; they stay 0, for unknown, when it does not answer.
func (b *batches) planAt(ctx context.Context, member, request string, stages []relay.PlannedStage, numbers []int, backlogs []time.Duration) {
	answer, err := b.g.peers.planAtMember(ctx, member, request, pick(stages, numbers))
	if err != nil {
		b.g.log.Debug().Str("request", request).Str("member", member).Err(err).Msg("items: no backlog from a member")
		return
	}
	for k, i := range numbers {
		backlogs[i] = answer[k]
	}
}

// cancelAt withdraws planned stages from the member that coordinates them. A plan
// that stays there ends by itself when its stage is past due.
func (b *batches) cancelAt(member, request string, stages []relay.PlannedStage) {
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	if err := b.g.peers.cancelAtMember(ctx, member, request, stages); err != nil {
		b.g.log.Debug().Str("request", request).Str("member", member).Err(err).Msg("items: a plan was not withdrawn at a member")
	}
}

// plannedStage tells an actor of a plan and takes the backlog before it.
type plannedStage struct {
	plan    batching.Plan
	backlog chan time.Duration
}

// describe asks an actor for its state.
type describe struct{ state chan batching.State }

// states asks all actors for their state.
func (b *batches) states(ctx context.Context) map[string]batching.State {
	b.mu.Lock()
	services := maps.Clone(b.services)
	b.mu.Unlock()
	states := make(map[string]batching.State, len(services))
	for service, pid := range services {
		d := describe{state: make(chan batching.State, 1)}
		b.g.system.Root.Send(pid, d)
		select {
		case states[service] = <-d.state:
		case <-ctx.Done():
		}
	}
	return states
}
