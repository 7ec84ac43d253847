package fairshare

import "time"

const (
	// rateWindow is for how long the highest estimate of the service's rate counts. Demand is
	// an average over timeConstant, so a rate that drops for less than that does not show that
	// the service is full: while one target backs off, its whole rate is missing in the
	// estimate. A real loss of targets lowers the level this much later.
	rateWindow = timeConstant
	// rateResolution bounds the number of estimates that are kept to 40. Estimates that follow
	// within this time and are lower are skipped.
	rateResolution = 50 * time.Millisecond
)

// estimate is an estimate of the rate, in items per second. It holds from at until the next
// estimate is made; until is the zero time for the latest.
type estimate struct {
	at, until time.Time
	perSecond float64
}

// peakRate holds the estimates that are, or may become, the highest of the last rateWindow.
// Each is lower than the one before it. The zero value has none.
type peakRate struct {
	estimates []estimate
}

// observe adds an estimate. Estimates must be added in the order of time.
func (r *peakRate) observe(now time.Time, perSecond float64) {
	if n := len(r.estimates); n > 0 {
		last := &r.estimates[n-1]
		if perSecond <= last.perSecond && now.Sub(last.at) < rateResolution {
			return
		}
		last.until = now
	}
	n := len(r.estimates)
	for n > 0 && r.estimates[n-1].perSecond <= perSecond {
		n--
	}
	r.estimates = append(r.estimates[:n], estimate{at: now, perSecond: perSecond})
}

// highest returns the highest rate that was estimated for some moment of the last rateWindow;
// 0 without estimates.
func (r *peakRate) highest(now time.Time) float64 {
	start := now.Add(-rateWindow)
	for len(r.estimates) > 1 && r.estimates[0].until.Before(start) {
		r.estimates = r.estimates[1:]
	}
	if len(r.estimates) == 0 {
		return 0
	}
	return r.estimates[0].perSecond
}
