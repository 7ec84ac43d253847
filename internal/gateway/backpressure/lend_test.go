package backpressure

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// TestLend guards against a limit that two members use up twice, since a request is lent that its
// lender then sends as well, or that is lent by a member which knows of no limit.
func TestLend(t *testing.T) {
	a, b := directory.Incarnation{ID: "a"}, directory.Incarnation{ID: "b"}
	convey.Convey("Given a member that is one of two senders of a limited target", t, func() {
		now := time.Unix(1000, 0)
		rank := 0
		tracker := NewTracker(Config{
			Now: func() time.Time { return now }, Log: zerolog.Nop(), Changed: func(int) {},
			Rank: func(string) (before, members int) { return rank, 4 },
		})
		tracker.Observe(a, Signal{Limit: Limit{Set: true, PerSecond: 4}, Sent: now})
		gate := tracker.RequestGate()
		lend := func(targets ...directory.Incarnation) bool {
			_, lent := gate.Lend(targets)
			return lent
		}
		convey.So(lend(a), convey.ShouldBeFalse)
		now = now.Add(time.Second)
		convey.Convey("what it lends it does not send, and the other way round", func() {
			convey.So(lend(b, a), convey.ShouldBeTrue)
			convey.So(gate.Take(a), convey.ShouldBeFalse)
			convey.So(lend(a), convey.ShouldBeFalse)
			now = now.Add(time.Second)
			convey.So(gate.Take(a), convey.ShouldBeTrue)
			convey.So(lend(a), convey.ShouldBeFalse)
		})
		convey.Convey("it lends nothing to a target without a limit that it knows of", func() {
			convey.So(lend(b), convey.ShouldBeFalse)
		})
		convey.Convey("it lends nothing that it may not send itself", func() {
			rank = 3
			convey.So(lend(a), convey.ShouldBeFalse)
			rank = 0
			tracker.Observe(a, Signal{Leaving: true, Sent: now})
			convey.So(lend(a), convey.ShouldBeFalse)
		})
	})
}
