package backpressure

import (
	"math"
	"time"
)

// Signal is the state that a target reports in its response headers.
type Signal struct {
	// Sent is the time at which the request for this response was sent.
	Sent time.Time
	// Limit is the request rate that the target accepts.
	Limit Limit
	// Brittle is set if the target crashes when it refuses too many requests.
	Brittle Brittleness
	// NoRoom reports that the target refused the request for want of room. Load is the load that
	// it reported.
	NoRoom bool
	Load   Load
	// Leaving reports that the target will stop soon and accepts no new requests.
	Leaving bool
	// Pause is the time for which the target wants no requests from this node. 0 means no
	// pause.
	Pause time.Duration
}

// isEmpty reports whether the signal has no limit, pause or leave announcement, and is not that
// of a brittle target.
func (s Signal) isEmpty() bool {
	return !s.Limit.Set && !s.Leaving && s.Pause <= 0 && !s.Brittle.Set
}

// Limit is a request rate, summed over all nodes. The zero value means no limit.
type Limit struct {
	// Set reports whether there is a limit.
	Set bool
	// PerSecond is the rate in requests a second. It is not negative. If it is 0, the target
	// accepts no requests.
	PerSecond float64
}

// NewLimit returns a limit, and false if perSecond is not a valid rate.
func NewLimit(perSecond float64) (Limit, bool) {
	l := Limit{Set: true, PerSecond: perSecond}
	return l, l.valid()
}

func (l Limit) valid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1) }
