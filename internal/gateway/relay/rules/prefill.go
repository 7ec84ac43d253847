package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// baseFirstTokenTime is the time to the first event of the shortest prompt: the engine's
	// own latency and two network delays between nodes.
	baseFirstTokenTime = 40 * time.Millisecond
	// initialPrefillPerToken is the time per token that is assumed before any prompt: about
	// the median of the users' deployments (docs/decisions/0013).
	initialPrefillPerToken = 20 * time.Microsecond
	// minPrefillTokens is the length of the shortest prompt that updates the rate: at
	// initialPrefillPerToken its prefill takes as long as baseFirstTokenTime.
	minPrefillTokens = 2000
	// prefillWeight is the weight of the newest prompt in the moving average: twenty prompts
	// make up two thirds of it.
	prefillWeight = 0.05
	// maxPrefillPerToken limits the effect of a single prompt that was delayed.
	maxPrefillPerToken = 10 * initialPrefillPerToken
)

// PrefillRate estimates the time that a service's engines take to the first event of a
// prompt. The rate is per token of the whole prompt, including the parts that engines have
// cached. It is an exponentially weighted moving average over the prompts that this node
// sent; it does not change while none is sent. Requests whose stages are due by it are in
// time more often than with a fixed lead (docs/decisions/0013). Too low a rate makes long
// prompts late; too high a rate makes their stages take the turn of more urgent ones.
type PrefillRate struct {
	// perToken is the time per token in nanoseconds.
	perToken float64
}

// NewPrefillRate returns the rate before any prompt.
func NewPrefillRate() PrefillRate { return PrefillRate{perToken: float64(initialPrefillPerToken)} }

// Time returns the estimated time to the first event of a prompt.
func (p PrefillRate) Time(tokens int) time.Duration {
	return baseFirstTokenTime + saturate.Duration(p.perToken*float64(tokens))
}

// WithPrompt returns the rate updated with a prompt; took is the time from its sending to
// its first event. Prompts shorter than minPrefillTokens are ignored.
func (p PrefillRate) WithPrompt(tokens int, took time.Duration) PrefillRate {
	if tokens < minPrefillTokens {
		return p
	}
	rate := float64(max(took-baseFirstTokenTime, 0)) / float64(tokens)
	p.perToken += prefillWeight * (min(rate, float64(maxPrefillPerToken)) - p.perToken)
	return p
}
