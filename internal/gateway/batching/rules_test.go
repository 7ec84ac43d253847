package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// testNow is the time at which the rules are asked.
var testNow = time.Unix(1_000_000, 0)

// testSpec is a service whose batches take 240 ms and 20 ms an item: 260 ms for one
// item, 320 ms for a full batch.
func testSpec() *catalog.Batch {
	return &catalog.Batch{
		MaxItems: 4, CallLatency: 240 * time.Millisecond, PerItem: 20 * time.Millisecond,
		MemoryBytes: 1000, ResultTTL: 4 * time.Second,
	}
}

// testTarget is a usable target without work in a data centre.
func testTarget(id, dataCentre string) *target {
	t := newTarget(directory.Target{ID: id, DataCentre: dataCentre})
	t.usable, t.inspection.completed = true, true
	return t
}

// busyTarget is a usable target whose batch should end after a while.
func busyTarget(id, dataCentre string, left time.Duration) *target {
	t := testTarget(id, dataCentre)
	t.running = &batch{target: t, expectedEnd: testNow.Add(left)}
	return t
}

// slowTarget is a usable target without work that was just found to be slow.
func slowTarget(id string, factor float64) *target {
	t := testTarget(id, "d0")
	t.slowdown = slowdown{factor: factor, updatedAt: testNow}
	t.speedClass = speedClassOf(factor)
	return t
}

// poolOf is a pool of some targets, each for itself: those of several lives may have one
// identity.
func poolOf(targets ...*target) *pool {
	p := newPool()
	for _, t := range targets {
		p.add(t)
	}
	return p
}
