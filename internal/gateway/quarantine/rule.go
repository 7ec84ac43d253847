package quarantine

import (
	"slices"
	"time"
)

const (
	// silentWeight is what an occasion counts at which a target ended before it gave any
	// part of an answer, which is what a request does that ends its target at once.
	silentWeight = 2
	// partWeight is what an occasion counts at which some of the answer had come: half, as
	// a request that ran for a while is less likely the cause.
	partWeight = 1
	// holdWeight is the weight from which on a request is held: two occasions that were
	// silent, or four that were not. With three silent ones a bad request ended 3.1 targets
	// instead of 2.1, and 1,392 innocent tries were lost with them instead of 802 of
	// 140,000, while no innocent one was refused either way; of four targets alone 9,615
	// were lost instead of 4,433, and 5 refused instead of 126 (TestFleetOverSeeds,
	// 200 seeds).
	holdWeight = 4
	// togetherCount is how many targets that ended silently hold a request even if all
	// ended on one occasion. A bad request that comes at many nodes at once would else end
	// as many again when its callers repeat it.
	togetherCount = 3
	// clockError is how far apart the reports of one moment by two members may lie: their
	// way, and the rounding to milliseconds.
	clockError = 5 * time.Millisecond
	// holdFor is how long a request is held before it is tried again: long against the
	// seconds in which targets come back and callers repeat, short for a caller whose
	// request was held wrongly.
	holdFor = time.Minute
	// togetherHold is the same for a request that is held for one occasion alone: a popular
	// one may have been at all targets of a rack. It is the time in which targets are back
	// or others have answered it.
	togetherHold = 5 * time.Second
	// holdGrowth lengthens the hold after each trial that ended its target too, so that a
	// request which comes all day ends three more targets in its first two hours.
	holdGrowth = 10
	// maxHold bounds it: from then on such a request ends one target a day.
	maxHold = 24 * time.Hour
	// suspectFor is how long ends of targets count that do not suffice to hold a request:
	// many times as long as callers go on asking for one thing.
	suspectFor = 10 * time.Minute
)

// suffices decides whether a request is held for the ends of targets that had it, since an
// answer last cleared it.
//
// Ends count by occasions: those of attempts that overlap in time count once, with the
// heaviest. A rack or a data centre that fails ends targets with whatever they run, and a
// popular request may be at many of them; a request that ends its targets does so again
// when it is sent after the first has ended. Counted each by itself, ends of a quarter of
// all targets had 40 of 146,000 innocent tries refused, by occasions none. Order, number
// and repetition of reports do not matter.
//
// A wrong yes refuses a request that did nothing, as not run and for seconds to a minute;
// a wrong no costs one more target.
func suffices(crashes []Crash) bool {
	return occasionsWeight(crashes) >= holdWeight || silentCount(crashes) >= togetherCount
}

// holdUntil decides until when a request is held that is: for togetherHold after the last
// end where all were on one occasion, else for holdFor, and longer by holdGrowth for each
// end that came after a hold was over, as that was a trial that failed. The two ends that
// it took to hold the request may lie apart.
func holdUntil(crashes []Crash) time.Time {
	ordered := inOrder(crashes)
	duration := holdFor
	if occasionsWeight(crashes) < holdWeight {
		duration = togetherHold
	}
	var until time.Time
	for i, c := range ordered {
		if i >= 2 && c.BrokenAt.After(until) {
			duration = min(duration*holdGrowth, maxHold)
		}
		until = c.BrokenAt.Add(duration)
	}
	return until
}

// occasionsWeight adds up what the occasions count at which targets ended.
func occasionsWeight(crashes []Crash) int {
	weight := 0
	for rest := inOrder(crashes); len(rest) > 0; {
		var o []Crash
		o, rest = cutOccasion(rest)
		weight += weightOf(o)
	}
	return weight
}

// silentCount counts the targets that ended before they gave any part of an answer.
func silentCount(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if c.Silent {
			n++
		}
	}
	return n
}

func inOrder(crashes []Crash) []Crash {
	return slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.BrokenAt.Compare(b.BrokenAt) })
}

// cutOccasion cuts the first occasion off ends that are ordered by their times: those of
// attempts that had begun before the first of them ended.
func cutOccasion(ordered []Crash) (occasion, rest []Crash) {
	over := ordered[0].BrokenAt.Add(-clockError)
	n := 1
	for n < len(ordered) && ordered[n].SentAt.Before(over) {
		n++
	}
	return ordered[:n], ordered[n:]
}

// weightOf returns what an occasion counts.
func weightOf(occasion []Crash) int {
	if slices.ContainsFunc(occasion, func(c Crash) bool { return c.Silent }) {
		return silentWeight
	}
	return partWeight
}
