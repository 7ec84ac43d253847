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
	Allows(target directory.Life) bool
	// Take is Allows, and counts the call.
	Take(target directory.Life) bool
	// Bound returns how many calls a second a target takes; false for no bound.
	Bound(target directory.Life) (perSecond float64, limited bool)
}

// allowAllGate is that of targets which ask for nothing.
type allowAllGate struct{}

func (allowAllGate) Allows(directory.Life) bool           { return true }
func (allowAllGate) Take(directory.Life) bool             { return true }
func (allowAllGate) Bound(directory.Life) (float64, bool) { return 0, false }

// limitedRate is how many items a second a target computes in full batches, as many as it takes.
func (c *Core) limitedRate(now time.Time, spec *catalog.Batch, t *target) float64 {
	takes := math.Inf(1)
	if calls, limited := c.gate.Bound(t.Life()); limited {
		takes = calls * float64(spec.MaxItems)
	}
	return min(t.rate(now, spec), takes)
}
