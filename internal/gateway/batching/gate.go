package batching

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Gate says which targets may get a call, a batch or an inspection, by what they ask for;
// backpressure.Gate implements it.
type Gate interface {
	// Allows says whether a target may get a call now.
	Allows(target directory.Incarnation) bool
	// Take is Allows, and counts the call.
	Take(target directory.Incarnation) bool
	// Bound returns how many calls a second a target takes; false for no bound.
	Bound(target directory.Incarnation) (perSecond float64, limited bool)
}

// openGate is that of targets which ask for nothing.
type openGate struct{}

func (openGate) Allows(directory.Incarnation) bool           { return true }
func (openGate) Take(directory.Incarnation) bool             { return true }
func (openGate) Bound(directory.Incarnation) (float64, bool) { return 0, false }

// rateOf is how many items a second a target computes in full batches, as many as it takes.
func (c *Core) rateOf(now time.Time, spec *catalog.Batch, t *target) float64 {
	takes := math.Inf(1)
	if calls, limited := c.gate.Bound(t.Incarnation()); limited {
		takes = calls * float64(spec.MaxItems)
	}
	return min(t.rate(now, spec), takes)
}
