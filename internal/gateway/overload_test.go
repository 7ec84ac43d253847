package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// callCost is what a coordinator's one processor spends on each call, 50 a second.
	callCost = 20 * time.Millisecond
	// burstInterval is the time between two requests in a push of burstRequests, four times
	// what the coordinator carries, and normalInterval that before and after, four fifths.
	burstInterval  = 5 * time.Millisecond
	burstRequests  = 400
	normalInterval = 25 * time.Millisecond
	// recoveryTime is how long after the push the coordinator may be late, and
	// observationTime how long it is looked at then.
	recoveryTime    = 5 * time.Second
	observationTime = 2 * time.Second
)

// serialCoordinator answers calls one after the other, each when its turn comes, and spends
// its time also on those that nobody awaits any more.
type serialCoordinator struct {
	processor sync.Mutex
}

func (c *serialCoordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.processor.Lock()
	time.Sleep(callCost)
	c.processor.Unlock()
	writeJSON(w, message.ItemBacklogs{BacklogMs: []int{int(callCost.Milliseconds())}})
}

// newRemoteRouter returns the batches of a node whose services another member coordinates.
func newRemoteRouter(member string) *batchRouter {
	// The other's incarnation is the newer one; only it serves.
	m := newMembers(time.Now, "127.0.0.1:1", 1, nil, 0)
	m.mergeReply(member, message.Gossip{Members: []message.GossipMember{{Address: member, Incarnation: 2, Beat: 1, Serving: true, Capacity: 1}}})
	return &batchRouter{
		now: time.Now, log: zerolog.Nop(), members: m, peers: newPeerClient(time.Now),
		exchange: func(context.Context, string) bool { return true },
	}
}

// TestCoordinatorRecovers tells an incident: a push of six seconds left a fleet's pipelines
// standing still for thirty.
//
// Seen: from the push on 3,500 requests in two seconds were admitted, held until their time
// was over and sent again by their clients; the stages made some ten batches a second. How
// it came about: one member coordinated all stages. Late by more than a request waits for
// its backlog, it got every request of every node, and what nobody awaited any more made it
// later. It ended with that member, by a planned stop. Cause: a backlog that a coordinator
// does not answer in time counted as none, so that the load which it got was least bounded
// when it was most overloaded. Proof: the planned times of the day's requests, which are
// those of an idle system from the push on, and this test, in which a coordinator with four
// fifths of its load is late for good after a push.
func TestCoordinatorRecovers(t *testing.T) {
	coordinator := httptest.NewServer(&serialCoordinator{})
	defer coordinator.Close()
	member := strings.TrimPrefix(coordinator.URL, "http://")
	b := newRemoteRouter(member)
	stop := keepMemberAlive(t, b, member)
	defer stop()
	sendNormalLoad := func(d time.Duration) (asked, answered int) {
		return sendPlans(t, b, int(d/normalInterval), normalInterval)
	}
	convey.Convey("A coordinator answers again some seconds after a push", t, func() {
		asked, answered := sendNormalLoad(2 * time.Second)
		convey.So(answered, convey.ShouldBeGreaterThan, asked*9/10)
		sendPlans(t, b, burstRequests, burstInterval)
		sendNormalLoad(recoveryTime)
		asked, answered = sendNormalLoad(observationTime)
		convey.So(answered, convey.ShouldBeGreaterThan, asked*9/10)
	})
}

// keepMemberAlive has the member give signs of life.
func keepMemberAlive(t *testing.T, b *batchRouter, member string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			b.members.mergeReply(member, message.Gossip{})
			time.Sleep(callCost)
		}
	}()
	return cancel
}

// sendPlans announces requests, one at a time, and counts those whose backlog was answered.
func sendPlans(t *testing.T, b *batchRouter, n int, pause time.Duration) (asked, answered int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			backlogs := b.Plan(t.Context(), "r", []relay.PlannedStage{{Service: "s", Items: 1}})
			mu.Lock()
			defer mu.Unlock()
			if backlogs[0] > 0 {
				answered++
			}
		})
		time.Sleep(pause)
	}
	all.Wait()
	return n, answered
}
