package batching

import (
	"slices"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxCrashes is how many targets may end with an item: the second one ends it. Targets end
// for other reasons too, so that one may be chance; each further one costs a target and
// a batch of other requests' items.
const maxCrashes = 2

// priorCrashes is how many targets an item counts as having ended when it is submitted.
func priorCrashes(item Item) int {
	if item.Suspect {
		return maxCrashes - 1
	}
	return 0
}

// isSuspect says whether a target ended with the item.
func (q *queuedItem) isSuspect() bool { return q.crashes > 0 }

// crashesTargets decides whether an item fails because targets ended with it.
//
// Its input is the number of targets that ended while they had the item, with the one of
// an earlier request that asked for the same. A batch has items of many requests, and its
// target ends with all of them; those of two requests that are suspected never share a
// batch again (suspectFilter.allows), so that the second end speaks against one request alone.
//
// A wrong yes fails a request that another target could have served; a wrong no costs one
// more target, and one more attempt of up to a whole batch of others.
func (q *queuedItem) crashesTargets() bool { return q.crashes >= maxCrashes }

// errCrashesTargets is the failure of an item that ends its targets.
func errCrashesTargets() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d targets ended when they had the item", maxCrashes)
}

// suspectFilter decides which suspected items one batch takes.
type suspectFilter struct {
	// request is that whose suspected items the batch has; empty for none.
	request string
	// running are the batches that have not ended.
	running map[BatchID]*batch
}

// allows says whether an item may go into the batch. A suspected one may not where another
// request's are, nor while another batch has items of its request: of fourteen items of
// four requests, one of them bad, all were part of up to four batches that failed, and
// four targets ended for each of the bad one's items.
func (s suspectFilter) allows(q *queuedItem) bool {
	if !q.isSuspect() {
		return true
	}
	return (s.request == "" || s.request == q.Request) && !s.isRunning(q.Request)
}

func (s suspectFilter) isRunning(request string) bool {
	for _, b := range s.running {
		if !b.stuck && slices.ContainsFunc(b.items, func(i Item) bool { return i.Request == request }) {
			return true
		}
	}
	return false
}

// add notes an item that goes into the batch.
func (s *suspectFilter) add(q *queuedItem) {
	if q.isSuspect() {
		s.request = q.Request
	}
}
