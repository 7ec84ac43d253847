package batching

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// memoryUtilisation is the average fraction of the result memory in use when memory
	// bounds the rate. The rest is free between batches, because a batch's memory is
	// reserved and released as a whole. Logs of a service that was short of memory showed
	// 0.8. A higher value admits more than the service can carry.
	memoryUtilisation = 0.8
	// retentionWeight is the weight of the newest released result in the moving averages
	// of retention: twenty releases, a second or less of a busy service, make up two
	// thirds of the average. Twice the weight follows single batches; half of it lags
	// behind a burst by seconds.
	retentionWeight = 0.05
)

// State describes a core, for admission, logs and the state dump.
type State struct {
	Stats
	// Waiting counts the queued items, PastDue those of them that cannot be ready when
	// they are due.
	Waiting, PastDue int
	// Targets counts the usable targets, Busy those of them with a running batch that do
	// not back off, and BackingOff those that back off, with or without a batch.
	Targets, Busy, BackingOff int
	// Examined counts the targets that were looked at to make decisions, as a measure of
	// the cost of events.
	Examined int
	// UsedBytes is the result memory that is stored or reserved at all targets,
	// MemoryBytes the total result memory of the usable targets.
	UsedBytes, MemoryBytes int64
	// ItemsPerSecond estimates the throughput of all targets.
	ItemsPerSecond float64
	// Planned counts the announced items that have not been submitted.
	Planned int
	// Wait estimates how long a new item waits for its batch, Backlog how long it takes
	// until everything that is queued on time or announced is in a batch. Both are 0
	// without usable targets.
	Wait, Backlog time.Duration
	// Ahead is the queued and announced work by priority, ArrivalsPerSecond the rate of the
	// items that are expected to arrive. Both are known with Admission.ByPosition only.
	Ahead             []PriorityWork
	ArrivalsPerSecond float64
}

// State returns the state of the core with estimates of how long its work takes.
//
// The estimates decide nothing here. Admission refuses requests by Backlog
// (docs/decisions/0013-planning-stages.md) or, with Admission.ByPosition, by Quotes; Backlog
// is for operators alone then. Backlog is the time until the first target can take work, plus
// the time for the items at the combined rate of the targets: full batches at their estimated
// slowdowns, bounded by the result memory unless Quotes bounds the wait by it. Targets that
// back off or whose batch is stuck count only while there are no others. Past-due items are
// left out because they go last. Without a catalog or usable targets the estimates are 0, so
// that admission does not refuse by them.
//
// While the estimates were 0 whenever all targets backed off or were stuck, every request
// was admitted then, and held until its deadline.
//
// An estimate that is too high refuses requests that would fit. One that is too low
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
	if c.position != nil {
		c.position.arrivals.advance(now)
		s.Ahead, s.ArrivalsPerSecond = c.position.work(), c.position.arrivals.itemsPerSecond()
	} else if bound := c.retention.itemsPerSecond(s.MemoryBytes); bound > 0 {
		s.ItemsPerSecond = min(s.ItemsPerSecond, bound)
	}
	if s.ItemsPerSecond > 0 {
		onTime := s.Waiting - s.PastDue
		s.Backlog = firstIdle + durationFor(onTime+s.Planned, s.ItemsPerSecond)
		s.Wait = firstIdle + durationFor(onTime, s.ItemsPerSecond)
	}
	return s
}

// TimeFor returns how long the targets take for a number of items; 0 without usable
// targets.
func (s State) TimeFor(items int) time.Duration {
	if s.ItemsPerSecond <= 0 {
		return 0
	}
	return durationFor(items, s.ItemsPerSecond)
}

// durationFor returns how long a number of items takes at a rate.
func durationFor(items int, perSecond float64) time.Duration {
	return saturate.Duration(float64(items) / perSecond * float64(time.Second))
}

// availability is when targets can take work, and at which rate.
type availability struct {
	// firstIdle is the time until the first of the targets can take work; the longest
	// duration without targets.
	firstIdle time.Duration
	// itemsPerSecond is their combined rate.
	itemsPerSecond float64
}

func (a *availability) add(idle time.Duration, rate float64) {
	a.firstIdle = min(a.firstIdle, idle)
	a.itemsPerSecond += rate
}

// addTargets adds the counts and rates of all targets to a state, and returns the time
// until the first of them can take work. Targets that were not inspected count with the
// speed in the catalog. Those that back off or are stuck count while there are no others.
func (c *Core) addTargets(now time.Time, spec *catalog.Batch, s *State) time.Duration {
	working, blocked := availability{firstIdle: math.MaxInt64}, availability{firstIdle: math.MaxInt64}
	for _, t := range c.pool.unusable.targets {
		s.UsedBytes += t.memory.used()
	}
	for _, list := range c.pool.inspectedLists() {
		for _, t := range list.targets {
			s.addCounts(now, t)
			if t.backoff.active(now) || t.isStuck() {
				blocked.add(max(t.backoff.left(now), t.running.left(now)), c.limitedRate(now, spec, t))
				continue
			}
			working.add(t.running.left(now), c.limitedRate(now, spec, t))
		}
	}
	if unknown := c.pool.uninspected(); unknown > 0 {
		s.Targets += unknown
		working.add(0, nominalRate(spec, unknown))
	}
	s.MemoryBytes = int64(s.Targets) * spec.MemoryBytes
	if working.firstIdle == math.MaxInt64 {
		working = blocked
	}
	s.ItemsPerSecond = working.itemsPerSecond
	return working.firstIdle
}

// addCounts adds a usable target to the counts of a state.
func (s *State) addCounts(now time.Time, t *target) {
	s.Targets++
	s.UsedBytes += t.memory.used()
	switch {
	case t.backoff.active(now):
		s.BackingOff++
	case t.running != nil:
		s.Busy++
	}
}

// left returns how long a batch is expected to last from now on; 0 for nil. One that is
// late is expected to take as much longer as it is late already; one that is stuck, until
// the timeout of its call.
func (b *batch) left(now time.Time) time.Duration {
	switch {
	case b == nil:
		return 0
	case b.stuck:
		return max(b.timeoutAt.Sub(now), 0)
	}
	return b.expectedEnd.Sub(now).Abs()
}

// rate returns the target's throughput in full batches, in items per second.
func (t *target) rate(now time.Time, spec *catalog.Batch) float64 {
	return float64(spec.MaxItems) / t.expectedFull(now, spec).Seconds()
}

// capacity is an upper bound of what the targets of a service can do.
type capacity struct {
	// itemsPerSecond is the rate of full batches at all usable targets, bounded by the
	// result memory; 0 without usable targets.
	itemsPerSecond float64
	// firstIdle is the time until the first of them is idle.
	firstIdle time.Duration
}

// capacity returns the capacity of the targets from now on. Unlike State it counts
// targets that back off, as they will be back soon.
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

// retention holds moving averages of how long results occupy memory and how large they
// are. The zero value has no samples.
//
// They bound the rate at which the combined memory of all targets lets them compute
// results (itemsPerSecond). Each released result is a sample: the time from the sending
// of its batch to its release, in seconds, and its estimated size, in bytes. Results that
// expire do not count. Samples do not decay with time; each further release reduces their
// weight. Both averages start at 0 and reach two thirds of their value after about twenty
// releases; until then the bound is too high.
//
// Without the bound a service that stores results for long seemed faster than it was, and
// admission accepted more than the later stages could carry
// (docs/decisions/0013-planning-stages.md).
type retention struct {
	seconds float64
	bytes   float64
	// byteSeconds averages the product of size and time.
	byteSeconds float64
}

// observe adds a released result to the averages.
func (r *retention) observe(now time.Time, released storedResult) {
	r.seconds += retentionWeight * (now.Sub(released.sentAt).Seconds() - r.seconds)
	r.bytes += retentionWeight * (float64(released.bytes) - r.bytes)
	r.byteSeconds += retentionWeight * (float64(released.bytes)*now.Sub(released.sentAt).Seconds() - r.byteSeconds)
}

// bytesPerSecond returns the rate at which an amount of memory turns over; 0 if unknown. It
// divides by the mean time for which a byte is held: with the mean over results, many small
// results that are read at once hide how long a few large ones occupy the memory.
func (r *retention) bytesPerSecond(memoryBytes int64) float64 {
	if r.byteSeconds <= 0 {
		return 0
	}
	return memoryUtilisation * float64(memoryBytes) * r.bytes / r.byteSeconds
}

// itemsPerSecond returns the rate of results that an amount of memory allows; 0 if
// unknown.
func (r *retention) itemsPerSecond(memoryBytes int64) float64 {
	if r.seconds <= 0 || r.bytes <= 0 {
		return 0
	}
	return memoryUtilisation * float64(memoryBytes) / (r.bytes * r.seconds)
}
