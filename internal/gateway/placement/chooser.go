package placement

import (
	"maps"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// pendingTimeout is the time after which a prompt no longer counts as pending if neither its
// first event nor its end is reported, for example because its node has failed. It exceeds
// the longest prefill. A longer time would keep prompts away from the engine because of
// prompts that have long ended.
const pendingTimeout = 5 * time.Second

// Parameters of the estimate of the prefill time per token.
const (
	// initialPrefillMsPerToken is the initial estimate in milliseconds per token. An idle engine
	// prefills 12,000 tokens in 210 ms, which is 0.0175 ms per token.
	initialPrefillMsPerToken = 0.02
	// prefillWeight is the weight of the newest prompt in the moving average. The last ten
	// prompts make up two thirds of the average.
	prefillWeight = 0.1
	// minSampleTokens is the minimum length of a prefill that updates the estimate, in tokens.
	// In shorter prefills firstEventDelayMs dominates.
	minSampleTokens = 1000
)

// EngineChooser selects engines for the prompts of all nodes. It runs on the member that
// coordinates them. It tracks the prefill backlog and the cached shared parts of each
// engine, based only on the prompts that it placed itself, so that a new coordinator starts
// without any state. It is not safe for concurrent use.
type EngineChooser struct {
	// index selects the engines to score for a prompt.
	index *engineIndex
	// cache tracks the shared parts that engines are assumed to have cached.
	cache prefixCache
	// pending holds the prompts that have no first event yet, by request.
	pending map[string]pendingPrompt
	// prefillMsPerToken is the average prefill time per token, in milliseconds.
	prefillMsPerToken float64
	// copyMsPerToken is the time in which an engine copies a cached token from another engine, in
	// milliseconds. 0 means unknown.
	copyMsPerToken float64
	// speeds holds the engines that report their speed.
	speeds map[directory.Incarnation]engineSpeed
	// limiter limits the request rate of cold engines.
	limiter *warmup.Limiter
}

// pendingPrompt is a prompt whose prefill has not completed.
type pendingPrompt struct {
	engine directory.Incarnation
	// tokens is the number of tokens that the engine has to prefill.
	tokens int
	placed time.Time
	// engineIdle reports whether the engine had nothing else to prefill when the prompt was
	// placed.
	engineIdle bool
	// suspect reports whether engines have crashed during an earlier attempt of the request.
	suspect bool
	// reported is the slowdown that the engine reported with the first event; 0 for none.
	reported float64
}

// NewEngineChooser returns an EngineChooser without any state about engines.
func NewEngineChooser() *EngineChooser {
	return &EngineChooser{
		cache: newPrefixCache(), pending: map[string]pendingPrompt{}, prefillMsPerToken: initialPrefillMsPerToken,
		speeds:  map[directory.Incarnation]engineSpeed{},
		limiter: warmup.NewLimiter(),
	}
}

// SetCopyTime sets the time in which an engine copies a cached token from another engine. 0
// means unknown and disables copying.
func (p *EngineChooser) SetCopyTime(perToken time.Duration) {
	p.copyMsPerToken = float64(perToken) / float64(time.Millisecond)
}

// SetWarmUp sets the maximum request rate of a cold engine, summed over all nodes.
func (p *EngineChooser) SetWarmUp(b warmup.Bound) { p.limiter.SetBound(b) }

// RecordPrefill records that a prompt has its first event or that its request has ended. A
// prompt updates the prefill time per token only if the engine had no other backlog, had to
// prefill at least minSampleTokens, and did so completely, which complete reports. Unknown
// requests are ignored: they were placed by another member or have expired.
func (p *EngineChooser) RecordPrefill(now time.Time, request string, complete bool) {
	r, known := p.pending[request]
	if !known {
		return
	}
	delete(p.pending, request)
	msPerToken := 0.0
	sampled := complete && r.engineIdle && r.tokens >= minSampleTokens
	if sampled {
		elapsedMs := float64(now.Sub(r.placed).Milliseconds()) - firstEventDelayMs
		msPerToken = max(elapsedMs, 0) / float64(r.tokens)
	}
	if complete {
		msPerToken /= p.recordSpeed(now, r, msPerToken)
	}
	if sampled {
		p.prefillMsPerToken += prefillWeight * (msPerToken - p.prefillMsPerToken)
	}
}

// Prune removes the cache state and the speeds of engines that are not in the directory, and the token
// buckets of engines that are warm or not in the directory.
func (p *EngineChooser) Prune(now time.Time, d *directory.Directory) {
	p.cache.prune(d)
	maps.DeleteFunc(p.speeds, func(l directory.Incarnation, _ engineSpeed) bool { return !d.IsCurrent(l) })
	p.limiter.Prune(now, d)
}

// add records a prompt as pending on an engine that has to prefill the given number of
// tokens of it, and records its shared parts as cached on the engine.
func (p *EngineChooser) add(now time.Time, engine directory.Target, q Prompt, tokens int, engineIdle bool) {
	p.pending[q.Request] = pendingPrompt{engine: engine.Incarnation(), tokens: tokens, placed: now, engineIdle: engineIdle, suspect: q.Suspect}
	p.cache.record(now, engine.Incarnation(), q.Shared)
}

// backlogs returns the number of tokens that each engine has to prefill.
func (p *EngineChooser) backlogs() map[directory.Incarnation]int {
	tokens := make(map[directory.Incarnation]int)
	for _, r := range p.pending {
		tokens[r.engine] += r.tokens
	}
	return tokens
}

// removeExpired removes expired pending prompts and cache entries.
func (p *EngineChooser) removeExpired(now time.Time) {
	maps.DeleteFunc(p.pending, func(_ string, r pendingPrompt) bool { return now.Sub(r.placed) > pendingTimeout })
	p.cache.removeExpired(now)
}
