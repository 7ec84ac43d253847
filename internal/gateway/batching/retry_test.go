package batching

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestDecideRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		item   queuedItem
		budget int
		want   retryDecision
		// left is the expected rest of the budget.
		left int
	}{
		{"An item is retried and takes one retry from the budget", queuedItem{attempts: 1}, 2, retry, 1},
		{"and also after its third batch", queuedItem{attempts: 3}, 2, retry, 1},
		{"and also while another batch holds it", queuedItem{attempts: 2, runningBatches: 1}, 2, retry, 1},
		{"An item fails after its fourth batch, and takes nothing from the budget", queuedItem{attempts: 4}, 2, fail, 2},
		{"An item fails when the budget is exhausted", queuedItem{attempts: 1}, 0, fail, 0},
		{"An item waits for another batch that holds it when the budget is exhausted", queuedItem{attempts: 2, runningBatches: 1}, 0, leave, 0},
		{"and when its attempts are", queuedItem{attempts: 4, runningBatches: 1}, 2, leave, 2},
		{"An item that is queued takes nothing from the budget", queuedItem{attempts: 1, queued: true}, 2, leave, 2},
	} {
		convey.Convey(c.name, t, func() {
			left := c.budget
			spend := func() bool {
				if left == 0 {
					return false
				}
				left--
				return true
			}
			convey.So(decideRetry(&c.item, spend), convey.ShouldEqual, c.want)
			convey.So(left, convey.ShouldEqual, c.left)
		})
	}
}
