package placement

import (
	"maps"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// pendingFor is how long a prompt counts as pending when neither its first event nor
// its end is reported, as from a node that was lost. It is above the longest prefill;
// longer has the engine passed over for prompts that are long gone.
const pendingFor = 5 * time.Second

// How the prefill rate is learnt.
const (
	// firstPrefillRate is assumed until a rate is learnt, in milliseconds a token. An idle
	// engine took 210 ms for 12,000 tokens, 0.0175 each.
	firstPrefillRate = 0.02
	// rateWeight is the weight of the newest prompt in the prefill rate, a share: ten
	// prompts make up two thirds of it.
	rateWeight = 0.1
	// minRateTokens is the shortest prefill that the rate is learnt from, in tokens: of
	// shorter ones firstEventDelay is most.
	minRateTokens = 1000
)

// EngineChooser chooses engines for the prompts of all nodes, at the member that
// coordinates them. It knows what every engine has to prefill and which shared
// parts it has cached, as far as it placed them itself; a new coordinator knows
// nothing. It is not safe for concurrent use.
type EngineChooser struct {
	// index gives the engines that are worth assessing.
	index *engineIndex
	// cache is what engines are taken to have cached.
	cache prefixCache
	// pending are the prompts that have no first event yet, by request.
	pending map[string]pendingPrompt
	// prefillRate is the average time to prefill a token, in milliseconds.
	prefillRate float64
	// copyTime is the time in which an engine copies a cached token from another, in
	// milliseconds; 0 for unknown.
	copyTime float64
	// limits bound what cold engines get.
	limits *warmup.Limiter
}

// pendingPrompt is a prompt that waits for its prefill or is in it.
type pendingPrompt struct {
	engine directory.Incarnation
	// tokens is how many tokens the engine has to prefill.
	tokens int
	placed time.Time
	// alone says whether the engine had nothing else to prefill when the prompt
	// was placed.
	alone bool
	// suspect says that engines ended with the request before.
	suspect bool
}

// NewEngineChooser returns a chooser that knows nothing.
func NewEngineChooser() *EngineChooser {
	return &EngineChooser{
		cache: newPrefixCache(), pending: map[string]pendingPrompt{}, prefillRate: firstPrefillRate,
		limits: warmup.NewLimiter(),
	}
}

// SetCopyTime sets the time in which an engine copies a cached token from another; 0
// for unknown, which keeps engines from copying.
func (p *EngineChooser) SetCopyTime(perToken time.Duration) {
	p.copyTime = float64(perToken) / float64(time.Millisecond)
}

// SetWarmUp sets what a cold engine gets from all nodes together.
func (p *EngineChooser) SetWarmUp(b warmup.Bound) { p.limits.SetBound(b) }

// RecordPrefill reports that a prompt has its first event, or that its request has
// ended. The prefill rate is learnt from whole prompts that an engine prefilled
// alone. Unknown requests are ignored: they were placed by another member or have
// expired.
func (p *EngineChooser) RecordPrefill(now time.Time, request string, whole bool) {
	r, known := p.pending[request]
	if !known {
		return
	}
	delete(p.pending, request)
	if whole && r.alone && r.tokens >= minRateTokens {
		took := float64(now.Sub(r.placed).Milliseconds()) - firstEventDelay
		p.prefillRate += rateWeight * (max(took, 0)/float64(r.tokens) - p.prefillRate)
	}
}

// Prune forgets what engines have cached that are not in the directory, and the limits of
// those that are warm.
func (p *EngineChooser) Prune(now time.Time, d *directory.Directory) {
	p.cache.prune(d)
	p.limits.Prune(now, d)
}

// add counts a prompt as pending at an engine, which prefills the given tokens of it,
// and its shared parts as cached there from now on.
func (p *EngineChooser) add(now time.Time, engine directory.Target, q Prompt, tokens int, alone bool) {
	p.pending[q.Request] = pendingPrompt{engine: engine.Incarnation(), tokens: tokens, placed: now, alone: alone, suspect: q.Suspect}
	p.cache.use(now, engine.Incarnation(), q.Shared)
}

// backlogs returns how many tokens each engine has to prefill.
func (p *EngineChooser) backlogs() map[directory.Incarnation]int {
	tokens := make(map[directory.Incarnation]int)
	for _, r := range p.pending {
		tokens[r.engine] += r.tokens
	}
	return tokens
}

// forgetExpired drops what is too old to count.
func (p *EngineChooser) forgetExpired(now time.Time) {
	maps.DeleteFunc(p.pending, func(_ string, r pendingPrompt) bool { return now.Sub(r.placed) > pendingFor })
	p.cache.forgetExpired(now)
}
