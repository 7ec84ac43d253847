package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// silentIncidentWeight is the weight of an incident in which a target crashed before
	// any part of an answer, as a request that crashes its target at once does.
	silentIncidentWeight = 2
	// partialIncidentWeight is the weight of an incident in which all targets had begun to
	// answer. A request that ran for a while is less likely to be the cause.
	partialIncidentWeight = 1
	// maxReportSkew is the maximum difference between the times that two members report for
	// one event, due to transmission time and rounding to milliseconds.
	maxReportSkew = 5 * time.Millisecond
	// initialHold is how long a request is held before it is tried again. It is long
	// compared to the seconds in which targets restart and callers retry, and short for a
	// caller whose request is held wrongly.
	initialHold = time.Minute
	// singleIncidentHold replaces initialHold for a request that is held for a single
	// incident, since a popular request may have been at all targets of a failed rack.
	// Within this time targets have restarted, or others have answered the request.
	singleIncidentHold = 5 * time.Second
	// holdBackoffFactor multiplies the hold after each trial that crashed its target, so
	// that a request that is sent all day crashes three more targets in its first two
	// hours.
	holdBackoffFactor = 10
	// maxHold is the maximum hold, at which such a request crashes one target per day.
	maxHold = 24 * time.Hour
	// suspicionTTL is how long crashes that do not suffice to hold a request are
	// remembered. It is many times as long as callers keep retrying.
	suspicionTTL = 10 * time.Minute
)

// Rule determines when the subjects of a Table are held: requests, or parts of prompts.
type Rule struct {
	// holdWeight is the weight of incidents at which a subject is held.
	holdWeight int
	// commonHoldWeight replaces holdWeight for a subject that is not known to be rare (prevalence);
	// 0 for no difference.
	commonHoldWeight int
	// silentCrashes is the number of silent crashes at which a subject is held even if all
	// belong to one incident. Otherwise a poison request that arrives at many nodes at once
	// would crash as many targets again when its callers retry.
	silentCrashes int
	// urgentWeight is the weight from which members are told at once.
	urgentWeight int
	// answersKept is how long an answer speaks for a subject after it was given, so that it is
	// not suspected at all; 0 if an answer only clears it of earlier crashes.
	answersKept time.Duration
}

var (
	// RequestRule holds a request after two silent incidents, or four others. If three silent
	// ones were required, a poison request would crash one target more, and more attempts of
	// innocent requests would be lost in the crashes. In return, fewer innocent requests would
	// be refused where there are only a few targets; with more targets hardly any is refused
	// in either case (TestFleetOverSeeds).
	RequestRule = Rule{holdWeight: 4, silentCrashes: 3, urgentWeight: 4}
	// PartRule holds a part of prompts after three silent incidents. A request has several
	// parts, of which one at most is the cause, and others of its parts are suspected with it
	// until some member has seen an answer on them. A part of most prompts is suspected in every
	// crash, whatever its cause, and while it is held next to nothing is served: it takes five, so
	// that the cause is held before it.
	PartRule = Rule{holdWeight: 6, commonHoldWeight: 10, silentCrashes: 5, urgentWeight: 4, answersKept: time.Minute}
)

// forCommon returns the rule for a subject that is not known to be rare.
func (r Rule) forCommon() Rule {
	r.holdWeight = cmp.Or(r.commonHoldWeight, r.holdWeight)
	return r
}

// warrantsHold reports whether a request is held for crashes since it was last cleared.
//
// Crashes are grouped into incidents: those of attempts that overlap in time count once,
// with the highest weight. The failure of a rack or data centre crashes targets whatever
// they run, and a popular request may be at many of them. A poison request, in contrast,
// crashes further targets when it is sent again after the first crash. If each crash
// counted by itself, popular innocent requests would be refused after the simultaneous
// crash of a quarter of all targets. The result does not depend on the order, number or
// repetition of reports.
//
// A false positive refuses a harmless request for five seconds to a minute, as not run
// (verdict.NotRun) if no attempt was sent before. A false negative crashes one more target.
func (r Rule) warrantsHold(crashes []Crash) bool {
	return totalWeight(crashes) >= r.holdWeight || countSilent(crashes) >= r.silentCrashes
}

// holdUntil returns the end of a held request's hold. It lasts from the last crash for
// initialHold, or for singleIncidentHold if the incidents do not reach holdWeight, so
// that the silent crashes of a single incident are the reason for the hold. A crash after
// the end of a hold is that of a failed trial, and multiplies the duration by
// holdBackoffFactor, up to maxHold. This excludes the first two crashes, which may be far
// apart.
func (r Rule) holdUntil(crashes []Crash) time.Time {
	ordered := sortByTime(crashes)
	duration := initialHold
	if totalWeight(crashes) < r.holdWeight {
		duration = singleIncidentHold
	}
	var until time.Time
	for i, c := range ordered {
		if i >= 2 && c.BrokenAt.After(until) {
			duration = min(duration*holdBackoffFactor, maxHold)
		}
		until = c.BrokenAt.Add(duration)
	}
	return until
}

// totalWeight returns the sum of the weights of all incidents.
func totalWeight(crashes []Crash) int {
	weight := 0
	for rest := sortByTime(crashes); len(rest) > 0; {
		var incident []Crash
		incident, rest = splitIncident(rest)
		weight += incidentWeight(incident)
	}
	return weight
}

// countSilent returns the number of silent crashes.
func countSilent(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if c.Silent {
			n++
		}
	}
	return n
}

// sortByTime returns the crashes sorted by the time at which their connections broke.
func sortByTime(crashes []Crash) []Crash {
	return slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.BrokenAt.Compare(b.BrokenAt) })
}

// splitIncident splits off the first incident from crashes in the order of their times: the
// crashes of attempts that had begun before the first connection broke.
func splitIncident(ordered []Crash) (incident, rest []Crash) {
	firstBreak := ordered[0].BrokenAt.Add(-maxReportSkew)
	n := 1
	for n < len(ordered) && ordered[n].SentAt.Before(firstBreak) {
		n++
	}
	return ordered[:n], ordered[n:]
}

// incidentWeight returns the weight of an incident.
func incidentWeight(incident []Crash) int {
	if slices.ContainsFunc(incident, func(c Crash) bool { return c.Silent }) {
		return silentIncidentWeight
	}
	return partialIncidentWeight
}
