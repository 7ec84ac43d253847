package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// retryBudgets holds this node's retry budgets by service. It is safe for concurrent use.
type retryBudgets struct {
	policy retrybudget.Policy
	now    func() time.Time

	mu       sync.Mutex
	services map[string]*retrybudget.Budget
}

func newRetryBudgets(policy retrybudget.Policy, now func() time.Time) *retryBudgets {
	return &retryBudgets{policy: policy, now: now, services: map[string]*retrybudget.Budget{}}
}

// budget returns a service's budget; the caller must hold the mutex.
func (b *retryBudgets) budget(service string) *retrybudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = retrybudget.New(b.policy.WithService(service))
		b.services[service] = budget
	}
	return budget
}

// countRequest counts a request that is sent for the first time.
func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(b.now())
}

// spend reports whether a retry is allowed, and counts it if so. It returns what the budget was
// made of before.
func (b *retryBudgets) spend(service string) (retrybudget.Allowance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(service)
	return budget.Allowance(b.now()), budget.Spend(b.now())
}

// spent returns what was spent in the window at the service with the most retries.
func (b *retryBudgets) spent() retrybudget.Spent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var most retrybudget.Spent
	for _, budget := range b.services {
		if spent := budget.Spent(b.now()); spent.Retries > most.Retries {
			most = spent
		}
	}
	return most
}

// remaining returns how many retries are allowed now.
func (b *retryBudgets) remaining(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Remaining(b.now())
}
