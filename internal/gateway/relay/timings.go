package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
)

// clientTimeouts tracks the client timeouts of each route since this node started. It is safe for
// concurrent use.
type clientTimeouts struct {
	mu   sync.Mutex
	seen map[string]rules.ClientTimeouts
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{seen: map[string]rules.ClientTimeouts{}}
}

// observe records a client's timeout and reports whether its request is a retry. takesUp tells
// whether it takes a stream up.
func (c *clientTimeouts) observe(route string, timeout time.Duration, takesUp bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seen[route].With(timeout, takesUp)
	c.seen[route] = seen
	return rules.Retried(timeout, seen.Longest)
}

// of returns what is known of the client timeouts of a route.
func (c *clientTimeouts) of(route string) rules.ClientTimeouts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[route]
}

// prefillRates tracks the prefill rate of each service's engines. It is safe for
// concurrent use.
type prefillRates struct {
	mu       sync.Mutex
	services map[string]rules.PrefillRate
}

func newPrefillRates() *prefillRates {
	return &prefillRates{services: map[string]rules.PrefillRate{}}
}

// rate returns a service's rate; the caller must hold the mutex.
func (p *prefillRates) rate(service string) rules.PrefillRate {
	if rate, ok := p.services[service]; ok {
		return rate
	}
	return rules.NewPrefillRate()
}

// firstEventTime estimates a service's time to the first event of a prompt.
func (p *prefillRates) firstEventTime(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate(service).Time(tokens)
}

// observe records the time to the first event of a prompt.
func (p *prefillRates) observe(service string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[service] = p.rate(service).WithPrompt(tokens, took)
}
