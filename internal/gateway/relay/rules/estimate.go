package rules

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// expectedBatchFill is the expected size of a batch, as a fraction of the most items that
// it may have. With it a stage of at most 48 items is planned with 360 ms instead of 240.
// The actual size depends on the number of targets: a coordinator of 42 targets fills a
// fifth of a batch, a coordinator of five most of it.
const expectedBatchFill = 0.6

// Stage is one stage of a request, as the estimates see it.
type Stage struct {
	// After are the indices of the stages whose results this one needs. No stage needs itself, also
	// not through others.
	After []int
	// Items is the request's number of items in the stage. A stage without items is
	// skipped.
	Items int
	// Time is how long a batch of the stage takes (BatchTime); 0 if unknown.
	Time time.Duration
	// BytesPerSecond is the bandwidth at which the results are fetched from one target; 0
	// if unknown.
	BytesPerSecond float64
}

// Stages are the stages of one request, in the order of its route.
type Stages []Stage

// BatchTime estimates the duration of a batch of the expected size, from the configured
// times of an empty batch and of each item.
func BatchTime(empty, perItem time.Duration, maxItems int) time.Duration {
	return empty + saturate.Duration(expectedBatchFill*float64(maxItems)*float64(perItem))
}

// Total estimates how long it takes until all stages are done (docs/decisions/0013).
// backlogs has, for each stage with items, how long its service takes for the work that
// was planned before; nil stands for no backlog. A later stage's service works off its
// backlog while the earlier stages run. Too low an estimate admits requests that are
// late; too high an estimate refuses requests that would be in time.
func (s Stages) Total(backlogs []time.Duration) time.Duration {
	// waits has the backlog of each stage.
	waits := make([]time.Duration, len(s))
	planned := 0
	for i, stage := range s {
		if stage.Items > 0 && backlogs != nil {
			waits[i] = backlogs[planned]
			planned++
		}
	}
	ends := make([]time.Duration, len(s))
	known := make([]bool, len(s))
	var end func(i int) time.Duration
	end = func(i int) time.Duration {
		if known[i] || s[i].Items <= 0 {
			return ends[i]
		}
		begins := waits[i]
		for _, a := range s[i].After {
			begins = max(begins, end(a))
		}
		ends[i], known[i] = begins+s[i].Time, true
		return ends[i]
	}
	var longest time.Duration
	for i := range s {
		longest = max(longest, end(i))
	}
	return longest
}

// Remaining is Total of the stages that are not made yet.
func (s Stages) Remaining(backlogs []time.Duration, made []bool) time.Duration {
	remaining, waits := slices.Clone(s), slices.Clone(backlogs)
	planned := 0
	for i, stage := range s {
		if stage.Items <= 0 {
			continue
		}
		if made[i] {
			remaining[i].Time, waits[planned] = 0, 0
		}
		planned++
	}
	return remaining.Total(waits)
}

// Following estimates how long the stages that depend on stage i take on idle services.
func (s Stages) Following(i int) time.Duration {
	var longest time.Duration
	for k := range s {
		for _, a := range s[k].After {
			if a == i && s[k].Items > 0 {
				longest = max(longest, s[k].Time+s.Following(k))
			}
		}
	}
	return longest
}
