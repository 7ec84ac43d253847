package batching

import (
	"math"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// arrivalTimeConstant is the time constant of the rates of arrivals: 0.5 s follows 0.86
	// of a change within a second. With 1 s, a burst is nearly over before it counts; with
	// 0.25 s, the rate of ten requests a second varies by half of its value.
	arrivalTimeConstant = 500 * time.Millisecond
	// arrivalClassRatio is the ratio of the upper bounds of neighbouring classes: plans
	// whose keys lie equally far ahead but for 4 % are one class. With wider classes, work
	// that overtakes a plan counts as its own class, which does not.
	arrivalClassRatio = 1.04
	// firstArrivalClass is the upper bound of the first class, in seconds. It is shorter
	// than a batch, so that differences below it do not matter.
	firstArrivalClass = 0.02
	// lastArrivalClass is the index of the last class, whose upper bound is 440 s. It
	// bounds the number of classes.
	lastArrivalClass = 255
	// minArrivalRate is the rate, in items per second, below which a class is dropped.
	minArrivalRate = 0.01
)

// arrivals holds the rates at which work is announced or submitted, by how far ahead of the
// moment of its arrival its sort key lies. The zero value has seen none.
//
// They determine how much work is expected to overtake a plan while it waits (fixedPoint). Inputs
// are plans when they are announced, and groups that were not planned. A plan that is
// cancelled is taken out again, since a refused request takes no capacity. Past-due work does
// not count, because it overtakes nothing that is on time. Rates are exponentially weighted
// moving averages with arrivalTimeConstant.
//
// A rate that is too high refuses less urgent requests that would fit; one that is too low
// admits requests that are displaced later.
type arrivals struct {
	// classes are ordered by their index.
	classes []arrivalClass
	// at is the time that the rates are for.
	at time.Time
}

// arrivalClass holds the rates of the arrivals whose sort keys lie about equally far ahead.
type arrivalClass struct {
	index int
	// items and bytes are rates per second.
	items, bytes float64
}

// ahead returns how far ahead of their arrival the sort keys of the class lie at most, in
// seconds. The upper bound is used so that plans of the same class do not count as overtaking
// each other.
func (c arrivalClass) ahead() float64 {
	return firstArrivalClass * math.Pow(arrivalClassRatio, float64(c.index))
}

// arrivalClassOf returns the index of the class for a distance of the sort key. The distance is
// negative only if a member sends a negative priority, which no rule of the messages forbids.
func arrivalClassOf(ahead time.Duration) int {
	if ahead <= 0 {
		return 0
	}
	exact := math.Log(ahead.Seconds()/firstArrivalClass) / math.Log(arrivalClassRatio)
	return saturate.Int(min(max(math.Ceil(exact), 0), lastArrivalClass))
}

// arrival is what was recorded of a plan, so that it can be taken out.
type arrival struct {
	at    time.Time
	class int
	size  footprint
}

// advance lets the rates decay until a time, and drops classes without arrivals.
func (a *arrivals) advance(now time.Time) {
	age := now.Sub(a.at)
	if age <= 0 {
		return
	}
	kept := decay(age)
	for i := range a.classes {
		a.classes[i].items *= kept
		a.classes[i].bytes *= kept
	}
	a.classes = slices.DeleteFunc(a.classes, func(c arrivalClass) bool { return c.items < minArrivalRate })
	a.at = now
}

// decay returns which fraction of a rate is left after a time.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(age) / float64(arrivalTimeConstant))
}

// record adds work that arrives now.
func (a *arrivals) record(now time.Time, ahead time.Duration, size footprint) arrival {
	a.advance(now)
	seen := arrival{at: now, class: arrivalClassOf(ahead), size: size}
	a.add(seen, 1)
	return seen
}

// remove takes out work that was recorded earlier.
func (a *arrivals) remove(now time.Time, seen arrival) {
	a.advance(now)
	a.add(seen, -decay(now.Sub(seen.at)))
}

// add adds a multiple of an arrival to the rate of its class.
func (a *arrivals) add(seen arrival, factor float64) {
	i, found := slices.BinarySearchFunc(a.classes, seen.class, func(c arrivalClass, index int) int { return c.index - index })
	if !found {
		if factor < 0 {
			return
		}
		a.classes = slices.Insert(a.classes, i, arrivalClass{index: seen.class})
	}
	c := &a.classes[i]
	c.items = max(c.items+factor*float64(seen.size.items)/arrivalTimeConstant.Seconds(), 0)
	c.bytes = max(c.bytes+factor*float64(seen.size.bytes)/arrivalTimeConstant.Seconds(), 0)
}

// itemsPerSecond returns the rate of all arrivals.
func (a *arrivals) itemsPerSecond() float64 {
	sum := 0.0
	for _, c := range a.classes {
		sum += c.items
	}
	return sum
}

// overtaking is the work that overtakes a plan while it waits.
type overtaking struct {
	// window is for how long after the plan such work may arrive, in seconds.
	window float64
	// load is the time for the work that arrives in a second, in seconds.
	load float64
}

// fixedPoint returns the least wait, in seconds, that is equal to base plus the time for the
// work that overtakes during the wait. base is the wait without that work, classes are ordered
// by increasing window.
//
// Within a segment between two windows the sum is linear in the wait, with the loads of the
// classes whose windows are not over yet as its slope.
func fixedPoint(base float64, classes []overtaking) float64 {
	if base <= 0 {
		return 0
	}
	slope := 0.0
	for _, c := range classes {
		slope += c.load
	}
	for _, c := range classes {
		if slope < 1 && base/(1-slope) <= c.window {
			return base / (1 - slope)
		}
		base += c.load * c.window
		slope -= c.load
	}
	return base
}
