package targetspeed

import "time"

// View describes the slowdown of one target, for operators.
type View struct {
	// Target is the incarnation of the target.
	Target string
	// Reported is the slowdown by its reports, Observed by its calls, and Used the one by
	// which it is chosen.
	Reported, Observed, Used float64
	// Age is the age of the newest report.
	Age time.Duration
}

// View describes an estimate at a time, given the slowdown that calls show.
func (e Estimate) View(now time.Time, target string, observed float64) View {
	reported, age := e.Reported(now)
	return View{Target: target, Reported: reported, Observed: observed, Used: e.At(now, observed), Age: age}
}
