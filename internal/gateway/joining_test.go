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

// TestJoining guards against nodes that start work before they know the other members, and
// against a seed that does not answer and delays the start for too long.
func TestJoining(t *testing.T) {
	newMember := func(seeds ...string) *members { return newMembers(time.Now, "10.0.0.1:1", 1, seeds, 0) }
	convey.Convey("The node joins after two exchanges with each seed but itself", t, func() {
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
	convey.Convey("A seed that does not answer is given up after joinTimeout", t, func() {
		j := newJoiner(newMember("10.0.0.2:1"), func(ctx context.Context, _ string) bool {
			<-ctx.Done()
			return false
		})
		started := time.Now()
		j.run(t.Context())
		convey.So(time.Since(started), convey.ShouldBeGreaterThanOrEqualTo, 2*joinTimeout+joinPause)
		j.wait(t.Context())
	})
	convey.Convey("Waiting ends when the context is cancelled", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		newJoiner(newMember(), nil).wait(ctx)
	})
}

// TestMovedGroupIsRerouted guards against requests that fail with the reason "moved": a group
// that this node hands back because another member has taken over the service must be sent to
// that member.
func TestMovedGroupIsRerouted(t *testing.T) {
	convey.Convey("A group that its own node hands back is sent to the next coordinator", t, func() {
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
		// The other member does not answer, so the node runs the group itself in the end.
		g.members.mergeAndReport(message.Gossip{Members: []message.GossipMember{
			{Address: refusingAddress(t), Incarnation: 1, Beat: 1, Serving: true, Capacity: 800},
		}})
		go func() {
			for range targets.started {
			}
		}()
		// The target stays busy until the group has been sent to the other member.
		for end := time.Now().Add(5 * time.Second); g.members.remoteCoordinator("s") != "" && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		convey.So(g.members.remoteCoordinator("s"), convey.ShouldBeEmpty)
		close(targets.release)
		convey.So(awaitResult(running).err, convey.ShouldBeNil)
		convey.So(awaitResult(waiting).err, convey.ShouldBeNil)
	})
}

// TestFirstConfigWait guards against requests at a node without a configuration that are not
// held although the configuration may come soon, or that are held although it has arrived or
// the source is known to fail.
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
		convey.Convey("waits while the source has neither answered nor failed", func() {
			convey.So(waited(newGateway()), convey.ShouldBeGreaterThanOrEqualTo, firstConfigWait)
		})
		convey.Convey("continues when the configuration arrives", func() {
			g := newGateway()
			close(g.views.configured)
			convey.So(waited(g), convey.ShouldBeLessThan, firstConfigWait)
		})
		convey.Convey("is not held if the source has failed", func() {
			g := newGateway()
			g.health.markFailed(time.Now())
			convey.So(waited(g), convey.ShouldBeLessThan, firstConfigWait)
		})
	})
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
