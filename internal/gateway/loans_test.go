package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/message"
)

// limitedTo returns the gate of a node that knows a target's limit and is one of its senders, or
// not.
func limitedTo(target directory.Incarnation, sends bool) backpressure.Gate {
	started := time.Now().Add(-time.Minute)
	now := func() time.Time { return started }
	before := 0
	if !sends {
		before = 9
	}
	tracker := backpressure.NewTracker(backpressure.Config{
		Now: func() time.Time { return now() }, Log: zerolog.Nop(), Changed: func(int) {},
		Rank: func(string) (int, int) { return before, 10 },
	})
	tracker.Observe(target, backpressure.Signal{Limit: backpressure.Limit{Set: true, PerSecond: 2}, Sent: started})
	now = time.Now
	return tracker.RequestGate()
}

// TestBorrow guards against a node that is refused what a member could lend, and against a loan
// that is given twice or by a member of an earlier version.
func TestBorrow(t *testing.T) {
	target := directory.Incarnation{ID: "t"}
	convey.Convey("Given a node that may send nothing to a limited target, and a member that may", t, func() {
		lender := &sendLoans{log: zerolog.Nop(), gate: limitedTo(target, true)}
		earlier, asked := false, 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked++
			if earlier {
				http.NotFound(w, r)
				return
			}
			lender.serve(w, r)
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		known := newMembers(time.Now, "127.0.0.1:1", 1, nil, 0)
		known.mergeAndReport(message.Gossip{Members: []message.GossipMember{{Address: address, Incarnation: 1, Beat: 1, Serving: true}}})
		node := &sendLoans{
			log: zerolog.Nop(), members: known, peers: newPeerClient(time.Now), gate: limitedTo(target, false),
			metrics: newMetrics(), avoided: newAvoidedMembers(time.Now),
		}
		borrow := func(targets ...directory.Incarnation) bool {
			lent, ok := node.Borrow(t.Context(), targets)
			return ok && lent == target
		}
		convey.Convey("the member lends one request, and is not asked again at once when it has no other", func() {
			convey.So(borrow(target), convey.ShouldBeTrue)
			convey.So(borrow(target), convey.ShouldBeFalse)
			convey.So(borrow(target), convey.ShouldBeFalse)
			convey.So(asked, convey.ShouldEqual, 2)
		})
		convey.Convey("nobody is asked for targets without a limit", func() {
			convey.So(borrow(directory.Incarnation{ID: "other"}), convey.ShouldBeFalse)
			convey.So(asked, convey.ShouldEqual, 0)
		})
		convey.Convey("a member of an earlier version lends nothing, and is passed over", func() {
			earlier = true
			convey.So(borrow(target), convey.ShouldBeFalse)
			time.Sleep(2 * loanRetry)
			convey.So(borrow(target), convey.ShouldBeFalse)
			convey.So(asked, convey.ShouldEqual, 1)
		})
	})
}
