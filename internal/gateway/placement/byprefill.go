package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Weights of EngineChooser.Place, in milliseconds. They differ from those of
// ByPrefix for like things: this rule knows what each engine has to prefill and
// which shared parts it has cached.
const (
	// waitCost is the cost of a millisecond until the first event. It was set with the
	// other weights here, by the worth of the whole rule; only their relations count.
	waitCost = 0.3
	// lateCost is the cost of a first event after its objective, to which the lateness is
	// added; and that of an engine that may be gone (directory.Lapsed). It is above what
	// two seconds of waiting cost, so that an engine in time is always preferred.
	lateCost = 600.0
	// prefillAgainCost is the cost of a thousand shared tokens that another engine has
	// cached and this one has not. With 160 instead of 90 days were worse; why was not
	// looked into.
	prefillAgainCost = 90.0
	// copyCost is the same of tokens that the engine copies from the other one instead.
	// With 50 worth rose by 0.010, with 15 by 0.019, with prefillAgainCost it fell by
	// 0.011 (docs/MEASUREMENTS.md, "cached parts copied").
	copyCost = 15.0
	// rankCost is the cost of a rank: of engines that are alike, the one that nodes would
	// choose on their own too. It is small, as it decides only between those.
	rankCost = 3.0
	// firstEventDelay is the time from a prompt's arrival at an idle engine to its first
	// event, besides the prefill. It is the same for all engines, so that an error moves
	// only which prompts count as late.
	firstEventDelay = 25.0
)

// Prompt is a request for an engine.
type Prompt struct {
	// Request is the identity of the request.
	Request string
	// Shared are the parts that other prompts may begin with too, in order.
	Shared []SharedPart
	// Tokens is the length of the whole prompt, shared parts included.
	Tokens int
	// Slack is the time until the first event is due; negative when that is past.
	Slack time.Duration
	// Exclude names engines that must not be chosen.
	Exclude []string
	// InputBytes is how many bytes of results the prompt reads from each data
	// centre.
	InputBytes map[string]int64
	// Suspect says that engines ended with the request before: it goes to one that has no
	// other such prompt pending, where there is one.
	Suspect bool
	// MayAssign says whether this member gives out requests of cold engines. It is asked at
	// most once, and only when there is one.
	MayAssign func() bool
}

// key is that of the last shared part, the one that only prompts of the same session
// have; 0 for none.
func (q Prompt) key() uint64 {
	if len(q.Shared) == 0 {
		return 0
	}
	return q.Shared[len(q.Shared)-1].Key
}

// session is the key by which engines are ranked for the prompt: that of its session, or
// its own where it has none.
func (q Prompt) session() uint64 {
	if key := q.key(); key != 0 {
		return key
	}
	return xxhash.Sum64String(q.Request)
}

// Placement is the engine chosen for a prompt.
type Placement struct {
	directory.Target
	// CopyFrom is the address of the engine from which it should copy cached parts
	// of the prompt; empty for none.
	CopyFrom string
}

// Place chooses an engine when this member coordinates the prompts of all nodes,
// and counts the prompt as pending there. It returns false when no usable engine is
// left.
//
// The least cost wins: the time to the first event, with what is pending before the
// prompt and what is not cached of it; lateness; shared tokens that another engine
// has cached, which it copies (copySource) or prefills again; the rank for the
// session; results that cross data centres; an engine that may be gone. What is pending
// and cached is what this chooser placed itself, at most pendingFor and cachedFor old:
// it does not know what callers outside this system send. Unlike ByPrefix it has no
// tiers: the nodes exclude the engines that they have ejected, and a late engine may be
// better than a lapsed one.
//
// Without any of this a session's prompts go to its first engine by rendezvous
// hashing. A wrong answer costs a late first event, or a prefill done twice: the
// worth of a day is 0.016 higher with the rule than with ByPrefix at each node. See
// docs/decisions/0014.
//
// Of many engines a shortlist is assessed (engineIndex); a second one when the prompt would
// be late at each of the first, and all of them only when none of either may be used.
func (p *EngineChooser) Place(now time.Time, engines []directory.Target, q Prompt) (Placement, bool) {
	p.forgetExpired(now)
	delete(p.pending, q.Request)
	p.index = p.index.of(engines)
	a := p.assessor(now, engines, q)
	chosen, found := a.chooseApart()
	if !found {
		return Placement{}, false
	}
	engine := engines[chosen.index]
	p.limits.Take(now, engine)
	placed := Placement{Target: engine}
	held := a.cached[chosen.index]
	if source, ok := p.copySource(now, engines, a.cached, chosen.index, q); ok {
		placed.CopyFrom = engines[source].Address
		held = a.cached[source]
	}
	p.add(now, engine, q, q.prefillTokens(held), a.backlogs[engine.Incarnation()] == 0)
	return placed, true
}

// assessor assesses the engines for one prompt.
type assessor struct {
	*EngineChooser
	now     time.Time
	engines []directory.Target
	q       Prompt
	allowed allows
	inputs  transfer
	// backlogs is how many tokens each engine has to prefill.
	backlogs map[directory.Incarnation]int
	// cached is how many tokens of the prompt the engines that were looked at have cached,
	// by their index, and mostCached the most of them.
	cached     map[int]int
	mostCached int
}

// assessor returns the assessor of a prompt, which has looked at the engines that used
// its shared parts last.
func (p *EngineChooser) assessor(now time.Time, engines []directory.Target, q Prompt) *assessor {
	a := &assessor{
		EngineChooser: p, now: now, engines: engines, q: q, allowed: p.allows(now, q),
		inputs: newTransfer(q.InputBytes), backlogs: p.backlogs(), cached: map[int]int{},
	}
	for _, life := range p.cache.lastUsers(q.Shared) {
		if i, listed := p.index.find(life); listed {
			a.look(i)
		}
	}
	return a
}

// look notes what an engine has cached.
func (a *assessor) look(i int) {
	a.cached[i] = a.cache.tokens(a.engines[i].Incarnation(), a.q.Shared)
	a.mostCached = max(a.mostCached, a.cached[i])
}

// chooseApart chooses an engine; for a suspected prompt one that has no other such prompt
// pending, where there is one.
func (a *assessor) chooseApart() (choice, bool) {
	chosen, found := a.choose(slices.Concat(a.q.Exclude, a.withSuspects(a.q)))
	if !found && a.q.Suspect {
		return a.choose(a.q.Exclude)
	}
	return chosen, found
}

// choose chooses an engine that is not excluded.
func (a *assessor) choose(exclude []string) (choice, bool) {
	chosen, found := a.chooseOf(a.index.shortlist(a.q.session()), exclude)
	if (!found || chosen.cost >= lateCost) && a.index.isLong() {
		if other, is := a.chooseOf(a.index.shortlist(a.q.session()^secondList), exclude); is && (!found || other.before(chosen.assessment)) {
			chosen, found = other, true
		}
	}
	if !found && a.index.isLong() {
		return a.chooseOf(a.index.all(a.q.session()), exclude)
	}
	return chosen, found
}

// secondList makes the key of a session's second shortlist from that of its first. It is
// any number with about as many ones as zeros.
const secondList = 0x9e3779b97f4a7c15

// chooseOf chooses among some engines.
func (a *assessor) chooseOf(among []ranked, exclude []string) (choice, bool) {
	for _, r := range among {
		a.look(r.index)
	}
	return bestOf(a.now, a.engines, among, exclude, a.allowed, a.assess)
}

// assess says what the prompt costs at an engine.
func (a *assessor) assess(r ranked, e *directory.Target) assessment {
	held := a.cached[r.index]
	cost := a.promptCost(a.q, engineLoad{backlog: a.backlogs[e.Incarnation()], cached: held, cachedElsewhere: a.mostCached - held})
	cost += rankCost * float64(r.rank)
	cost += a.inputs.cost(e.DataCentre)
	if e.State == directory.Lapsed {
		cost += lateCost
	}
	return assessment{cost: cost}
}

// withSuspects returns the engines that have a suspected prompt pending, which another
// one does not join; none for a prompt that is not suspected.
func (p *EngineChooser) withSuspects(q Prompt) []string {
	var engines []string
	for _, r := range p.pending {
		if q.Suspect && r.suspect {
			engines = append(engines, r.engine.ID)
		}
	}
	return engines
}

// allows returns whether engines may get one more prompt by the limits of cold ones.
func (p *EngineChooser) allows(now time.Time, q Prompt) allows {
	givesOut := sync.OnceValue(q.MayAssign)
	return func(e directory.Target) bool { return p.limits.Allows(now, e, givesOut) }
}

// engineLoad is what an engine has to do when a prompt comes, in tokens.
type engineLoad struct {
	// backlog is what the engine has to prefill before the prompt.
	backlog int
	// cached is what it has cached of the prompt, and cachedElsewhere what another
	// engine has cached beyond that.
	cached, cachedElsewhere int
}

// promptCost is what the wait for a prompt's first event at an engine costs, and
// what of its shared parts is copied or prefilled again there, in milliseconds.
func (p *EngineChooser) promptCost(q Prompt, e engineLoad) float64 {
	again, againTime := prefillAgainCost, p.prefillRate
	if p.copiesFast() {
		again, againTime = copyCost, p.copyTime
	}
	elsewhere := float64(e.cachedElsewhere)
	firstEvent := firstEventDelay + againTime*elsewhere +
		p.prefillRate*float64(e.backlog+q.prefillTokens(e.cached+e.cachedElsewhere))
	cost := waitCost*firstEvent + again*elsewhere/tokensPerUnit
	if late := firstEvent - float64(q.Slack.Milliseconds()); late > 0 {
		cost += lateCost + late
	}
	return cost
}

// prefillTokens is how many tokens of the prompt an engine has to prefill that has
// so many of them cached.
func (q Prompt) prefillTokens(cached int) int { return max(q.Tokens-cached, 0) }
