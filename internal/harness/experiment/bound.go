package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	bytesPerKB = 1024
	// meanOfCeiling is the mean share of its ceiling of tokens that a stand-in
	// engine generates: evenly between half and all (standin.EngineTokens).
	meanOfCeiling = 0.75
)

// work returns the slot time that a request of a share takes at each pool.
func work(plan *bundle.Plan, s load.Share) map[string]time.Duration {
	at := make(map[string]time.Duration)
	for _, stage := range plan.Pipeline(s.Pipeline).Stages {
		pool := plan.Pool(stage.Pool)
		speed := policySpeeds[pool.Kind]
		d := speed.Base + time.Duration(s.InputBytes/bytesPerKB)*speed.PerKB
		if pool.Kind == bundle.KindEngine {
			d += saturate.Duration(meanOfCeiling * float64(stage.MaxTokens) * float64(speed.PerToken))
		}
		at[stage.Pool] += d
	}
	return at
}

// slotsOf counts the slots of all targets of a pool.
func slotsOf(plan *bundle.Plan, pool string) float64 {
	n := 0
	for _, t := range plan.Pool(pool).Targets {
		n += t.Slots
	}
	return float64(n)
}

// capacity returns the rate of the mix at which the busiest pool is full.
func capacity(plan *bundle.Plan, mix []load.Share) float64 {
	weights := 0.0
	need := make(map[string]float64)
	for _, s := range mix {
		weights += s.Weight
		for pool, d := range work(plan, s) {
			need[pool] += s.Weight * d.Seconds()
		}
	}
	most := 0.0
	for pool, seconds := range need {
		most = max(most, seconds/weights/slotsOf(plan, pool))
	}
	return 1 / most
}

// bound returns the largest share of the arrivals that anybody could answer. Each
// pool is taken as one machine as fast as all its slots together, which has all
// arrivals from the start; the rule of Moore and Hodgson then loses the fewest
// possible. Both make it easier than the real task, so no scheduler can beat it.
func (w workload) bound(plan *bundle.Plan, p load.Plan) float64 {
	byPool := make(map[string][]task)
	arrivals := p.Arrivals()
	for _, a := range arrivals {
		due := a.At + plan.Pipeline(a.Share.Pipeline).Deadline()
		for pool, d := range work(plan, a.Share) {
			byPool[pool] = append(byPool[pool], task{work: d.Seconds(), due: due.Seconds()})
		}
	}
	lost := 0
	for pool, tasks := range byPool {
		lost = max(lost, fewestLost(tasks, slotsOf(plan, pool)))
	}
	return 1 - float64(lost)/float64(max(1, len(arrivals)))
}

// task is one request at one pool, in seconds.
type task struct{ work, due float64 }

// fewestLost returns how many tasks must be late at a machine that does speed
// seconds of work a second: whenever the tasks so far do not fit before the next
// deadline, the largest of them is given up.
func fewestLost(tasks []task, speed float64) int {
	slices.SortFunc(tasks, func(a, b task) int { return cmp.Compare(a.due, b.due) })
	var accepted []float64 // work, in ascending order
	total := 0.0
	for _, t := range tasks {
		i, _ := slices.BinarySearch(accepted, t.work)
		accepted = slices.Insert(accepted, i, t.work)
		total += t.work
		if total > speed*t.due {
			largest := len(accepted) - 1
			total -= accepted[largest]
			accepted = accepted[:largest]
		}
	}
	return len(tasks) - len(accepted)
}
