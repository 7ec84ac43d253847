package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Weights of EngineChooser.Place, in milliseconds. They differ from the corresponding weights
// of ByPrefix because this rule knows the prefill backlog and the cached shared parts of each
// engine. Only the ratios between the weights matter.
const (
	// waitCostPerMs is the cost of a millisecond until the first event.
	waitCostPerMs = 0.3
	// lateCost is the cost of a first event after its objective, to which the lateness is
	// added. It is also the cost of an engine that may be gone (directory.Lapsed). A late
	// first event thereby costs more than two seconds of waiting, so that an engine that is
	// in time is preferred.
	lateCost = 600.0
	// reprefillCostPerUnit is the cost of a thousand shared tokens that another engine has cached
	// and this one has not, if the engine prefills them again. With a larger value prompts
	// queue on the engine that has the parts while others are idle; with a smaller one more
	// engines prefill the same parts.
	reprefillCostPerUnit = 90.0
	// copyCostPerUnit is the cost of a thousand such tokens if the engine copies them from the
	// other one. It is lower than reprefillCostPerUnit because a copy is faster than a prefill
	// (copyAdvantage). With a larger value prompts queue on the engine that has the parts
	// although a copy would be fast.
	copyCostPerUnit = 15.0
	// rankCost is the cost of a rank. It is small because it only decides between otherwise
	// equal engines, in favour of the one that nodes would select on their own.
	rankCost = 3.0
	// firstEventDelayMs is the time from a prompt's arrival at an idle engine to its first
	// event, excluding the prefill. It is the same for all engines, so that an error only
	// affects which prompts count as late, and slightly the estimated prefill time.
	firstEventDelayMs = 25.0
)

// Prompt describes a request for which an EngineChooser selects an engine.
type Prompt struct {
	// Request is the ID of the request.
	Request string
	// Shared holds the leading parts of the prompt that other prompts may begin with too, in
	// order.
	Shared []SharedPart
	// Tokens is the length of the whole prompt, including the shared parts.
	Tokens int
	// Slack is the time until the first event is due. It is negative if that time has passed.
	Slack time.Duration
	// Exclude lists the IDs of engines that must not be selected.
	Exclude []string
	// Version is the software version that the engine must have; the zero value for any.
	Version directory.Version
	// InputBytes is the number of bytes of results that the prompt reads from each data
	// centre.
	InputBytes map[string]int64
	// Suspect reports whether engines have crashed during earlier attempts of the request.
	// Such a prompt goes to an engine that has no other such prompt pending, if there is one.
	Suspect bool
	// MayAssign reports whether this member assigns the requests of cold engines. It is called
	// at most once, and only if an engine is cold.
	MayAssign func() bool
}

// sessionKey returns the key of the last shared part, which only prompts of the same
// session have, or 0 if there is none.
func (q Prompt) sessionKey() uint64 {
	if len(q.Shared) == 0 {
		return 0
	}
	return q.Shared[len(q.Shared)-1].Key
}

// rankKey returns the key by which engines are ranked for the prompt: the key of its session,
// or a hash of the request ID if it has no session.
func (q Prompt) rankKey() uint64 {
	if key := q.sessionKey(); key != 0 {
		return key
	}
	return xxhash.Sum64String(q.Request)
}

// Placement is the engine selected for a prompt.
type Placement struct {
	directory.Target
	// CopyFrom is the address of the engine from which the selected engine should copy
	// cached parts of the prompt. It is empty if there is none.
	CopyFrom string
}

// Place selects an engine on the member that coordinates the prompts of all nodes, and
// records the prompt as pending there. It returns false if no usable engine is left.
//
// The engine with the lowest cost is selected. The cost includes the time to the first event,
// given the engine's backlog and the uncached part of the prompt; lateness; shared tokens
// that another engine has cached, which are copied (copySource) or prefilled again; the rank
// for the session; results that cross data centres; and a penalty if the engine may be gone.
// Backlog and cache state only cover prompts that this EngineChooser placed, within
// pendingTimeout and cacheTTL; it does not know about prompts from callers outside the system.
// Unlike ByPrefix the rule has no tiers: nodes exclude the engines that they have ejected,
// and late and lapsed engines are compared by cost.
//
// Without any state the prompts of a session go to its first engine by rendezvous hashing. A
// poor selection results in a late first event, or in a repeated prefill. See
// docs/decisions/0014.
//
// If there are many engines, only a shortlist is scored (engineIndex). A second shortlist
// is scored if no engine of the first one can be used, or if the best one costs lateCost or
// more, for example because the prompt would be late on all of them. All engines are scored
// only if no engine of either shortlist can be used.
func (p *EngineChooser) Place(now time.Time, engines []directory.Target, q Prompt) (Placement, bool) {
	p.removeExpired(now)
	delete(p.pending, q.Request)
	p.index = p.index.forEngines(engines)
	s := p.scorer(now, engines, q)
	chosen, found := s.chooseIsolated()
	if !found {
		return Placement{}, false
	}
	engine := engines[chosen.index]
	p.limiter.Take(now, engine)
	placed := Placement{Target: engine}
	cached := s.cached[chosen.index]
	if source, ok := p.copySource(now, engines, s.cached, chosen.index, q); ok {
		placed.CopyFrom = engines[source].Address
		cached = s.cached[source]
	}
	p.add(now, engine, q, q.prefillTokens(cached), s.backlogs[engine.Incarnation()] == 0)
	return placed, true
}

// promptScorer scores engines for one prompt.
type promptScorer struct {
	*EngineChooser
	now     time.Time
	engines []directory.Target
	q       Prompt
	allow   filter
	inputs  inputLocation
	// backlogs is the number of tokens that each engine has to prefill.
	backlogs map[directory.Incarnation]int
	// cached is the number of tokens of the prompt that each engine examined so far has
	// cached, by index. mostCached is its maximum.
	cached     map[int]int
	mostCached int
}

// scorer returns a promptScorer for a prompt. It has already examined the engines that used
// the shared parts of the prompt last.
func (p *EngineChooser) scorer(now time.Time, engines []directory.Target, q Prompt) *promptScorer {
	s := &promptScorer{
		EngineChooser: p, now: now, engines: engines, q: q, allow: p.filter(now, q),
		inputs: newInputLocation(q.InputBytes), backlogs: p.backlogs(), cached: map[int]int{},
	}
	for _, engine := range p.cache.lastUsers(q.Shared) {
		if i, listed := p.index.find(engine); listed {
			s.lookUpCached(i)
		}
	}
	return s
}

// lookUpCached looks up the number of tokens of the prompt that an engine has cached.
func (s *promptScorer) lookUpCached(i int) {
	s.cached[i] = s.cache.tokens(s.engines[i].Incarnation(), s.q.Shared)
	s.mostCached = max(s.mostCached, s.cached[i])
}

// chooseIsolated selects an engine. For a suspected prompt it prefers engines that have no
// other suspected prompt pending.
func (s *promptScorer) chooseIsolated() (choice, bool) {
	chosen, found := s.choose(slices.Concat(s.q.Exclude, s.enginesWithSuspects(s.q)))
	if !found && s.q.Suspect {
		return s.choose(s.q.Exclude)
	}
	return chosen, found
}

// choose selects an engine that is not excluded.
func (s *promptScorer) choose(exclude []string) (choice, bool) {
	chosen, found := s.chooseAmong(s.index.shortlist(s.q.rankKey()), exclude)
	if (!found || chosen.cost >= lateCost) && s.index.needsShortlist() {
		if other, ok := s.chooseAmong(s.index.shortlist(s.q.rankKey()^secondShortlistMask), exclude); ok && (!found || other.less(chosen.score)) {
			chosen, found = other, true
		}
	}
	if !found && s.index.needsShortlist() {
		return s.chooseAmong(s.index.all(s.q.rankKey()), exclude)
	}
	return chosen, found
}

// secondShortlistMask is XORed with the key of a session to get the key of its second
// shortlist. It is an arbitrary number with about as many one bits as zero bits.
const secondShortlistMask = 0x9e3779b97f4a7c15

// chooseAmong selects one of the given engines.
func (s *promptScorer) chooseAmong(among []candidate, exclude []string) (choice, bool) {
	for _, cand := range among {
		s.lookUpCached(cand.index)
	}
	return bestAmong(s.now, s.engines, among, exclude, s.allow, s.score)
}

// score returns the score of placing the prompt on an engine.
func (s *promptScorer) score(cand candidate, e *directory.Target) score {
	cached := s.cached[cand.index]
	cost := s.promptCost(s.q, engineLoad{
		backlog: s.backlogs[e.Incarnation()], cached: cached, cachedElsewhere: s.mostCached - cached,
		slowdown: s.slowdown(s.now, e.Incarnation()),
	})
	cost += rankCost * float64(cand.rank)
	cost += s.inputs.cost(e.DataCentre)
	if e.State == directory.Lapsed {
		cost += lateCost
	}
	return score{cost: cost}
}

// enginesWithSuspects returns the IDs of the engines that have a suspected prompt pending,
// if q is suspected too. Otherwise it returns nil.
func (p *EngineChooser) enginesWithSuspects(q Prompt) []string {
	var engines []string
	for _, r := range p.pending {
		if q.Suspect && r.suspect {
			engines = append(engines, r.engine.ID)
		}
	}
	return engines
}

// filter returns a function that reports whether an engine has the required version and may
// get another prompt under the limits for cold engines.
func (p *EngineChooser) filter(now time.Time, q Prompt) filter {
	mayAssign := sync.OnceValue(q.MayAssign)
	return func(e directory.Target) bool {
		return hasVersion(e, q.Version) && p.limiter.Allows(now, e, mayAssign)
	}
}

// engineLoad is the state of an engine when a prompt arrives, in tokens.
type engineLoad struct {
	// backlog is the number of tokens that the engine has to prefill before the prompt.
	backlog int
	// cached is the number of tokens of the prompt that the engine has cached.
	// cachedElsewhere is the number of further tokens that another engine has cached.
	cached, cachedElsewhere int
	// slowdown is how many times the time per token of the service the engine takes.
	slowdown float64
}

// promptCost returns the cost of the time to a prompt's first event on an engine, of its
// lateness, and of the shared tokens that are copied or prefilled again there, in
// milliseconds.
func (p *EngineChooser) promptCost(q Prompt, e engineLoad) float64 {
	prefillMsPerToken := p.prefillMsPerToken * e.slowdown
	costPerUnit, msPerToken := reprefillCostPerUnit, prefillMsPerToken
	if p.copyIsFaster() {
		costPerUnit, msPerToken = copyCostPerUnit, p.copyMsPerToken
	}
	elsewhere := float64(e.cachedElsewhere)
	firstEventMs := firstEventDelayMs + msPerToken*elsewhere +
		prefillMsPerToken*float64(e.backlog+q.prefillTokens(e.cached+e.cachedElsewhere))
	cost := waitCostPerMs*firstEventMs + costPerUnit*elsewhere/tokensPerUnit
	if lateMs := firstEventMs - float64(q.Slack.Milliseconds()); lateMs > 0 {
		cost += lateCost + lateMs
	}
	return cost
}

// prefillTokens returns the number of tokens of the prompt that an engine has to prefill if
// it already has the given number of them cached.
func (q Prompt) prefillTokens(cached int) int { return max(q.Tokens-cached, 0) }
