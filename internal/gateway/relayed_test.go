package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// store is a source that several nodes read; each sees it through a reader.
type store struct {
	mu       sync.Mutex
	revision int64
	changes  []view.Changes
	news     chan struct{}
}

func newStore() *store {
	s := &store{news: make(chan struct{})}
	c, err := catalog.New(1, nil, nil, nil, catalog.Limits{})
	if err != nil {
		panic(err)
	}
	s.publish(view.CatalogChange{Catalog: c, Document: []byte("1")})
	return s
}

func (s *store) publish(c view.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, view.Changes{Revision: s.revision, List: []view.Change{c}})
	close(s.news)
	s.news = make(chan struct{})
}

func (s *store) since(after int64) (view.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := view.Changes{Revision: s.revision}
	for _, ch := range s.changes {
		if ch.Revision > after {
			all.List = append(all.List, ch.List...)
		}
	}
	return all, s.news
}

// reader is one node's way to the store; it remembers how often it was used.
type reader struct {
	*store
	mu    sync.Mutex
	calls int
}

func (r *reader) count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

func (r *reader) used() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *reader) Snapshot(_ context.Context, answered func()) (view.Changes, error) {
	r.count()
	answered()
	all, _ := r.since(0)
	return all, nil
}

func (r *reader) Watch(ctx context.Context, after int64, wait time.Duration, answered func()) (view.Changes, error) {
	r.count()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news, more := r.since(after)
		if len(news.List) > 0 {
			answered()
			return news, nil
		}
		select {
		case <-more:
		case <-timer.C:
			answered()
			return news, nil
		case <-ctx.Done():
			return view.Changes{}, ctx.Err()
		}
	}
}

func (r *reader) Decode(document []byte) (view.CatalogChange, error) {
	c, err := catalog.New(1, nil, nil, nil, catalog.Limits{})
	return view.CatalogChange{Catalog: c, Document: document}, err
}

// noTargets are targets that nobody calls.
type noTargets struct{}

func (noTargets) Send(context.Context, relay.Call) (*relay.Reply, *verdict.Error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (noTargets) RunBatch(context.Context, gateway.BatchCall) ([]batching.Outcome, *verdict.Error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (noTargets) Release(context.Context, directory.Target, []string) error { return nil }

const (
	fleetSize  = 14
	strongOnes = 5
)

func startFleet(t *testing.T, s *store) ([]*gateway.Gateway, []*reader) {
	t.Helper()
	var nodes []*gateway.Gateway
	var readers []*reader
	var seeds []string
	for i := range fleetSize {
		cores := 0.2
		if i < strongOnes {
			cores = 1
		}
		cfg := &settings.Settings{
			DataCentre: "d", Listen: settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"},
			Peers: seeds, Gateway: &settings.Gateway{Store: "-", Ready: "127.0.0.1:0", Cores: cores, GraceMs: 2000},
		}
		r := &reader{store: s}
		g, err := gateway.New(cfg, gateway.Ports{
			Source: r, Targets: noTargets{}, Callers: func(gateway.Relay) http.Handler { return http.NotFoundHandler() },
		})
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, g.PeerAddress())[:min(i+1, 3)]
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = g.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
		nodes, readers = append(nodes, g), append(readers, r)
	}
	return nodes, readers
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("not within 30 s: %s", what)
}

// hearing counts the members that a node knows to hear the source.
func hearing(g *gateway.Gateway) int {
	n := 0
	for _, m := range g.State().Members {
		if m.Hears {
			n++
		}
	}
	return n
}

func knows(g *gateway.Gateway, target string) bool {
	for _, t := range g.State().Targets {
		if t.Id == target {
			return true
		}
	}
	return false
}

func TestRelayedNews(t *testing.T) {
	convey.Convey("Of many nodes", t, func() {
		s := newStore()
		nodes, readers := startFleet(t, s)
		eventually(t, "all nodes know each other", func() bool {
			for _, n := range nodes {
				if hearing(n) < strongOnes {
					return false
				}
			}
			return true
		})
		// The watches that began before the nodes knew each other end with this.
		s.publish(view.TargetChange{Target: directory.Target{ID: "first", Service: "s"}})
		allKnow := func(id string) func() bool {
			return func() bool {
				for _, n := range nodes {
					if !knows(n, id) {
						return false
					}
				}
				return true
			}
		}
		eventually(t, "all nodes know the first target", allKnow("first"))
		before := make([]int, len(readers))
		for i, r := range readers {
			before[i] = r.used()
		}
		for i := range 8 {
			id := fmt.Sprintf("target-%d", i)
			s.publish(view.TargetChange{Target: directory.Target{ID: id, Service: "s"}})
			eventually(t, "all nodes know "+id, allKnow(id))
		}
		convey.Convey("few ask the source for news, and all hear them", func() {
			asking := 0
			for i, r := range readers {
				if r.used()-before[i] >= 4 {
					asking++
				}
			}
			convey.So(asking, convey.ShouldBeBetweenOrEqual, 1, strongOnes)
		})
	})
}
