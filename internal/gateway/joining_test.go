package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/message"
)

// TestJoining holds that a node asks each of its seeds twice, and that one that is
// silent delays it for no longer than it may.
func TestJoining(t *testing.T) {
	newMember := func(seeds ...string) *members { return newMembers(time.Now, "10.0.0.1:1", 1, seeds, 0) }
	convey.Convey("Each seed but the node itself is asked twice, then the node has joined", t, func() {
		asked := make(chan string, 10)
		j := newJoiner(newMember("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"), func(_ context.Context, member string) bool {
			asked <- member
			return true
		})
		j.run(t.Context())
		j.wait(t.Context())
		close(asked)
		counts := map[string]int{}
		for member := range asked {
			counts[member]++
		}
		convey.So(counts, convey.ShouldResemble, map[string]int{"10.0.0.2:1": 2, "10.0.0.3:1": 2})
	})
	convey.Convey("A seed that never answers is given up", t, func() {
		j := newJoiner(newMember("10.0.0.2:1"), func(ctx context.Context, _ string) bool {
			<-ctx.Done()
			return false
		})
		started := time.Now()
		j.run(t.Context())
		convey.So(time.Since(started), convey.ShouldBeGreaterThanOrEqualTo, 2*joinTimeout+joinPause)
		j.wait(t.Context())
	})
	convey.Convey("Waiting ends with its context", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		newJoiner(newMember(), nil).wait(ctx)
	})
}

// TestMovedGroupIsRerouted holds that a group that this node hands back, as another
// member has come to coordinate its service, is sent there. It ended its request as
// "moved" before.
func TestMovedGroupIsRerouted(t *testing.T) {
	convey.Convey("A group handed back to its own node is tried at the next coordinator", t, func() {
		targets := &blockingTargets{started: make(chan int), release: make(chan struct{})}
		g := newSingleTargetGateway(t, targets)
		close(g.joiner.joined)
		batches := &batchRouter{
			now: g.now, log: g.log, members: g.members, peers: newPeerClient(g.now), local: g.coordinators, joiner: g.joiner,
			exchange: func(context.Context, string) bool { return false },
		}
		run := func() <-chan groupResult {
			done := make(chan groupResult, 1)
			group := relay.Group{Count: 1, Bytes: 1, Due: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)}
			go func() {
				results, err := batches.Run(t.Context(), "s", group, nil)
				done <- groupResult{results, err}
			}()
			return done
		}
		running := run()
		<-targets.started
		waiting := run()
		for g.coordinators.states(t.Context())["s"].Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		// The other member does not answer, so that the node runs the group itself.
		g.members.mergeAndReport(message.Gossip{Members: []message.GossipMember{
			{Address: refusingAddress(t), Incarnation: 1, Beat: 1, Serving: true, Capacity: 800},
		}})
		go func() {
			for range targets.started {
			}
		}()
		// The target is busy until the group was tried at the other member.
		for end := time.Now().Add(5 * time.Second); g.members.remoteCoordinator("s") != "" && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		convey.So(g.members.remoteCoordinator("s"), convey.ShouldBeEmpty)
		close(targets.release)
		convey.So(awaitResult(running).err, convey.ShouldBeNil)
		convey.So(awaitResult(waiting).err, convey.ShouldBeNil)
	})
}

// TestFirstConfigWait holds that a request at a node without configuration waits
// for it no longer than it may, and not when the source is known to fail.
func TestFirstConfigWait(t *testing.T) {
	waited := func(g *Gateway) time.Duration {
		started := time.Now()
		g.awaitFirstConfig(t.Context())
		return time.Since(started)
	}
	newGateway := func() *Gateway {
		return &Gateway{views: newViewKeeper(time.Now, zerolog.Nop(), nil), health: newSourceHealth()}
	}
	convey.Convey("A request at a node without configuration", t, func() {
		convey.Convey("waits while nothing is known of the source", func() {
			convey.So(waited(newGateway()), convey.ShouldBeGreaterThanOrEqualTo, firstConfigWait)
		})
		convey.Convey("goes on when the configuration comes", func() {
			g := newGateway()
			close(g.views.configured)
			convey.So(waited(g), convey.ShouldBeLessThan, firstConfigWait)
		})
		convey.Convey("is not held when the source has failed", func() {
			g := newGateway()
			g.health.markFailed(time.Now())
			convey.So(waited(g), convey.ShouldBeLessThan, firstConfigWait)
		})
	})
}

// refusingAddress is the address of a member that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
