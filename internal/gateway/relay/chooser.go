package relay

import (
	"context"
	"math/rand/v2"
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
	*resolvedRequest
	dataCentre string
	// node is this node's name.
	node string
	// view returns the newest view. It may show that a target is leaving, whereas the
	// route of the request follows the view at its arrival.
	view    func() *view.View
	placer  Placer
	targets *targetStats
	now     func() time.Time
	// sample is as in Config.TargetSample.
	sample int
	// nodeCount returns how many nodes share the targets' connections.
	nodeCount func() int
	// sendsToCold reports whether this node sends requests to a cold target.
	sendsToCold func(target string) bool
	// tried are the targets at which attempts failed, except for attempts that failed
	// because inputs were missing. They do not get the request again.
	tried      []string
	quarantine Quarantine
	gate       Gate
	lender     Lender
	streams    StreamOrigins
}

func (s *Server) newChooser(r *resolvedRequest) *chooser {
	return &chooser{
		resolvedRequest: r, dataCentre: s.cfg.DataCentre, node: s.cfg.Node, view: s.cfg.View, placer: s.cfg.Placer, targets: s.targets,
		now: s.cfg.Now, sample: s.cfg.TargetSample, nodeCount: s.cfg.NodeCount, sendsToCold: s.cfg.SendsToCold, quarantine: s.cfg.Quarantine, gate: s.cfg.Gate, lender: s.cfg.Lender, streams: s.cfg.Streams,
	}
}

// destination is the target of an attempt.
type destination struct {
	directory.Target
	// copyFrom is as in Call.
	copyFrom string
	// isolated is true if the request is suspected and this node keeps other suspected
	// requests away from the target until the attempt has ended.
	isolated bool
}

// chooseTarget chooses the target of an attempt. inputs are the bytes of the request's
// inputs in each data centre.
//
// Suspected requests do not share a target: if it crashes, one of them is the cause, and
// the other would be quarantined as well although it is harmless
// (platform.TestRequestThatEndsItsTargets). They share one only if no other is left.
func (c *chooser) chooseTarget(ctx context.Context, inputs map[string]int64) (destination, bool) {
	c.stream = c.assigned(c.streams)
	if !c.quarantine.Suspected(c.digest) {
		return c.chooseAllowed(ctx, inputs, c.tried, false)
	}
	for {
		d, ok := c.chooseAllowed(ctx, inputs, slices.Concat(c.tried, c.targets.isolatedTargets()), true)
		if !ok {
			return c.chooseAllowed(ctx, inputs, c.tried, true)
		}
		if c.targets.isolate(d.ID) {
			d.isolated = true
			return d, true
		}
	}
}

// endIsolation ends the isolation of a target after an attempt.
func (c *chooser) endIsolation(d destination) {
	if d.isolated {
		c.targets.endIsolation(d.ID)
	}
}

// chooseAllowed chooses among the targets that are not excluded and may get a request.
func (c *chooser) chooseAllowed(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	if c.stream.nowhere() {
		return destination{}, false
	}
	exclude = slices.Concat(exclude, c.gate.Blocked(c.view().Directory))
	for {
		d, ok := c.candidate(ctx, inputs, exclude, suspect)
		if !ok || c.gate.Take(d.Incarnation()) {
			return d, ok
		}
		// A concurrent request has used up what the target may get for now.
		exclude = append(exclude, d.ID)
	}
}

// candidate chooses among the targets that are not excluded. Engines are chosen by the
// node that places the service's prompts; if that fails, this node chooses by itself.
func (c *chooser) candidate(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	if c.service.Engine {
		if d, ok := c.askPlacer(ctx, inputs, exclude, suspect); ok {
			return d, true
		}
	}
	target, ok := c.chooseLocally(inputs, exclude)
	return destination{Target: target}, ok
}

// askPlacer asks the placer to choose. It returns false if the placer does not answer or names
// an engine that is unknown to this node, not usable or of a version that may not continue
// the stream.
func (c *chooser) askPlacer(ctx context.Context, inputs map[string]int64, exclude []string, suspect bool) (destination, bool) {
	d := c.view().Directory
	now := c.now()
	placed, ok := c.placer.Place(ctx, c.service.Name, placement.Prompt{
		Request: c.req.ID, Shared: sharedParts(c.req.Parts), Tokens: c.req.Tokens,
		Slack:      c.times.Objective.Sub(now),
		Exclude:    slices.Concat(c.targets.ejected(now, d), exclude),
		InputBytes: inputs, Suspect: suspect, Version: c.stream.version,
	})
	target, known := d.Target(placed.Engine)
	// A placer of an earlier version does not know that a version is required. A request never
	// goes to a target again that it has tried: a copy of the first answer could be taken for
	// the second.
	if !ok || !known || !target.Usable(now) || !c.stream.mayGoTo(target) || slices.Contains(c.tried, target.ID) {
		return destination{}, false
	}
	return destination{Target: target, copyFrom: placed.CopyFrom}, true
}

// chooseLocally chooses a target by the information of this node alone.
func (c *chooser) chooseLocally(inputs map[string]int64, exclude []string) (directory.Target, bool) {
	list := c.view().Directory.Service(c.service.Name)
	q := placement.Query{
		DataCentre: c.dataCentre, Exclude: exclude, Prefer: c.gate.Unconfirmed(c.view().Directory),
		InputBytes: inputs, Version: c.stream.version, MayAssign: c.sendsToCold, Sample: c.sample, Random: rand.IntN,
	}
	if c.service.Engine {
		// Many nodes may choose by themselves at the same time, such as after the loss of
		// the Placer, and they do not know of each other's prompts.
		q.MayAssign = func(string) bool { return false }
	}
	for _, part := range sharedParts(c.req.Parts) {
		q.Key = part.Key
		q.SharedTokens += part.Tokens
	}
	if c.service.MaxConnections > 0 {
		nodes := c.nodeCount()
		q.MaxInflight = rules.ConnectionShare(c.service.MaxConnections, nodes)
		q.Subset = placement.Subset{Node: c.node, Size: rules.TargetsPerNode(c.service.MaxConnections, nodes, len(list))}
	}
	return c.targets.choose(c.service, list, q)
}

// borrow chooses a target with a limit to which another member lets this node send the request.
// Cold and ejected targets are left to the members that send to them.
func (c *chooser) borrow(ctx context.Context) (destination, bool) {
	if c.stream.nowhere() || c.quarantine.Suspected(c.digest) {
		return destination{}, false
	}
	d, now := c.view().Directory, c.now()
	exclude := slices.Concat(c.tried, c.targets.ejected(now, d))
	var list []directory.Incarnation
	for _, t := range d.Service(c.service.Name) {
		if t.Usable(now) && !t.Cold(now) && c.stream.mayGoTo(t) && !slices.Contains(exclude, t.ID) {
			list = append(list, t.Incarnation())
		}
	}
	lent, ok := c.lender.Borrow(ctx, list)
	if !ok || !slices.Contains(list, lent) {
		return destination{}, false
	}
	target, known := d.Target(lent.ID)
	return destination{Target: target}, known
}

// anyOther reports whether a target other than the given one can get the request now. stream is the
// request's stream. Cold targets are left out, as they may belong to another member.
func (c *chooser) anyOther(target directory.Target, stream streamOrigin) bool {
	d, now := c.view().Directory, c.now()
	exclude := slices.Concat(c.tried, c.targets.ejected(now, d), c.gate.Blocked(d))
	return slices.ContainsFunc(d.Service(c.service.Name), func(t directory.Target) bool {
		return t.ID != target.ID && t.Usable(now) && !t.Cold(now) && stream.mayGoTo(t) && !slices.Contains(exclude, t.ID) &&
			!c.gate.HeldBack(t.Incarnation())
	})
}

// anyCrowded reports whether a target of the service that was not tried makes room soon.
func (c *chooser) anyCrowded() bool {
	now := c.now()
	return slices.ContainsFunc(c.view().Directory.Service(c.service.Name), func(t directory.Target) bool {
		return t.Usable(now) && c.stream.mayGoTo(t) && !slices.Contains(c.tried, t.ID) && c.gate.Crowded(t.Incarnation())
	})
}

// targetPauses returns the remaining pause of each usable target that may get the request, 0
// for a target without one. Targets that are held back because they are leaving are left out.
func (c *chooser) targetPauses() []time.Duration {
	now := c.now()
	var list []time.Duration
	for _, t := range c.view().Directory.Service(c.service.Name) {
		left := c.gate.PauseLeft(t.Incarnation())
		if t.Usable(now) && c.stream.mayGoTo(t) && (left > 0 || !c.gate.HeldBack(t.Incarnation())) {
			list = append(list, left)
		}
	}
	return list
}

// shareable returns the parts of a prompt that other requests may share: all but the last, which
// is specific to the request or its session.
func shareable(parts []PromptPart) []PromptPart { return parts[:max(len(parts)-1, 0)] }

// sharedParts returns the shareable parts of a prompt as the placer knows them.
func sharedParts(parts []PromptPart) []placement.SharedPart {
	var shared []placement.SharedPart
	for _, part := range shareable(parts) {
		shared = append(shared, placement.SharedPart{Key: xxhash.Sum64String(part.ID), Tokens: part.Tokens})
	}
	return shared
}
