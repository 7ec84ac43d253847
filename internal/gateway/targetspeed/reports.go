package targetspeed

import (
	"math"
	"time"
)

// Parameters of the averages over a target's reports.
const (
	// memory is the time constant of the averages: long enough for twenty changes of a value
	// that changes ten times a second, and short enough that the change of an hour ago does
	// not count.
	memory = 2 * time.Second
	// maxWeight bounds the weight of one report, so that the averages of a target that reports
	// seldom cover at least about five reports.
	maxWeight = 0.2
	// initialVariance, initialRate and initialDistance are assumed before there are reports: a
	// spread of about a third, and one change a second, seen at reports that are a tenth of a
	// second apart. They are replaced by what is learnt within some reports.
	initialVariance = 0.1
	// initialRate is in changes a second.
	initialRate = 1.0
	// initialDistance is in seconds.
	initialDistance = 0.1
	// minVariance is the least variance that is assumed, a spread of 5 %. Below it the value
	// counts as constant, and rounding to whole percents does not count as change.
	minVariance = 0.0025
	// maxChange bounds the change between successive reports, relative to that of independent
	// ones, so that the rate is finite. A report whose value has most probably changed by the
	// next one is then worth a twentieth at that time.
	maxChange = 0.95
)

// report is one report, as the logarithm of the slowdown.
type report struct {
	at    time.Time
	value float64
}

// reports holds the newest report of a target and averages over all, as logarithms.
//
// The reported value is modelled as one that is replaced at random moments by another of the
// same distribution. Reports that are d apart then differ by a mean square of
// 2*variance*(1-exp(-rate*d)), from which the rate is learnt, and the best prediction from a
// report of age d is the mean plus the report's distance from it times exp(-rate*d).
type reports struct {
	n    int
	last report
	// mean and variance are those of the reports.
	mean, variance float64
	// change is the average squared difference of successive reports, and distance the
	// average time between them in seconds.
	change, distance float64
}

// with returns the reports with one more. Answers may arrive in another order than they were
// sent in, so a report that is older than the newest one is ignored.
func (r reports) with(now time.Time, value float64) reports {
	if r.n == 0 {
		return reports{
			n: 1, last: report{now, value}, mean: value, variance: initialVariance, distance: initialDistance,
			change: 2 * initialVariance * (1 - math.Exp(-initialRate*initialDistance)),
		}
	}
	distance := now.Sub(r.last.at).Seconds()
	if distance < 0 {
		return r
	}
	if distance > 0 {
		weight := max(min(1-math.Exp(-distance/memory.Seconds()), maxWeight), 1/float64(r.n+1))
		before := value - r.mean
		r.mean += weight * before
		r.variance += weight * (before*(value-r.mean) - r.variance)
		step := value - r.last.value
		r.change += weight * (step*step - r.change)
		r.distance += weight * (distance - r.distance)
		r.n++
	}
	r.last = report{now, value}
	return r
}

// rate returns how often the value changes, in changes a second.
func (r reports) rate() float64 {
	share := min(r.change/(2*max(r.variance, minVariance)), maxChange)
	return -math.Log(1-share) / r.distance
}

// at returns the value that is expected at a time.
func (r reports) at(now time.Time) float64 {
	age := max(now.Sub(r.last.at), 0)
	worth := math.Exp(-r.rate() * age.Seconds())
	return (r.mean + (r.last.value-r.mean)*worth) * remembered(age)
}
