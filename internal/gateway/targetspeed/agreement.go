package targetspeed

// Parameters of agreement.
const (
	// agreementWeight is the weight of the newest call: the last five calls make up two thirds.
	agreementWeight = 0.2
	// tolerance is the mean square by which the logarithms of calls and reports may differ
	// before the reports lose weight. It corresponds to a quarter of the duration, by which
	// calls differ at targets of equal speed because of the network and of queues.
	tolerance = 0.05
)

// agreement says how well the reports of a target predict its calls, compared with earlier
// calls. It holds mean squares of the differences of logarithms. Reports and calls that agree,
// or no calls, give the reports all the weight. Reports that differ from the calls by much more
// than earlier calls do have next to none.
//
// A weight that is too high believes a target that is wrong about itself; one that is too low
// notices a change only after some calls.
type agreement struct{ reported, observed float64 }

// with returns the agreement after a call that differs by the given amounts from the report in
// its answer and from what earlier calls showed.
func (a agreement) with(fromReported, fromObserved float64) agreement {
	a.reported += agreementWeight * (fromReported*fromReported - a.reported)
	a.observed += agreementWeight * (fromObserved*fromObserved - a.observed)
	return a
}

// weight returns the weight of the reports, from 0 to 1; the calls have the rest.
func (a agreement) weight() float64 {
	accepted, excess := a.observed+tolerance, max(a.reported-tolerance, 0)
	return accepted * accepted / (accepted*accepted + excess*excess)
}
