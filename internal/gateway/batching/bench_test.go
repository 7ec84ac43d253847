package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

const (
	benchTargets = 12
	benchQueue   = 200
	benchGroup   = 4
)

// newBenchCore returns a core with all targets at work and a full queue, and the
// batches that run, the oldest first.
func newBenchCore(now time.Time) (*batching.Core, []batching.Send) {
	c := batching.New(retrybudget.Policy{Ratio: 0.2, Window: 10 * time.Second, Extra: 32, MaxNodes: 16})
	c.Handle(now, batching.Configure{Service: service(), Targets: targets(benchTargets)})
	var running []batching.Send
	for token := 1; token <= benchQueue+4*benchTargets; token += benchGroup {
		running = append(running, sends(c.Handle(now, batching.Submit{Items: benchItems(now, token)}))...)
	}
	return c, running
}

func benchItems(now time.Time, token int) []batching.Item {
	list := make([]batching.Item, benchGroup)
	for i := range list {
		list[i] = batching.Item{
			ID: batching.ItemID(token + i), Request: "r", Index: i, Bytes: 100, Priority: token % 3,
			Due: now.Add(2 * time.Second), Deadline: now.Add(10 * time.Second), DataCentre: fmt.Sprintf("d%d", token%benchTargets),
		}
	}
	return list
}

// BenchmarkSubmitAndFinish submits a group, ends the oldest batch and releases its
// results, with a queue of about 200 items and 12 targets.
func BenchmarkSubmitAndFinish(b *testing.B) {
	now := start
	c, running := newBenchCore(now)
	token := benchQueue + 4*benchTargets + 1
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(25 * time.Millisecond)
		running = append(running, sends(c.Handle(now, batching.Submit{Items: benchItems(now, token)}))...)
		token += benchGroup
		done := answered(running[0])
		target := running[0].Target.Incarnation()
		running = append(running[1:], sends(c.Handle(now, done))...)
		handles := make([]string, len(done.Outcomes))
		for i, out := range done.Outcomes {
			handles[i] = out.Handle
		}
		running = append(running, sends(c.Handle(now, batching.Release{Target: target, Handles: handles}))...)
	}
	b.ReportMetric(float64(c.State(now).Waiting), "waiting")
}
