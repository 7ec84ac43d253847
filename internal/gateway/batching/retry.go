package batching

// maxAttempts is the maximum number of batches that an item is part of. The first retry
// goes to another target. An item that failed four times is most likely at fault itself,
// and each further attempt takes a place in a batch from another request.
const maxAttempts = 4

// retryDecision tells what happens to an item whose batch failed, became stuck or
// returned no result for it.
type retryDecision int

const (
	// retry: the item is queued again.
	retry retryDecision = iota
	// leave: the item stays as it is, because it is queued or part of another running
	// batch, which may return its result.
	leave
	// fail: the item fails, because it has reached maxAttempts or the service's retry
	// budget is exhausted, and it is neither queued nor in another running batch.
	fail
)

// decideRetry decides whether an item is queued again.
//
// Its inputs are the number of batches that the item was part of, whether it is queued or
// in another running batch, and spend, which takes one retry from the service's budget
// and reports whether there was one (retrybudget: a fraction of the items first submitted
// within its window, plus this node's share of a fixed extra). The attempts are checked
// before the budget, so that an item that may not be retried takes nothing from it. An
// item fails at once, as not run, if nothing is left to wait for.
//
// An item may run twice; a result that is not needed is discarded. The bounds keep a
// failing service from being flooded with retries. The budget holds across all nodes. See
// docs/decisions/0012-batches.md.
//
// Too many retries flood a failing service; too few fail requests that another target
// could have served.
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
