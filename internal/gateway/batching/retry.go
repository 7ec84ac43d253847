package batching

// maxAttempts is the most batches that one item is part of. The first retry goes to
// another target; an item that failed four times has most probably a fault of its own,
// and each further one takes a place in a batch from another request.
const maxAttempts = 4

// retryDecision says what happens to an item whose batch failed, got stuck or gave no
// result for it.
type retryDecision int

const (
	// retry: the item is queued again.
	retry retryDecision = iota
	// leave: the item stays as it is, since it is queued, or another batch that runs
	// holds it and may give its result.
	leave
	// fail: the item was part of as many batches as it may be, or the retry budget of
	// the service has nothing left, and it fails.
	fail
)

// decideRetry decides whether an item is queued again.
//
// Its inputs are the item's number of batches so far, whether it is queued or in
// another running batch, and spend, which takes one retry from the service's budget
// and says whether there was one (retrybudget: a share of the items first submitted
// within its window and this node's part of a fixed extra). The number of batches
// counts before the budget, so that an item that may not be retried takes nothing
// from it. An item fails at once, as not run, when nothing is left to wait for.
//
// An item may run twice: a result that nobody needs is discarded. The bounds keep a
// service in trouble from being flooded with retries; the budget holds over all
// nodes. See docs/decisions/0012-batches.md.
//
// Retrying too readily breaks the bound on retries, retrying too little fails
// requests that another target could have served.
func decideRetry(q *queuedItem, spend func() bool) retryDecision {
	switch {
	case q.queued:
		return leave
	case q.attempts < maxAttempts && spend():
		return retry
	case q.runningBatches > 0:
		return leave
	}
	return fail
}
