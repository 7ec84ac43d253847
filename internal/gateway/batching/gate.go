package batching

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Gate bounds the calls to targets, batches and inspections alike, by the limits that the
// targets ask for. backpressure.Gate implements it.
type Gate interface {
	// Allows reports whether a target may get a call now.
	Allows(target directory.Incarnation) bool
	// Take is like Allows, and counts the call if it is allowed.
	Take(target directory.Incarnation) bool
	// Bound returns how many calls per second a target accepts; false if it is not
	// limited.
	Bound(target directory.Incarnation) (perSecond float64, limited bool)
}

// allowAllGate is a Gate that bounds nothing.
type allowAllGate struct{}

func (allowAllGate) Allows(directory.Incarnation) bool           { return true }
func (allowAllGate) Take(directory.Incarnation) bool             { return true }
func (allowAllGate) Bound(directory.Incarnation) (float64, bool) { return 0, false }

// limitedRate returns the target's throughput in full batches, in items per second,
// bounded by the calls that it accepts.
func (c *Core) limitedRate(now time.Time, spec *catalog.Batch, t *target) float64 {
	takes := math.Inf(1)
	if calls, limited := c.gate.Bound(t.Incarnation()); limited {
		takes = calls * float64(spec.MaxItems)
	}
	return min(t.rate(now, spec), takes)
}
