package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// slowTargets make items once they are told to.
type slowTargets struct {
	begun   chan int
	release chan struct{}
}

func (s *slowTargets) Send(context.Context, relay.Call) (*relay.Reply, *verdict.Error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (s *slowTargets) RunBatch(_ context.Context, c BatchCall) ([]batching.Outcome, *verdict.Error) {
	s.begun <- len(c.Items)
	<-s.release
	outcomes := make([]batching.Outcome, len(c.Items))
	for i := range outcomes {
		outcomes[i].Handle = "made"
	}
	return outcomes, nil
}

func (s *slowTargets) Release(context.Context, directory.Target, []string) error { return nil }

// oneTargetGateway returns a gateway with a batch service of one target. It does
// not run.
func oneTargetGateway(t *testing.T, targets Targets) *Gateway {
	t.Helper()
	g, err := New(&settings.Settings{
		DataCentre: "d", Listen: settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Gateway: &settings.Gateway{Store: "-", Ready: "127.0.0.1:0"},
	}, Ports{Targets: targets, Callers: func(Relay) http.Handler { return http.NotFoundHandler() }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.sockets.close)
	batch := &catalog.Batch{Slots: 1, MaxItems: 4, CallLatency: time.Minute, MemoryBytes: 1000, ResultTTL: time.Minute}
	c, err := catalog.New(1, nil, []*catalog.Service{{Name: "s", Batch: batch}}, nil, catalog.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	g.views.current.Store(view.New().WithChanges(g.now(), view.Changes{Revision: 1, List: []view.Change{
		view.CatalogChange{Catalog: c}, view.TargetChange{Target: directory.Target{ID: "t", Service: "s"}},
	}}, time.Time{}))
	g.gossip.publishStatus()
	return g
}

// result is how a group ended.
type result struct {
	results []batching.Result
	err     *verdict.Error
}

// ended returns how a group ended; one that never does ends with an error of its
// own.
func ended(group <-chan result) result {
	select {
	case r := <-group:
		return r
	case <-time.After(10 * time.Second):
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "the group never ended")}
	}
}

func TestHandBack(t *testing.T) {
	group := relay.Group{Count: 1, Bytes: 1, Due: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)}
	convey.Convey("Given a node with a call at work and a group that waits", t, func() {
		targets := &slowTargets{begun: make(chan int), release: make(chan struct{})}
		g := oneTargetGateway(t, targets)
		ask := func() <-chan result {
			done := make(chan result, 1)
			go func() {
				results, err := g.coordinators.run(t.Context(), "s", group, nil)
				done <- result{results, err}
			}()
			return done
		}
		atWork := ask()
		<-targets.begun
		waiting := ask()
		for g.coordinators.states(t.Context())["s"].Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		g.departure.begin(g.now())
		g.gossip.publishStatus()
		convey.Convey("when it leaves and there is another, what waits is handed back and what is at work is finished", func() {
			g.members.exchange(message.Gossip{Members: []message.GossipMember{{Address: "10.0.0.1:1", Incarnation: 1, Beat: 1, Serving: true}}})
			g.coordinators.handBack()
			convey.So(ended(waiting).err.Reason(), convey.ShouldEqual, verdict.ReasonLeaving)
			convey.Convey("nor does it take more", func() {
				convey.So(ended(ask()).err.Reason(), convey.ShouldEqual, verdict.ReasonLeaving)
			})
			close(targets.release)
			convey.So(ended(atWork).results, convey.ShouldHaveLength, 1)
		})
		convey.Convey("when another member takes the duty over, what waits goes there and what still comes is made", func() {
			g.departure.since.Store(nil)
			g.gossip.publishStatus()
			g.members.exchange(message.Gossip{Members: []message.GossipMember{{Address: "10.0.0.1:1", Incarnation: 1, Beat: 1, Serving: true, Capacity: 800}}})
			convey.So(ended(waiting).err.Reason(), convey.ShouldEqual, verdict.ReasonMoved)
			late := ask()
			close(targets.release)
			convey.So(ended(atWork).results, convey.ShouldHaveLength, 1)
			convey.So(<-targets.begun, convey.ShouldEqual, 1)
			convey.So(ended(late).err, convey.ShouldBeNil)
		})
		convey.Convey("when it leaves as the last one, it goes on with both", func() {
			g.coordinators.handBack()
			close(targets.release)
			convey.So(ended(atWork).err, convey.ShouldBeNil)
			convey.So(<-targets.begun, convey.ShouldEqual, 1)
			convey.So(ended(waiting).err, convey.ShouldBeNil)
		})
	})
}
