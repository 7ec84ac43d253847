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

// A large service: 42 targets in six data centres, 256 groups of 6 items per second.
const (
	largeTargets     = 42
	largeDataCentres = 6
	largeGroup       = 6
	largeInterval    = time.Second / 256
)

// largeRun is a core of a large service with its running batches.
type largeRun struct {
	core       *batching.Core
	now        time.Time
	lastID     int
	running    map[batching.BatchID]runningBatch
	unreleased []batching.Release
}

type runningBatch struct {
	batching.Send
	endsAt time.Time
}

func newLargeRun() *largeRun {
	r := &largeRun{
		core: batching.New(retrybudget.Policy{Ratio: 0.2, Window: 10 * time.Second, Extra: 600, MaxNodes: 16}),
		now:  start, running: map[batching.BatchID]runningBatch{},
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
			r.running[e.Batch] = runningBatch{Send: e, endsAt: r.now.Add(took)}
		case batching.Inspect:
			defer r.handle(batching.Inspected{Target: e.Target.Incarnation(), Report: batching.Report{FreeBytes: 530_000}})
		}
	}
}

// step submits a group, finishes the batches that have ended and releases older results.
func (r *largeRun) step() {
	r.now = r.now.Add(largeInterval)
	var items []batching.Item
	for i := range largeGroup {
		r.lastID++
		items = append(items, batching.Item{
			ID: batching.ItemID(r.lastID), Request: fmt.Sprint("r", r.lastID/largeGroup), Index: i, Bytes: 6000, Priority: r.lastID % 3,
			Due: r.now.Add(900 * time.Millisecond), Deadline: r.now.Add(6 * time.Second),
			DataCentre: fmt.Sprint("d", r.lastID/largeGroup%largeDataCentres),
		})
	}
	r.handle(batching.Submit{Items: items})
	for id, b := range r.running {
		if r.now.Before(b.endsAt) {
			continue
		}
		delete(r.running, id)
		done := answered(b.Send)
		r.handle(done)
		release := batching.Release{Target: b.Target.Incarnation()}
		for _, out := range done.Outcomes {
			release.Handles = append(release.Handles, out.Handle)
		}
		r.unreleased = append(r.unreleased, release)
	}
	if len(r.unreleased) > 10 {
		r.handle(r.unreleased[0])
		r.unreleased = r.unreleased[1:]
	}
}

// BenchmarkLargeService measures a coordinator's cost of one group of a large service:
// its submission and its share of finished batches and released results.
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
