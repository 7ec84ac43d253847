package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// limitRetry is when to come back after a concurrency limit.
const limitRetry = 200 * time.Millisecond

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

// burstOf allows one second's worth at once.
func burstOf(perSecond float64) int { return max(1, int(perSecond)) }

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

// take lets a request in or says when to come back. A request over several
// limits takes from none.
func (o *organisation) take(now time.Time, tokens int) *verdict.Error {
	if o.inFlight >= o.spec.Limits.Concurrency {
		return o.refusal("concurrency", limitRetry)
	}
	tokens = min(tokens, o.tokens.Burst())
	if wait := waitFor(now, o.tokens, tokens); wait > 0 {
		return o.refusal("tokensPerSecond", wait)
	}
	if wait := waitFor(now, o.requests, 1); wait > 0 {
		return o.refusal("requestsPerSecond", wait)
	}
	o.tokens.AllowN(now, tokens)
	o.requests.AllowN(now, 1)
	o.inFlight++
	return nil
}

// waitFor returns how long until n are there, without taking them.
func waitFor(now time.Time, l *rate.Limiter, n int) time.Duration {
	missing := float64(n) - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

func (o *organisation) refusal(limit string, wait time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLimit, "organisation %s is at its limit of %s", o.spec.Name, limit).
		WithRetryAfter(wait)
}
