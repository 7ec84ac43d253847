package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

// chooser chooses the targets of one request's attempts.
type chooser struct {
	*resolved
	dataCentre string
	// view returns the newest view: it may know that a target leaves, while the
	// request's own view still governs its route.
	view    func() *view.View
	placer  Placer
	targets *targets
	now     func() time.Time
	// members returns how many nodes share the targets' connections.
	members func() int
	// tried are the targets that had the request already.
	tried []string
}

func (s *Server) chooser(r *resolved) *chooser {
	return &chooser{
		resolved: r, dataCentre: s.cfg.DataCentre, view: s.cfg.View, placer: s.cfg.Placer, targets: s.targets,
		now: s.cfg.Now, members: s.cfg.Members,
	}
}

// place chooses the target of an attempt. For an engine the node that places the
// service's prompts is asked; when it cannot be, this node chooses by itself.
// inputs are the bytes of the request's inputs in each data centre.
func (c *chooser) place(ctx context.Context, inputs map[string]int64) (directory.Target, bool) {
	if !c.service.Engine {
		return c.own(inputs)
	}
	d := c.view().Directory
	key, tokens := sharedPrefix(c.req.Parts)
	now := c.now()
	id, ok := c.placer.Place(ctx, c.service.Name, placement.Prompt{
		Request: c.req.ID, Key: key, SharedTokens: tokens, Tokens: c.req.Tokens,
		Slack:      c.times.Objective.Sub(now),
		Exclude:    slices.Concat(c.targets.ejected(now, d.Service(c.service.Name)), c.tried),
		InputBytes: inputs,
	})
	if target, known := d.Target(id); ok && known && target.Usable(now) {
		return target, true
	}
	return c.own(inputs)
}

// own chooses a target by what this node knows alone.
func (c *chooser) own(inputs map[string]int64) (directory.Target, bool) {
	list := c.view().Directory.Service(c.service.Name)
	key, tokens := sharedPrefix(c.req.Parts)
	q := placement.Query{DataCentre: c.dataCentre, Exclude: c.tried, Key: key, SharedTokens: tokens, InputBytes: inputs}
	if c.service.MaxConnections > 0 {
		q.MaxInflight = rules.ConnectionShare(c.service.MaxConnections, c.members())
	}
	return c.targets.choose(c.service.Engine, list, q)
}

// sharedPrefix returns the hash of the deepest part of the prompt that other
// requests share, which is the one before the last, and the length of all shared
// parts.
func sharedPrefix(parts []Part) (key uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	parts = parts[:len(parts)-1]
	for _, p := range parts {
		tokens += p.Tokens
	}
	return xxhash.Sum64String(parts[len(parts)-1].ID), tokens
}
