package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

const (
	// placeTimeout bounds asking the member that places a service's prompts, after which the
	// node chooses by itself. An answer takes a millisecond or two between nearby data
	// centres. The wait delays the first event.
	placeTimeout = 60 * time.Millisecond
	// placeRolePrefix is the prefix of the role of the member that places a service's
	// prompts, so that it may be another member than the coordinator of its items.
	placeRolePrefix = "prompts/"
)

// promptPlacer implements relay.Placer: the member that coordinates a service's prompts
// chooses the engines for all nodes. It owns the choosers of the services that this node
// coordinates, and the lock that guards them. If the coordinator does not answer in time, the
// caller chooses without it.
type promptPlacer struct {
	now     func() time.Time
	log     zerolog.Logger
	members *members
	peers   *peerClient
	views   *viewKeeper
	margin  warmup.Margin
	// reportedSpeeds is whether the speed that engines report is used.
	reportedSpeeds bool

	mu       sync.Mutex
	choosers map[string]*placement.EngineChooser
}

// chooser returns the chooser of a service. The caller must hold the lock.
func (p *promptPlacer) chooser(service string) *placement.EngineChooser {
	c := p.choosers[service]
	if c == nil {
		c = placement.NewEngineChooser()
		p.choosers[service] = c
	}
	return c
}

// Place implements relay.Placer.
func (p *promptPlacer) Place(ctx context.Context, service string, q placement.Prompt) (relay.Placed, bool) {
	member := p.members.remoteCoordinator(placeRolePrefix + service)
	if member == "" {
		return p.placeLocally(service, q)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	placed, err := p.peers.placePrompt(ctx, member, service, q)
	if err != nil {
		p.log.Debug().Str("request", q.Request).Str("member", member).Err(err).
			Msg("prompts: placing at a member failed, choosing locally")
		return relay.Placed{}, false
	}
	return placed, placed.Engine != ""
}

// placeLocally chooses the engine for a prompt; false if there is none.
func (p *promptPlacer) placeLocally(service string, q placement.Prompt) (relay.Placed, bool) {
	v := p.views.load()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.chooser(service)
	s := v.Service(service)
	c.SetCopyTime(s.CopyTimePerToken)
	c.SetWarmUp(p.margin.Bound(s.WarmUp))
	q.MayAssign = p.members.settled
	placed, ok := c.Place(p.now(), v.Directory.Service(service), q)
	return relay.Placed{Engine: placed.ID, CopyFrom: placed.CopyFrom}, ok
}

// Prefilled implements relay.Placer. If a report is lost, the estimated backlog of the engine
// is inaccurate until the prompt expires.
func (p *promptPlacer) Prefilled(service, request string, prefilled bool, slowdown float64) {
	member := p.members.remoteCoordinator(placeRolePrefix + service)
	if member == "" {
		p.prefilledLocally(service, request, prefilled, slowdown)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := p.peers.reportPrefill(ctx, member, service, request, prefilled, slowdown); err != nil {
			p.log.Debug().Str("request", request).Str("member", member).Err(err).
				Msg("prompts: reporting the end of a prefill failed")
		}
	}()
}

func (p *promptPlacer) prefilledLocally(service, request string, prefilled bool, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.chooser(service)
	if p.reportedSpeeds {
		c.RecordReport(request, slowdown)
	}
	c.RecordPrefill(p.now(), request, prefilled)
}

// speeds describes the engines that report their speed.
func (p *promptPlacer) speeds() []targetspeed.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []targetspeed.View
	for _, c := range p.choosers {
		list = append(list, c.Speeds(p.now())...)
	}
	return list
}

// prune drops what is known of engines that no longer exist.
func (p *promptPlacer) prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.choosers {
		c.Prune(p.now(), d)
	}
}
