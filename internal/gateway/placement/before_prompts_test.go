package placement_test

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// firstPace is assumed of engines until it is learnt, in milliseconds a token.
	firstPace = 0.02
	// paceWeight is the weight of the newest prompt in the learnt pace.
	paceWeight = 0.1
	// minPaceTokens is the shortest prompt that the pace is learnt from.
	minPaceTokens = 1000
	// keptFor is how long an engine is taken to keep a part after its last use.
	keptFor = 30 * time.Second
	// pendingFor is how long a prompt counts as being read when nothing is heard.
	pendingFor = 5 * time.Second
	// startCost is the time from a request's arrival at an idle engine to its
	// first event, besides the reading, in milliseconds.
	startCost = 25.0
)

// Weights of the parts of a prompt's cost, in milliseconds.
const (
	// waitWeight is the cost of a millisecond until the first event.
	waitWeight = 0.3
	// lateCost is the cost of a first event after the objective.
	lateCost = 600.0
	// readAgainCost is the cost of a thousand shared tokens that some engine has
	// read already.
	readAgainCost = 90.0
	// movedCost is the cost of a megabyte of results that crosses data centres.
	movedCost = 60.0
	// placeCost keeps new parts to the order of engines that other nodes would
	// choose too.
	placeCost = 3.0
)

// Prompt is a request for an engine.
type Prompt struct {
	Request string
	// Key is the hash of the prompt's shared part; 0 for none.
	Key uint64
	// SharedTokens and Tokens are how long its shared parts and the whole are.
	SharedTokens, Tokens int
	// Slack is the time until the first event is due.
	Slack time.Duration
	// Exclude names engines that must not be chosen.
	Exclude []string
	// InputBytes is how many bytes of results lie in each data centre.
	InputBytes map[string]int64
}

// pending is a prompt that is being read.
type pending struct {
	engine string
	tokens int
	placed time.Time
	// alone says whether the engine read nothing else when it came.
	alone bool
}

// EngineChooser chooses engines for the prompts of all nodes. It knows what every
// engine is reading and which shared parts it has read; it does no input or
// output, reads no clock and is not safe for concurrent use.
type EngineChooser struct {
	// kept says when each engine last used a part.
	kept map[uint64]map[string]time.Time
	// reading are the prompts that have no first event yet.
	reading map[string]pending
	// pace is the learnt time to read a token, in milliseconds.
	pace float64
}

// NewEngineChooser returns a chooser that knows nothing.
func NewEngineChooser() *EngineChooser {
	return &EngineChooser{kept: map[uint64]map[string]time.Time{}, reading: map[string]pending{}, pace: firstPace}
}

// Place chooses an engine and counts the prompt as being read there.
func (p *EngineChooser) Place(now time.Time, engines []directory.Target, q Prompt) (directory.Target, bool) {
	p.forget(now)
	delete(p.reading, q.Request)
	backlog := p.backlogs()
	places := rank(engines, q.Key)
	var total int64
	for _, bytes := range q.InputBytes {
		total += bytes
	}
	var best directory.Target
	bestCost := math.Inf(1)
	for _, e := range engines {
		if excluded(q.Exclude, e.ID) || !e.Usable(now) {
			continue
		}
		cost := p.cost(e, q, backlog[e.ID]) + placeCost*float64(places[e.ID])
		cost += movedCost * float64(total-q.InputBytes[e.DataCentre]) / 1e6
		if e.State == directory.Lapsed {
			cost += lateCost
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if math.IsInf(bestCost, 1) {
		return directory.Target{}, false
	}
	p.note(now, best.ID, q, backlog[best.ID] == 0)
	return best, true
}

// cost is what a prompt costs at one engine, in milliseconds.
func (p *EngineChooser) cost(e directory.Target, q Prompt, backlog int) float64 {
	tokens := q.Tokens
	_, kept := p.kept[q.Key][e.ID]
	cost := 0.0
	switch {
	case kept:
		tokens -= q.SharedTokens
	case len(p.kept[q.Key]) > 0:
		cost += readAgainCost * float64(q.SharedTokens) / 1000
	}
	first := startCost + p.pace*float64(backlog+max(tokens, 0))
	cost += waitWeight * first
	if late := first - float64(q.Slack.Milliseconds()); late > 0 {
		cost += lateCost + late
	}
	return cost
}

func (p *EngineChooser) note(now time.Time, engine string, q Prompt, alone bool) {
	tokens := q.Tokens
	if q.Key != 0 {
		if _, kept := p.kept[q.Key][engine]; kept {
			tokens -= q.SharedTokens
		}
		if p.kept[q.Key] == nil {
			p.kept[q.Key] = map[string]time.Time{}
		}
		p.kept[q.Key][engine] = now
	}
	p.reading[q.Request] = pending{engine: engine, tokens: max(tokens, 0), placed: now, alone: alone}
}

// backlogs returns how many tokens each engine has to read.
func (p *EngineChooser) backlogs() map[string]int {
	tokens := make(map[string]int)
	for _, r := range p.reading {
		tokens[r.engine] += r.tokens
	}
	return tokens
}

// Prefilled says that a prompt has been read, or that its request has ended. The
// pace is learnt from prompts that an engine read alone.
func (p *EngineChooser) Prefilled(now time.Time, request string, whole bool) {
	r, known := p.reading[request]
	if !known {
		return
	}
	delete(p.reading, request)
	if whole && r.alone && r.tokens >= minPaceTokens {
		took := float64(now.Sub(r.placed).Milliseconds()) - startCost
		p.pace += paceWeight * (max(took, 0)/float64(r.tokens) - p.pace)
	}
}

// forget drops what is too old to count.
func (p *EngineChooser) forget(now time.Time) {
	for request, r := range p.reading {
		if now.Sub(r.placed) > pendingFor {
			delete(p.reading, request)
		}
	}
	for key, engines := range p.kept {
		for e, used := range engines {
			if now.Sub(used) > keptFor {
				delete(engines, e)
			}
		}
		if len(engines) == 0 {
			delete(p.kept, key)
		}
	}
}

// Prune forgets what engines kept that are no more.
func (p *EngineChooser) Prune(d *directory.Directory) {
	for _, engines := range p.kept {
		for e := range engines {
			if _, known := d.Target(e); !known {
				delete(engines, e)
			}
		}
	}
}
