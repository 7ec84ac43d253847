// Package saturate converts floats to whole numbers within bounds. Go leaves the conversion of a float that is
// out of range to the machine: one gives the nearest value, another one the lowest.
package saturate

import (
	"math"
	"time"
)

// Int returns f without its fraction, or the nearest int if f is out of range; 0 if f is not a number.
func Int(f float64) int { return to(f, math.MinInt, math.MaxInt) }

// Int32 is Int for an int32.
func Int32(f float64) int32 { return to[int32](f, math.MinInt32, math.MaxInt32) }

// Int64 is Int for an int64.
func Int64(f float64) int64 { return to[int64](f, math.MinInt64, math.MaxInt64) }

// Duration is Int for a number of nanoseconds.
func Duration(f float64) time.Duration { return to[time.Duration](f, math.MinInt64, math.MaxInt64) }

func to[T ~int | ~int32 | ~int64](f float64, lowest, highest T) T {
	switch {
	case math.IsNaN(f):
		return 0
	// As a float, the highest value may be rounded up, out of range.
	case f >= float64(highest):
		return highest
	case f <= float64(lowest):
		return lowest
	}
	return T(f)
}
