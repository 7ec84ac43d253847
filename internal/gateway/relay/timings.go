package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
)

// clientTimeouts tracks the longest client timeout of each route since this node started.
// It is safe for concurrent use.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{longest: map[string]time.Duration{}}
}

// observe records a client's timeout and reports whether its request is a retry.
func (c *clientTimeouts) observe(route string, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest[route] = max(c.longest[route], timeout)
	return rules.Retried(timeout, c.longest[route])
}

// longestOf returns the longest timeout of a client of a route; 0 for none.
func (c *clientTimeouts) longestOf(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longest[route]
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
