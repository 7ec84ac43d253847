package rules

import "time"

const (
	// firstTokenTime is the time to the first event of the shortest prompt: an engine's
	// own delay and two ways between nodes.
	firstTokenTime = 40 * time.Millisecond
	// firstPrefillRate is assumed for each token until a rate is measured: about the
	// median of the users' deployments (docs/decisions/0013).
	firstPrefillRate = 20 * time.Microsecond
	// minPrefillTokens is the shortest prompt that the rate is measured from: at the first
	// rate its prefill takes as long as firstTokenTime.
	minPrefillTokens = 2000
	// prefillWeight is the weight of the newest prompt in the average: twenty prompts make
	// up two thirds of it.
	prefillWeight = 0.05
	// maxPrefillRate bounds what one prompt that was held up adds.
	maxPrefillRate = 10 * firstPrefillRate
)

// PrefillRate estimates how long a service's engines take to the first event of a
// prompt, parts that they have cached included. It is an aging average over the
// prompts that this node sent, as old as the last of them. Stages that are due by it
// are in time more often than by a fixed lead (docs/decisions/0013). Too low a rate makes long prompts late, too high a one
// has their stages take the turn of more urgent ones.
type PrefillRate struct {
	// perToken is in nanoseconds.
	perToken float64
}

// NewPrefillRate returns the rate before any prompt.
func NewPrefillRate() PrefillRate { return PrefillRate{perToken: float64(firstPrefillRate)} }

// Time returns how long an engine takes to the first event of a prompt.
func (p PrefillRate) Time(tokens int) time.Duration {
	return firstTokenTime + time.Duration(p.perToken*float64(tokens))
}

// WithPrompt returns the rate with a prompt whose first event took some time from
// its sending. A short prompt changes nothing.
func (p PrefillRate) WithPrompt(tokens int, took time.Duration) PrefillRate {
	if tokens < minPrefillTokens {
		return p
	}
	rate := float64(max(took-firstTokenTime, 0)) / float64(tokens)
	p.perToken += prefillWeight * (min(rate, float64(maxPrefillRate)) - p.perToken)
	return p
}
