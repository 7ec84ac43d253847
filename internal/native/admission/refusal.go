package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: when refused work may be retried.
//
// Every refusal carries a time after which a retry is worth it: by how much the
// work was late, until the first ejected target is probed, or until the
// organisation's limit allows it. It is lengthened at random, so that callers that
// were refused together do not retry together
// (docs/decisions/0008-holding-and-refusing.md). A time that is too short brings
// retries that are refused again; one that is too long leaves slots free.
const (
	// minimumRetryAfter is the shortest time after which to retry.
	minimumRetryAfter = 50 * time.Millisecond
	// unknownRetryAfter is the time after which to retry when no ejected target will be
	// probed: all are leaving.
	unknownRetryAfter = time.Second
	// retryJitter lengthens a retry time by up to this share of it.
	retryJitter = 0.5
)

// overload refuses work that would end excess after its deadline.
func (c *Core) overload(excess time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonOverload, "the answer could not be whole by its deadline").
		WithRetryAfter(max(excess, minimumRetryAfter))
	return c.jitter(err)
}

// noTarget refuses work of a pool none of whose targets is in service.
func (c *Core) noTarget(p *pool, retryAfter time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no target of pool %s may get work", p.spec.Name).
		WithRetryAfter(max(retryAfter, minimumRetryAfter))
	return c.jitter(err)
}

// jitter lengthens a retry time at random.
func (c *Core) jitter(err *verdict.Error) *verdict.Error {
	d := err.RetryAfter()
	return err.WithRetryAfter(d + saturate.Duration(c.rng.Float64()*retryJitter*float64(d)))
}
