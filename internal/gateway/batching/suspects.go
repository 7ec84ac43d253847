package batching

import (
	"slices"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxCrashes is how many targets may crash while they have an item before the item fails.
// One crash may be a coincidence, since targets crash for other reasons too; each further
// one costs a target and a batch of other requests' items.
const maxCrashes = 2

// priorCrashes returns the crash count that an item is submitted with.
func priorCrashes(item Item) int {
	if item.Suspect {
		return maxCrashes - 1
	}
	return 0
}

// isSuspect reports whether a target crashed while it had the item, or one like it of an
// earlier request, and no target has answered a batch with the item since.
func (q *queuedItem) isSuspect() bool { return q.crashes > 0 }

// crashesTargets reports whether the item fails because targets crash with it.
//
// It counts the crashes of targets that had the item, plus one if an earlier request
// asked for the same and a target crashed with it; an answered batch resets the count. A
// batch holds items of many requests, and a crash affects all of them. Items of two
// suspected requests never share a batch again (suspectFilter.allows), so that the second
// crash is held against one request alone.
//
// If it wrongly returns true, a request fails that another target could have served; if
// it wrongly returns false, one more target crashes and up to a whole batch of other
// items loses an attempt.
func (q *queuedItem) crashesTargets() bool { return q.crashes >= maxCrashes }

// errCrashesTargets returns the error of an item that crashes targets.
func errCrashesTargets() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d targets crashed while they had the item", maxCrashes)
}

// suspectFilter decides which suspected items a batch may take.
type suspectFilter struct {
	// request is the request whose suspected items the batch has; empty for none.
	request string
	// running holds the batches that have not ended.
	running map[BatchID]*batch
}

// allows reports whether an item may go into the batch. A suspected item may not join
// suspected items of another request, nor be sent while another batch, which is not
// stuck, has items of its request. Without these rules, fourteen items of four requests,
// one of them bad, were all part of up to four failed batches, and four targets crashed
// for each item of the bad request.
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

// add records an item that goes into the batch.
func (s *suspectFilter) add(q *queuedItem) {
	if q.isSuspect() {
		s.request = q.Request
	}
}
