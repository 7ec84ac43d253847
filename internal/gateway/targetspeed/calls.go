package targetspeed

import "time"

// callsWeight is the weight of the newest call in Calls. The last two calls make up two thirds,
// as for the slowdowns in package batching, so that a target that becomes slow is avoided after
// two calls.
const callsWeight = 0.4

// Calls is a moving average of the slowdown that calls to a target show. It decays towards 1
// with forgetHalfLife. The zero value has no calls and is 1.
type Calls struct {
	// excess is the distance of the slowdown from 1 at the time at.
	excess float64
	at     time.Time
}

// With returns the average after a call that took ratio times the usual duration.
func (c Calls) With(now time.Time, ratio float64) Calls {
	excess := c.At(now) - 1
	return Calls{excess: excess + callsWeight*(clamp(ratio)-1-excess), at: now}
}

// At returns the slowdown at a time.
func (c Calls) At(now time.Time) float64 { return 1 + c.excess*remembered(now.Sub(c.at)) }
