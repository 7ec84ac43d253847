package backpressure

import (
	"math"
	"time"
)

// Signal is what a target says of itself in the head of an answer.
type Signal struct {
	// Sent is when the request was sent that the answer is for.
	Sent time.Time
	// Limit is how many requests the target takes.
	Limit Limit
	// Leaving says that the target ends soon and takes nothing new.
	Leaving bool
	// Pause is for how long the target wants nothing from this node; 0 for no pause.
	Pause time.Duration
}

// asksNothing says whether the target asks for nothing.
func (s Signal) asksNothing() bool { return !s.Limit.Set && !s.Leaving && s.Pause <= 0 }

// Limit is a rate of requests from all nodes together. The zero value is none.
type Limit struct {
	// Set says that there is a limit.
	Set bool
	// PerSecond is not negative; with 0 the target takes nothing.
	PerSecond float64
}

// NewLimit returns a limit; false for a number that is no rate.
func NewLimit(perSecond float64) (Limit, bool) {
	l := Limit{Set: true, PerSecond: perSecond}
	return l, l.valid()
}

func (l Limit) valid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1) }
