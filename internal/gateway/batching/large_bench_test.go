package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// A large service: 42 targets in six data centres, 256 groups of 6 items a second.
const (
	largeTargets     = 42
	largeDataCentres = 6
	largeGroup       = 6
	largeInterval    = time.Second / 256
)

// largeRun is a core of a large service with the batches that run, by when they end.
type largeRun struct {
	core    *batching.Core
	now     time.Time
	token   int
	running map[batching.BatchID]endingBatch
	held    []batching.Release
}

type endingBatch struct {
	batching.Send
	ends time.Time
}

func newLargeRun() *largeRun {
	r := &largeRun{
		core: batching.New(retrybudget.Policy{Ratio: 0.2, Window: 10 * time.Second, Extra: 600, MaxNodes: 16}),
		now:  start, running: map[batching.BatchID]endingBatch{},
	}
	var list []directory.Target
	for i := range largeTargets {
		list = append(list, directory.Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("d", i%largeDataCentres)})
	}
	r.handle(batching.Configure{Targets: list, Service: &catalog.Service{Name: "s", Batch: &catalog.Batch{
		MaxItems: 48, CallLatency: 240 * time.Millisecond, PerItem: 4300 * time.Microsecond,
		MemoryBytes: 530_000, ResultTTL: 4 * time.Second,
	}}})
	return r
}

// handle passes an event to the core and starts the batches that it sends.
func (r *largeRun) handle(ev batching.Event) {
	for _, effect := range r.core.Handle(r.now, ev) {
		switch e := effect.(type) {
		case batching.Send:
			took := 240*time.Millisecond + time.Duration(len(e.Items))*4300*time.Microsecond
			r.running[e.Batch] = endingBatch{Send: e, ends: r.now.Add(took)}
		case batching.Inspect:
			defer r.handle(batching.Inspected{Target: e.Target.Incarnation(), Report: batching.Report{FreeBytes: 530_000}})
		}
	}
}

// step submits a group, ends the batches that are due and releases older results.
func (r *largeRun) step() {
	r.now = r.now.Add(largeInterval)
	var items []batching.Item
	for i := range largeGroup {
		r.token++
		items = append(items, batching.Item{
			ID: batching.ItemID(r.token), Request: fmt.Sprint("r", r.token/largeGroup), Index: i, Bytes: 6000, Priority: r.token % 3,
			Due: r.now.Add(900 * time.Millisecond), Deadline: r.now.Add(6 * time.Second),
			DataCentre: fmt.Sprint("d", r.token/largeGroup%largeDataCentres),
		})
	}
	r.handle(batching.Submit{Items: items})
	for id, b := range r.running {
		if r.now.Before(b.ends) {
			continue
		}
		delete(r.running, id)
		done := answered(b.Send)
		r.handle(done)
		release := batching.Release{Target: b.Target.Incarnation()}
		for _, out := range done.Outcomes {
			release.Handles = append(release.Handles, out.Handle)
		}
		r.held = append(r.held, release)
	}
	if len(r.held) > 10 {
		r.handle(r.held[0])
		r.held = r.held[1:]
	}
}

// BenchmarkLargeService is one coordinator's part of a group of a large service: its
// submission, and its share of the ends of batches and of released results.
func BenchmarkLargeService(b *testing.B) {
	r := newLargeRun()
	for range 1000 {
		r.step()
	}
	b.ReportAllocs()
	for b.Loop() {
		r.step()
	}
	s := r.core.State(r.now)
	b.ReportMetric(float64(s.Waiting), "waiting")
	b.ReportMetric(float64(s.Busy), "busy")
	b.ReportMetric(float64(s.Items)/float64(max(s.Batches, 1)), "items/batch")
}
