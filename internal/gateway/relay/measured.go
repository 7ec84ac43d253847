package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
)

// clientTimeouts has the longest timeout that any client of a route had since
// this node started. It is safe for concurrent use.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{longest: map[string]time.Duration{}}
}

// retried notes a client's timeout and says whether its request is a retry.
func (c *clientTimeouts) retried(route string, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest[route] = max(c.longest[route], timeout)
	return rules.Retried(timeout, c.longest[route])
}

// prefillRates has the prefill rate of each service's engines, safe for
// concurrent use.
type prefillRates struct {
	mu       sync.Mutex
	services map[string]rules.PrefillRate
}

func newPrefillRates() *prefillRates {
	return &prefillRates{services: map[string]rules.PrefillRate{}}
}

// of returns a service's rate; the caller holds the lock.
func (p *prefillRates) of(service string) rules.PrefillRate {
	if rate, ok := p.services[service]; ok {
		return rate
	}
	return rules.NewPrefillRate()
}

// time returns how long a service takes to the first event of a prompt.
func (p *prefillRates) time(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service).Time(tokens)
}

// note takes in how long the first event of a prompt took.
func (p *prefillRates) note(service string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[service] = p.of(service).WithPrompt(tokens, took)
}
