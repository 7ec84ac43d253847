package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: limits of organisations.
//
// It admits a request while its organisation is within the bundle's limits at this
// node: requests in flight, then generated tokens a second, then requests a second.
// The tokens reserved are the most that the request may generate. Inputs are of
// this moment and of this node alone: the limits are not shared between nodes, so a
// fleet admits up to their number times as much. A new bundle changes the limits
// and keeps what is in flight and reserved.
//
// Why so: one organisation must not take all slots before its share is even
// counted (docs/decisions/0008-holding-and-refusing.md). Limits that are too low
// refuse work that there are slots for; limits that are too high leave the shares
// to shedding alone. The limits are the operator's, in the bundle.
const (
	// concurrencyRetryAfter is when to retry after a limit of concurrency: nothing says
	// when a request in flight will end.
	concurrencyRetryAfter = 200 * time.Millisecond
	// burstSeconds is how many seconds' worth of a rate may be used at once.
	burstSeconds = 1
)

// organisation is what one organisation uses at this node.
type organisation struct {
	spec     *bundle.Organisation
	requests *rate.Limiter
	tokens   *rate.Limiter
	inFlight int
}

func newOrganisation(spec *bundle.Organisation) *organisation {
	l := spec.Limits
	return &organisation{
		spec:     spec,
		requests: rate.NewLimiter(rate.Limit(l.RequestsPerSecond), burstOf(l.RequestsPerSecond)),
		tokens:   rate.NewLimiter(rate.Limit(l.TokensPerSecond), burstOf(l.TokensPerSecond)),
	}
}

// burstOf returns how much of a rate may be used at once, at least 1.
func burstOf(perSecond float64) int { return max(1, saturate.Int(burstSeconds*perSecond)) }

// update changes the limits and keeps what is in flight.
func (o *organisation) update(now time.Time, spec *bundle.Organisation) {
	o.spec = spec
	l := spec.Limits
	setRate(now, o.requests, l.RequestsPerSecond)
	setRate(now, o.tokens, l.TokensPerSecond)
}

func setRate(now time.Time, l *rate.Limiter, perSecond float64) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burstOf(perSecond))
}

// take admits a request that may generate tokens, or returns the refusal with the
// time after which to retry. A request over one limit takes nothing from the
// others; one with more tokens than a burst takes the whole burst.
func (o *organisation) take(now time.Time, tokens int) *verdict.Error {
	if o.inFlight >= o.spec.Limits.Concurrency {
		return o.refusal("concurrency", concurrencyRetryAfter)
	}
	tokens = min(tokens, o.tokens.Burst())
	if wait := waitFor(now, o.tokens, tokens); wait > 0 {
		return o.refusal("tokensPerSecond", wait)
	}
	if wait := waitFor(now, o.requests, 1); wait > 0 {
		return o.refusal("requestsPerSecond", wait)
	}
	// Both are there, as waitFor has just found with the same clock.
	o.tokens.AllowN(now, tokens)
	o.requests.AllowN(now, 1)
	o.inFlight++
	return nil
}

// waitFor returns how long until the limiter has n, without taking them.
func waitFor(now time.Time, l *rate.Limiter, n int) time.Duration {
	missing := float64(n) - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return saturate.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

func (o *organisation) refusal(limit string, wait time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLimit, "organisation %s is at its limit of %s", o.spec.Name, limit).
		WithRetryAfter(wait)
}
