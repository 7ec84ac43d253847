package admission

// Rule: which retries a pool pays for.
//
// Each pool has two budgets, in retries: one for retries after an attempt that may
// have run, one for retries after an attempt that provably did not run. A first
// attempt adds to both, the more the less loaded the pool is; a retry takes its
// price from its own. A retry that cannot pay is refused as retries-exhausted.
//
// Inputs: the kind of the attempt and the share of the pool's slots that this
// node's calls take now. A pool with no slot in service counts as fully loaded.
// The budgets start full and are not reset by a bundle.
//
// Why so: a pool that fails as a whole must not get more load from retries; and targets
// that refuse because they leave must not use up the budget for losses, as the others
// can take what they refuse (docs/decisions/0008-holding-and-refusing.md). A budget
// that is too small fails requests that a second target would have served; one that is
// too large multiplies the load of a failing pool.
const (
	// earnedPerAttempt is how many retries a first attempt pays for when the pool is idle;
	// it falls to 0 as the pool fills.
	earnedPerAttempt = 0.2
	// budgetLimit is the most retries saved up, and what a budget starts with.
	budgetLimit = 10
	// priceAfterLoss is what a retry after a possible run takes: the unit of the
	// budgets.
	priceAfterLoss = 1.0
	// priceAfterProof is what a retry after a proof of not-run takes, which cost its
	// target next to nothing. With the full price leaving targets used up the budget in
	// the fault matrix.
	priceAfterProof = 0.2
)

// retryBudget is what a pool has saved up for retries, in retries.
type retryBudget struct {
	afterLoss  float64
	afterProof float64
}

func newRetryBudget() retryBudget {
	return retryBudget{afterLoss: budgetLimit, afterProof: budgetLimit}
}

// admit says whether an attempt may be made, and pays for it. load is the share of
// the pool's slots that are taken, from 0 to 1.
func (b *retryBudget) admit(kind Retry, load float64) bool {
	switch kind {
	case First:
		b.earn(load)
		return true
	case AfterProof:
		return pay(&b.afterProof, priceAfterProof)
	default:
		return pay(&b.afterLoss, priceAfterLoss)
	}
}

// earn counts a first attempt.
func (b *retryBudget) earn(load float64) {
	earned := earnedPerAttempt * (1 - load)
	b.afterLoss = min(budgetLimit, b.afterLoss+earned)
	b.afterProof = min(budgetLimit, b.afterProof+earned)
}

// pay takes the price from the budget, or nothing when it holds less.
func pay(budget *float64, price float64) bool {
	if *budget < price {
		return false
	}
	*budget -= price
	return true
}
