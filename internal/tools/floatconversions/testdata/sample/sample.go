// Package sample has conversions that floatconversions finds, marked with "found", and others.
package sample

import "time"

type seconds float64

type count int16

const half = 0.5

func conversions(f float64, s seconds, n int) {
	_ = int(f)           // found
	_ = uint8(f * 2)     // found
	_ = count(s)         // found
	_ = time.Duration(f) // found
	_ = (int64)(f)       // found
	_ = int(2 * half)
	_ = float32(f)
	_ = int64(n)
	_ = seconds(n)
	_ = min(int(n), 1)
	_ = generic[int](f)
	_ = narrow(f)
}

func generic[T ~int | ~int64](f float64) T { return T(f) } // found

func narrow[F ~float32 | ~float64](f F) int { return int(f) } // found
