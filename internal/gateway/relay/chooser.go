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
	// node is this node's own name.
	node string
	// view returns the newest view: it may know that a target leaves, while the
	// request's own view still governs its route.
	view    func() *view.View
	placer  Placer
	targets *targets
	now     func() time.Time
	// members returns how many nodes share the targets' connections.
	members func() int
	// givesOut says whether this node gives out the requests of a cold target.
	givesOut func(target string) bool
	// tried are the targets that had the request already.
	tried      []string
	quarantine Quarantine
	gate       Gate
}

func (s *Server) chooser(r *resolved) *chooser {
	return &chooser{
		resolved: r, dataCentre: s.cfg.DataCentre, node: s.cfg.Node, view: s.cfg.View, placer: s.cfg.Placer, targets: s.targets,
		now: s.cfg.Now, members: s.cfg.NodeCount, givesOut: s.cfg.SendsToCold, quarantine: s.cfg.Quarantine, gate: s.cfg.Gate,
	}
}

// destination is where an attempt goes.
type destination struct {
	directory.Target
	// copyFrom is as in Call.
	copyFrom string
	// alone says that the request is suspected and that other suspects of this node are
	// kept away from the target until the attempt has ended.
	alone bool
}

// place chooses the target of an attempt. inputs are the bytes of the request's inputs in
// each data centre.
//
// Suspected requests do not share a target: when it ends one of them is to blame, and the
// other would be held as well although it did nothing. Where two requests go to the same
// targets, an innocent one was held in three of four runs of a test; kept apart, in none
// of six (platform.TestRequestThatEndsItsTargets). Where no other target is left they do
// share one.
func (c *chooser) place(ctx context.Context, inputs map[string]int64) (destination, bool) {
	if !c.quarantine.Suspected(c.digest) {
		return c.choose(ctx, inputs, c.tried, false)
	}
	for {
		d, ok := c.choose(ctx, inputs, slices.Concat(c.tried, c.targets.withSuspects()), true)
		if !ok {
			return c.choose(ctx, inputs, c.tried, true)
		}
		if c.targets.isolate(d.ID) {
			d.alone = true
			return d, true
		}
	}
}

// leave notes that an attempt has ended.
func (c *chooser) leave(d destination) {
	if d.alone {
		c.targets.endIsolation(d.ID)
	}
}

// choose chooses among the targets that are not excluded and may get a request.
func (c *chooser) choose(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	exclude = slices.Concat(exclude, c.gate.Blocked(c.view().Directory))
	for {
		d, ok := c.candidate(ctx, inputs, exclude, suspect)
		if !ok || c.gate.Take(d.Incarnation()) {
			return d, ok
		}
		// Another request has taken the last that the target may get for now.
		exclude = append(exclude, d.ID)
	}
}

// candidate chooses among the targets that are not excluded. For an engine the node that
// places the service's prompts is asked; when it cannot be, this node chooses by itself.
func (c *chooser) candidate(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	if c.service.Engine {
		if d, ok := c.askPlacer(ctx, inputs, exclude, suspect); ok {
			return d, true
		}
	}
	target, ok := c.own(inputs, exclude)
	return destination{Target: target}, ok
}

// askPlacer has the placer choose; false when it gave no answer, or an engine that
// this node does not know or may not use.
func (c *chooser) askPlacer(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	d := c.view().Directory
	now := c.now()
	placed, ok := c.placer.Place(ctx, c.service.Name, placement.Prompt{
		Request: c.req.ID, Shared: sharedParts(c.req.Parts), Tokens: c.req.Tokens,
		Slack:      c.times.Objective.Sub(now),
		Exclude:    slices.Concat(c.targets.ejected(now, d), exclude),
		InputBytes: inputs, Suspect: suspect,
	})
	target, known := d.Target(placed.Engine)
	if !ok || !known || !target.Usable(now) {
		return destination{}, false
	}
	return destination{Target: target, copyFrom: placed.CopyFrom}, true
}

// own chooses a target by what this node knows alone.
func (c *chooser) own(inputs map[string]int64, exclude []string) (directory.Target, bool) {
	list := c.view().Directory.Service(c.service.Name)
	q := placement.Query{DataCentre: c.dataCentre, Exclude: exclude, InputBytes: inputs, MayAssign: c.givesOut}
	if c.service.Engine {
		// Nodes that choose on their own at one moment are many, as after the loss of the
		// Placer, and do not know of each other's prompts.
		q.MayAssign = func(string) bool { return false }
	}
	for _, part := range sharedParts(c.req.Parts) {
		q.Key = part.Key
		q.SharedTokens += part.Tokens
	}
	if c.service.MaxConnections > 0 {
		nodes := c.members()
		q.MaxInflight = rules.ConnectionShare(c.service.MaxConnections, nodes)
		q.Subset = placement.Subset{Node: c.node, Size: rules.TargetsPerNode(c.service.MaxConnections, nodes, len(list))}
	}
	return c.targets.choose(c.service, list, q)
}

// pauses returns how much longer each target of the service wants a pause, but for those that
// leave.
func (c *chooser) pauses() []time.Duration {
	now := c.now()
	var list []time.Duration
	for _, t := range c.view().Directory.Service(c.service.Name) {
		left := c.gate.PauseLeft(t.Incarnation())
		if t.Usable(now) && (left > 0 || !c.gate.HeldBack(t.Incarnation())) {
			list = append(list, left)
		}
	}
	return list
}

// sharedParts returns the parts of a prompt that other requests may share: all but
// the last, which belongs to the request or its session alone.
func sharedParts(parts []PromptPart) []placement.SharedPart {
	if len(parts) < 2 {
		return nil
	}
	shared := make([]placement.SharedPart, len(parts)-1)
	for i := range shared {
		shared[i] = placement.SharedPart{Key: xxhash.Sum64String(parts[i].ID), Tokens: parts[i].Tokens}
	}
	return shared
}
