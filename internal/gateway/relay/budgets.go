package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

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
	b.of(service).RecordRequest(b.now())
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
	return b.of(service).Remaining(b.now())
}
