package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// placeTimeout bounds asking the node that places a service's prompts.
	placeTimeout = 60 * time.Millisecond
	// placeRole tells the owner of a service's prompts from that of its items.
	placeRole = "prompts/"
)

// prompts places prompts, for the services that this node does it for, and asks
// the others' nodes.
type prompts struct {
	g *Gateway

	mu       sync.Mutex
	services map[string]*placement.EngineChooser
}

func newPrompts(g *Gateway) *prompts {
	return &prompts{g: g, services: map[string]*placement.EngineChooser{}}
}

// of returns the chooser of a service; the caller holds the lock.
func (p *prompts) of(service string) *placement.EngineChooser {
	s := p.services[service]
	if s == nil {
		s = placement.NewEngineChooser()
		p.services[service] = s
	}
	return s
}

func (p *prompts) placeHere(service string, q placement.Prompt) (string, bool) {
	engines := p.g.views.load().Directory.Service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.of(service).Place(p.g.now(), engines, q)
	return t.ID, ok
}

func (p *prompts) readHere(service, request string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).Prefilled(p.g.now(), request, whole)
}

// prune forgets what engines kept that are no more.
func (p *prompts) prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.Prune(d)
	}
}

// Place implements relay.Placer.
func (p *prompts) Place(ctx context.Context, service string, q placement.Prompt) (string, bool) {
	owner := p.g.members.coordinator(placeRole + service)
	if owner == "" || owner == p.g.PeerAddress() {
		return p.placeHere(service, q)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	target, err := p.g.peers.placeAtMember(ctx, owner, service, q)
	if err != nil {
		p.g.log.Debug().Str("request", q.Request).Str("member", owner).Err(err).Msg("prompts: the member that places them gave no answer, choosing locally")
		return "", false
	}
	return target, target != ""
}

// Prefilled implements relay.Placer.
func (p *prompts) Prefilled(service, request string, whole bool) {
	owner := p.g.members.coordinator(placeRole + service)
	if owner == "" || owner == p.g.PeerAddress() {
		p.readHere(service, request, whole)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := p.g.peers.endPrefillAtMember(ctx, owner, service, request, whole); err != nil {
			p.g.log.Debug().Str("request", request).Str("member", owner).Err(err).Msg("prompts: the end of a prefill was not reported")
		}
	}()
}

func (g *Gateway) servePlace(w http.ResponseWriter, r *http.Request) {
	var in message.PromptPlace
	if !readMessage(w, r, &in) {
		return
	}
	q, err := promptOf(in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, _ := g.prompts.placeHere(in.Service, q)
	writeMessage(w, message.PromptPlaced{Target: id})
}

func (g *Gateway) serveRead(w http.ResponseWriter, r *http.Request) {
	var in message.PromptRead
	if readMessage(w, r, &in) {
		g.prompts.readHere(in.Service, in.Request, in.Whole)
	}
}
