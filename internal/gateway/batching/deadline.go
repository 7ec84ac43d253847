package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// canFinish says whether an item that is sent now can be ready before its deadline.
//
// Its inputs are the item's deadline (the request's, less the time of what follows
// the item) and the time of a batch of one item by the catalog. Before the catalog
// is known, that time counts as none, so that only items whose deadline is over are
// dropped. It is asked at each event of items that are in no batch; one in a batch
// is left to it.
//
// The learnt slowdown of targets does not count, since a faster target may be free
// before. The users ask for the final answer at once where nothing can come of a
// request (commit be030ec): an item that waits until its deadline would delay the
// refusal, and the time at which to retry, for nothing.
//
// Dropping too early refuses requests that could have been answered; dropping too
// late spends result memory and batches on items that nobody can use.
func canFinish(now time.Time, spec *catalog.Batch, deadline time.Time) bool {
	end := now
	if spec != nil {
		end = earliestEnd(now, spec)
	}
	return !end.After(deadline)
}
