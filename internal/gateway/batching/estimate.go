package batching

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

const (
	// memoryUtilisation is the fraction of the result memory that is used on average when it
	// bounds the rate; the rest is free between batches, whose memory is reserved and
	// released as a whole. In the logged states of a service that was short of memory 0.8
	// was in use. A higher figure admits more than the service carries.
	memoryUtilisation = 0.8
	// retentionWeight is the weight of the newest released result in the learnt retention,
	// as a fraction: twenty releases, a second or less of a busy service, make up two
	// thirds of it. Twice as much follows single batches, half as much lags behind a burst
	// by seconds.
	retentionWeight = 0.05
)

// State is what a core holds, for admission, logs and the state dump.
type State struct {
	Stats
	// Waiting counts the queued items, PastDue those of them that cannot be ready
	// when they are due.
	Waiting, PastDue int
	// Targets counts the usable targets, Busy those of them with a batch and
	// BackingOff those that are left unused after trouble, with a batch or not.
	Targets, Busy, BackingOff int
	// Examined counts the targets that decisions have looked at: what events cost.
	Examined int
	// UsedBytes is the result memory that is stored or reserved at all targets,
	// MemoryBytes all that the usable targets have.
	UsedBytes, MemoryBytes int64
	// ItemsPerSecond estimates how many items all targets can compute.
	ItemsPerSecond float64
	// Planned counts the announced items that have not been submitted.
	Planned int
	// Wait estimates how long a new item waits for its batch, Backlog how long it
	// takes until all that is queued on time or announced is in a batch. Both are 0
	// while each target is unusable or backs off.
	Wait, Backlog time.Duration
}

// State describes the core and estimates how long its work takes.
//
// The estimate decides nothing here; admission refuses requests by Backlog
// (docs/decisions/0013-planning-stages.md). It is the time until the first target
// falls idle, and the time for the items at the rate of all targets: full batches
// at their learnt slowdowns, bound by the result memory. Targets that back off
// count for nothing, and past-due items are left out, as they go last. Without a
// catalog, and while each target is unusable or backs off, the estimate is 0, so
// that admission does not refuse by it.
//
// An estimate that is too high refuses requests that would fit, one that is too low
// admits requests that become late and whose items then use up result memory.
func (c *Core) State(now time.Time) State {
	s := State{Stats: c.stats, Waiting: len(c.queue), Examined: c.pool.examined}
	if c.spec == nil {
		return s
	}
	earliest := earliestEnd(now, c.spec)
	for _, q := range c.queue {
		if q.pastDue(earliest) {
			s.PastDue++
		}
	}
	s.Planned = c.plans.items()
	firstIdle := c.addTargets(now, c.spec, &s)
	if bound := c.retention.itemsPerSecond(s.MemoryBytes); bound > 0 {
		s.ItemsPerSecond = min(s.ItemsPerSecond, bound)
	}
	if s.ItemsPerSecond > 0 {
		onTime := s.Waiting - s.PastDue
		s.Backlog = firstIdle + durationFor(onTime+s.Planned, s.ItemsPerSecond)
		s.Wait = firstIdle + durationFor(onTime, s.ItemsPerSecond)
	}
	return s
}

// durationFor returns how long a number of items takes at a rate.
func durationFor(items int, perSecond float64) time.Duration {
	return time.Duration(float64(items) / perSecond * float64(time.Second))
}

// addTargets counts the targets and adds up their rates, and returns how long it
// takes until the first of them that does not back off is idle; the longest duration
// when there is none. Targets of which nothing is known are as fast as the catalog says.
func (c *Core) addTargets(now time.Time, spec *catalog.Batch, s *State) time.Duration {
	firstIdle := time.Duration(math.MaxInt64)
	for _, t := range c.pool.unusable.targets {
		s.UsedBytes += t.memory.used()
	}
	for _, list := range c.pool.inspectedLists() {
		for _, t := range list.targets {
			firstIdle = min(firstIdle, c.addTarget(now, spec, s, t))
		}
	}
	unknown := c.pool.uninspected()
	s.Targets += unknown
	s.ItemsPerSecond += nominalRate(spec, unknown)
	s.MemoryBytes = int64(s.Targets) * spec.MemoryBytes
	if unknown > 0 {
		firstIdle = 0
	}
	return firstIdle
}

// addTarget counts a usable target and returns how long it takes until it is idle; the
// longest duration for one that backs off.
func (c *Core) addTarget(now time.Time, spec *catalog.Batch, s *State, t *target) time.Duration {
	s.Targets++
	s.UsedBytes += t.memory.used()
	if t.backoff.active(now) {
		s.BackingOff++
		return math.MaxInt64
	}
	s.ItemsPerSecond += c.limitedRate(now, spec, t)
	if t.running == nil {
		return 0
	}
	s.Busy++
	return max(t.running.expectedEnd.Sub(now), 0)
}

// rate is how many items a second the target can compute in full batches.
func (t *target) rate(now time.Time, spec *catalog.Batch) float64 {
	return float64(spec.MaxItems) / t.expectedFull(now, spec).Seconds()
}

// capacity is the most that a service's targets can do.
type capacity struct {
	// itemsPerSecond is the rate of full batches at all usable targets, bound by the
	// result memory; 0 when there are none.
	itemsPerSecond float64
	// firstIdle is how long it takes until one of them is idle.
	firstIdle time.Duration
}

// capacity returns the most that the targets can do from now on. In contrast to State
// it counts targets that back off, as they will be back soon.
func (c *Core) capacity(now time.Time) capacity {
	unknown := c.pool.uninspected()
	most := capacity{firstIdle: math.MaxInt64, itemsPerSecond: nominalRate(c.spec, unknown)}
	if unknown > 0 {
		most.firstIdle = 0
	}
	usable := unknown
	for _, list := range c.pool.inspectedLists() {
		usable += len(list.targets)
		c.pool.examined += len(list.targets)
		for _, t := range list.targets {
			left := time.Duration(0)
			if t.running != nil {
				left = max(t.running.expectedEnd.Sub(now), 0)
			}
			most.firstIdle = min(most.firstIdle, left)
			most.itemsPerSecond += c.limitedRate(now, c.spec, t)
		}
	}
	if bound := c.retention.itemsPerSecond(int64(usable) * c.spec.MemoryBytes); bound > 0 {
		most.itemsPerSecond = min(most.itemsPerSecond, bound)
	}
	return most
}

// retention is the learnt use of result memory by one result. The zero value knows
// nothing.
//
// It decides how many results the memory of all targets lets them compute in a
// second (itemsPerSecond). Its inputs are the results that are released: the time
// from the sending of their batch to their release, in seconds, and the estimate of
// their size, in bytes. Results that expire do not count. What was learnt does not
// age, but each further release outweighs it a little. Both averages start at 0 and
// are at two thirds after about twenty releases; until then the bound is too high.
//
// Without the bound a service that stores results for long seemed faster than it
// was, and admission accepted more than the later stages could carry
// (docs/decisions/0013-planning-stages.md).
type retention struct {
	seconds float64
	bytes   float64
}

// observe takes in a released result.
func (r *retention) observe(now time.Time, released storedResult) {
	r.seconds += retentionWeight * (now.Sub(released.sentAt).Seconds() - r.seconds)
	r.bytes += retentionWeight * (float64(released.bytes) - r.bytes)
}

// itemsPerSecond returns how many results an amount of memory lets targets compute;
// 0 for unknown.
func (r *retention) itemsPerSecond(memoryBytes int64) float64 {
	if r.seconds <= 0 || r.bytes <= 0 {
		return 0
	}
	return memoryUtilisation * float64(memoryBytes) / (r.bytes * r.seconds)
}
