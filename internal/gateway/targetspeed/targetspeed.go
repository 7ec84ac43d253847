// Package targetspeed estimates how fast a target is now: how many times as long as usual its
// work takes. 1 is as usual; more is slower.
//
// Two sources are combined. Targets report their slowdown in their answers (Estimate), and the
// durations of calls show it (Calls, or an average that the caller keeps). A report is newer
// than an average of calls, but it may be wrong, and the value that it reports may have changed
// since. So a report counts for less the older it is, at the rate at which the target's own
// reports change (reports), and it counts for less the worse the reports agree with the calls
// (agreement). Without reports an Estimate equals what the calls show.
//
// Slowdowns are combined by their logarithms, so that half and twice the usual time are equally
// far from it. Values are immutable. The package has no clock: the caller passes the time. State
// belongs to one incarnation of a target.
package targetspeed

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// Bounds of what is believed.
const (
	// minSlowdown and maxSlowdown bound the slowdowns that are believed, and the samples of
	// calls, so that an outlier has no lasting effect. No target is five times as fast as
	// usual, and one that is twenty times as slow is not used while there is another.
	minSlowdown, maxSlowdown = 0.2, 20.0
	// usualPercent is what a target reports when work takes as long as usual.
	usualPercent = 100
	// maxPercent is the highest value that a target can report. It corresponds to maxSlowdown.
	maxPercent = 2000
	// maxMissing is the number of successive answers without a report after which a target
	// counts as one that does not report. A single answer may come from a proxy or an error
	// path that does not set the header.
	maxMissing = 3
)

// forgetHalfLife is the time in which a slowdown that nothing has confirmed loses half of its
// distance from 1. Targets that are slow are used less, so without it a target that has
// recovered would not be tried again. It is the half-life of the slowdowns in package batching.
const forgetHalfLife = 4 * time.Second

// FromPercent returns the slowdown of a report in percent of the usual time, or 0 if the
// report is absent or out of range.
func FromPercent(percent int) float64 {
	if percent <= 0 || percent > maxPercent {
		return 0
	}
	return float64(percent) / usualPercent
}

// Percent returns a slowdown in percent of the usual time. 0 stands for unknown in both.
func Percent(slowdown float64) int { return saturate.Int(math.Round(slowdown * usualPercent)) }

// Answer is what the answer to a call shows of its target's speed.
type Answer struct {
	// At is when the answer arrived.
	At time.Time
	// Reported is the slowdown that the target reported; 0 if unknown.
	Reported float64
	// Took is the ratio of the duration of the call to the usual duration; 0 if unknown.
	Took float64
	// Observed is the slowdown that earlier calls showed.
	Observed float64
}

// Estimate holds what the reports of one target show. The zero value is that of a target that
// has reported nothing.
type Estimate struct {
	reports   reports
	agreement agreement
	// missing is the number of answers without a report since the last report.
	missing int
}

// Known reports whether the target reports its speed.
func (e Estimate) Known() bool { return e.reports.n > 0 }

// WithAnswer returns the estimate after an answer. A report that is not believed counts as
// absent.
func (e Estimate) WithAnswer(a Answer) Estimate {
	if !(a.Reported >= minSlowdown && a.Reported <= maxSlowdown) {
		if e.missing++; e.missing >= maxMissing {
			return Estimate{}
		}
		return e
	}
	e.missing = 0
	reported := math.Log(a.Reported)
	e.reports = e.reports.with(a.At, reported)
	if a.Took > 0 {
		took := math.Log(clamp(a.Took))
		e.agreement = e.agreement.with(took-reported, took-math.Log(clamp(a.Observed)))
	}
	return e
}

// WithOverdue returns the estimate after a call that has no answer although it has lasted took
// times the usual duration. That shows that an older report of a faster target is outdated, not
// that it was false, so it counts like a report of that slowdown.
func (e Estimate) WithOverdue(now time.Time, took float64) Estimate {
	if e.Known() {
		e.reports = e.reports.with(now, max(math.Log(clamp(took)), e.reports.at(now)))
	}
	return e
}

// At returns the slowdown at a time, given the slowdown that calls show. It returns the latter
// if the target does not report its speed. A value that is too high leaves a target idle; one
// that is too low sends work to a slow target.
func (e Estimate) At(now time.Time, observed float64) float64 {
	if !e.Known() {
		return observed
	}
	w := e.agreement.weight()
	return math.Exp(w*e.reports.at(now) + (1-w)*math.Log(clamp(observed)))
}

// Reported returns the slowdown by the reports alone, and the age of the newest one. It returns
// 0 if the target does not report its speed.
func (e Estimate) Reported(now time.Time) (slowdown float64, age time.Duration) {
	if !e.Known() {
		return 0, 0
	}
	return math.Exp(e.reports.at(now)), now.Sub(e.reports.last.at)
}

// clamp returns a slowdown within the bounds of what is believed.
func clamp(slowdown float64) float64 { return min(max(slowdown, minSlowdown), maxSlowdown) }

// remembered returns the share of a distance from 1 that is left after a time without
// confirmation.
func remembered(age time.Duration) float64 {
	return math.Exp2(-max(age.Seconds(), 0) / forgetHalfLife.Seconds())
}
