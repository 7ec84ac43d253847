package placement

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Weights of EngineChooser.Place, in milliseconds. They differ from those of
// ByPrefix for like things: this rule knows what each engine has to prefill and
// which shared parts it has cached.
const (
	// waitCost is the cost of a millisecond until the first event. Commit e368e2f,
	// measured there with the whole rule.
	waitCost = 0.3
	// lateCost is the cost of a first event after its objective, to which the
	// lateness is added; and that of an engine that may be gone (directory.Lapsed).
	// Commit e368e2f, measured there with the whole rule.
	lateCost = 600.0
	// prefillAgainCost is the cost of a thousand shared tokens that another engine
	// has cached and this one has not. Set in commit e368e2f; a trial with 160 was
	// worse (docs/MEASUREMENTS.md, "reading again weighs 160 instead of 90").
	prefillAgainCost = 90.0
	// rankCost is the cost of a rank: of engines that are alike, the one that nodes
	// would choose on their own too. Commit e368e2f, measured there with the whole
	// rule.
	rankCost = 3.0
	// firstEventDelay is the time from a prompt's arrival at an idle engine to its
	// first event, besides the prefill. Commit e368e2f; no run of its own is noted.
	firstEventDelay = 25.0
)

// Prompt is a request for an engine.
type Prompt struct {
	// Request is the identity of the request.
	Request string
	// Key is the hash of the prompt's shared part; 0 for none.
	Key uint64
	// SharedTokens and Tokens are the lengths of the shared part and of the whole
	// prompt, in tokens.
	SharedTokens, Tokens int
	// Slack is the time until the first event is due; negative when that is past.
	Slack time.Duration
	// Exclude names engines that must not be chosen.
	Exclude []string
	// InputBytes is how many bytes of results the prompt reads from each data
	// centre.
	InputBytes map[string]int64
}

// Place chooses an engine when this member coordinates the prompts of all nodes,
// and counts the prompt as pending there. It returns false when no usable engine is
// left.
//
// The least cost wins: the time to the first event, with what is pending before the
// prompt and what is not cached of it; lateness; shared tokens that another engine
// has cached; the rank for the session; results that cross data centres; an engine
// that may be gone. What is pending and cached is what this chooser placed itself,
// at most pendingFor and cachedFor old: it does not know what callers outside this
// system send. Unlike ByPrefix it has no tiers: the nodes exclude the engines that
// they have ejected, and a late engine may be better than a lapsed one.
//
// Without any of this a session's prompts go to its first engine by rendezvous
// hashing. A wrong answer costs a late first event, or a prefill done twice: the
// rule raised the scores from 0.997 and 0.991 to 1.000 (commit e368e2f, "prompts
// placed by one node" in docs/MEASUREMENTS.md). See docs/decisions/0014.
func (p *EngineChooser) Place(now time.Time, engines []directory.Target, q Prompt) (directory.Target, bool) {
	p.forgetExpired(now)
	delete(p.pending, q.Request)
	backlogs := p.backlogs()
	cachedAt := p.cached[q.Key]
	ranks := rendezvousRanks(engines, q.Key)
	inputs := newTransfer(q.InputBytes)
	engine, found := best(now, engines, q.Exclude, func(e *directory.Target) assessment {
		_, cached := cachedAt[e.ID]
		cost := p.promptCost(q, engineLoad{backlog: backlogs[e.ID], cached: cached, cachedElsewhere: !cached && len(cachedAt) > 0})
		cost += rankCost * float64(ranks[e.ID])
		cost += inputs.cost(e.DataCentre)
		if e.State == directory.Lapsed {
			cost += lateCost
		}
		return assessment{cost: cost}
	})
	if !found {
		return directory.Target{}, false
	}
	p.add(now, engine.ID, q, backlogs[engine.ID] == 0)
	return engine, true
}

// engineLoad is what an engine has to do when a prompt comes.
type engineLoad struct {
	// backlog is how many tokens the engine has to prefill before the prompt.
	backlog int
	// cached says whether the engine has the prompt's shared part cached, and
	// cachedElsewhere whether only others have.
	cached, cachedElsewhere bool
}

// promptCost is what the wait for a prompt's first event at an engine costs, and
// its shared part when that is prefilled again there, in milliseconds.
func (p *EngineChooser) promptCost(q Prompt, e engineLoad) float64 {
	cost := 0.0
	if e.cachedElsewhere {
		cost += prefillAgainCost * float64(q.SharedTokens) / tokensPerUnit
	}
	firstEvent := firstEventDelay + p.prefillRate*float64(e.backlog+q.prefillTokens(e.cached))
	cost += waitCost * firstEvent
	if late := firstEvent - float64(q.Slack.Milliseconds()); late > 0 {
		cost += lateCost + late
	}
	return cost
}

// prefillTokens is how many tokens of the prompt an engine has to prefill that has
// its shared part cached or not.
func (q Prompt) prefillTokens(cached bool) int {
	tokens := q.Tokens
	if cached {
		tokens -= q.SharedTokens
	}
	return max(tokens, 0)
}
