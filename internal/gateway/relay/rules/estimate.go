package rules

import "time"

// batchFill is how full the batch of a later stage is expected to be, as a part of the
// most items. By it a stage of 48 items at most is planned with 360 ms instead of 240;
// a coordinator of 42 targets was seen to fill a fifth, one of five most.
const batchFill = 0.6

// Stage is a stage of one request as the estimates see it.
type Stage struct {
	// After are the indices of the stages whose results this one needs; they are
	// smaller than its own.
	After []int
	// Items is how many items the request has in it; without any it is left out.
	Items int
	// Time is how long a batch of the stage takes (BatchTime); 0 for unknown.
	Time time.Duration
	// BytesPerSecond is how fast its results are fetched from one target; 0 for
	// unknown.
	BytesPerSecond float64
}

// Stages are the stages of one request, in the order of its route.
type Stages []Stage

// BatchTime estimates how long a batch takes that is not quite full, from the
// configured time of an empty one and of each item.
func BatchTime(empty, perItem time.Duration, maxItems int) time.Duration {
	return empty + time.Duration(batchFill*float64(maxItems)*float64(perItem))
}

// Total estimates how long it takes until all stages are done
// (docs/decisions/0013). backlogs has, for each stage with items, how long its
// service takes for the work planned before; nil for none. While the earlier
// stages run, a later stage's service works off its backlog. Too low an estimate
// admits requests that are late, too high a one refuses those that are not.
func (s Stages) Total(backlogs []time.Duration) time.Duration {
	ends := make([]time.Duration, len(s))
	var longest time.Duration
	planned := 0
	for i, stage := range s {
		if stage.Items <= 0 {
			continue
		}
		var begins time.Duration
		for _, a := range stage.After {
			begins = max(begins, ends[a])
		}
		if backlogs != nil {
			begins = max(begins, backlogs[planned])
		}
		planned++
		ends[i] = begins + stage.Time
		longest = max(longest, ends[i])
	}
	return longest
}

// Following estimates how long the stages after stage i take, on idle services.
func (s Stages) Following(i int) time.Duration {
	var longest time.Duration
	for k := i + 1; k < len(s); k++ {
		for _, a := range s[k].After {
			if a == i && s[k].Items > 0 {
				longest = max(longest, s[k].Time+s.Following(k))
			}
		}
	}
	return longest
}
