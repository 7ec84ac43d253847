package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
)

// TestStuckBatchIsRetriedOnce checks that the items of a stuck batch are retried once,
// however often the core sees the batch until its answer arrives. The property test finds
// this fault only by chance.
func TestStuckBatchIsRetriedOnce(t *testing.T) {
	convey.Convey("Given a stuck batch and an idle target", t, func() {
		c := newCore(2)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 4, 5*time.Second)}))
		convey.So(first, convey.ShouldHaveLength, 1)
		// A batch of four takes 320 ms; it is stuck after twice that plus 250 ms.
		again := sends(c.Handle(start.Add(890*time.Millisecond), batching.Tick{}))
		convey.So(again, convey.ShouldHaveLength, 1)
		convey.So(again[0].Target.ID, convey.ShouldNotEqual, first[0].Target.ID)
		convey.Convey("its items stay with the target that they were retried on", func() {
			later := start.Add(900 * time.Millisecond)
			convey.So(sends(c.Handle(later, batching.Tick{})), convey.ShouldBeEmpty)
			convey.So(c.State(later).Retries, convey.ShouldEqual, 4)
			convey.So(c.State(later).Waiting, convey.ShouldEqual, 0)
		})
	})
}
