package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// targets is what this node has measured of targets, safe for concurrent use.
type targets struct {
	now func() time.Time

	mu    sync.Mutex
	table *placement.TargetTable
}

func newTargets(now func() time.Time) *targets {
	return &targets{now: now, table: placement.NewTargetTable()}
}

// leastLoaded chooses a target for a request without a prompt.
func (t *targets) leastLoaded(list []directory.Target, q placement.Query) (directory.Target, bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.LeastLoaded(now, list, q)
}

// byPrefix chooses an engine by the shared parts of a prompt.
func (t *targets) byPrefix(list []directory.Target, q placement.Query) (directory.Target, bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.ByPrefix(now, list, q)
}

// ejected returns the identities of the targets that are not used for now.
func (t *targets) ejected(now time.Time, list []directory.Target) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Ejected(now, list)
}

func (t *targets) sent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Sent(id)
}

// attemptEnd is how an attempt at a target ended.
type attemptEnd struct {
	target string
	// load is what the target reported of itself; nil for nothing.
	load *placement.Load
	// took is the time to the answer's head, or to the failure.
	took time.Duration
	// fault says that a failure counts against the target, unreachable that it took
	// no connection.
	fault, unreachable bool
}

func (t *targets) ended(e attemptEnd) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.load != nil {
		t.table.Report(now, e.target, *e.load)
	}
	t.table.Ended(now, e.target, e.took, e.fault)
	if e.unreachable {
		t.table.Eject(now, e.target)
	}
}

func (t *targets) prune(d *directory.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Prune(d)
}

// retryBudgets are this node's retry budgets by service, safe for concurrent use.
type retryBudgets struct {
	policy retrybudget.Policy
	now    func() time.Time

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

func newRetryBudgets(policy retrybudget.Policy, now func() time.Time) *retryBudgets {
	return &retryBudgets{policy: policy, now: now, services: map[string]*retrybudget.Budget{}}
}

// of returns a service's budget; the caller holds the lock.
func (b *retryBudgets) of(service string) *retrybudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retrybudget.New(b.policy)
		b.services[service] = budget
	}
	return budget
}

// first counts a request that is sent for the first time.
func (b *retryBudgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).First(b.now())
}

// spend asks for one retry, and counts it when it is allowed.
func (b *retryBudgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Spend(b.now())
}

// left returns how many retries are allowed now.
func (b *retryBudgets) left(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Left(b.now())
}

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
	if timeout <= 0 {
		return rules.Retried(timeout, 0)
	}
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
