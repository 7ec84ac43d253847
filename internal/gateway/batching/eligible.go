package batching

import (
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// speedClassRatio is the factor by which the learnt slowdowns of two targets differ that count
// as one faster than the other, about a fifth of a batch's time. The way to a target and
// the time of its connection are in what was learnt, so that the used targets of one
// speed differ by some percent; taking the fastest of them all prefers those that were
// never used, each at a new connection.
const speedClassRatio = 1.2

// candidates returns the targets that may take a batch now, as far as they say themselves
// (eligible), in no particular order.
func (p *pool) candidates(now time.Time) []*target {
	var list []*target
	for _, dc := range p.dataCentres {
		p.examined += len(dc.idle.targets)
		for _, t := range dc.idle.targets {
			if t.eligible(now) {
				list = append(list, t)
			}
		}
	}
	return list
}

// speedClassOf numbers the classes of slowdowns; the middle of class 0 is the catalog's
// speed.
func speedClassOf(slowdown float64) int {
	return int(math.Round(math.Log(slowdown) / math.Log(speedClassRatio)))
}

// popBest takes the candidate out of a list that gets its batch first: the fastest by
// speedClassRatio, of those the one that has been idle for longest, and then the first listed.
// The first gets the first items of the queue, and the batch of a fast one ends sooner.
// Speeds are learnt (slowdown) and as old as the target's last batch.
//
// Candidates were all inspected or used lately, so that their connections are open: a
// service opens as many as its load needs. With the fastest first, and all targets
// candidates, almost each call went to a target that had never been called: 3,600 calls
// of a service to 1,152 targets opened some 3,000 connections. The longest idle one first
// spreads the calls over data centres, and leaves results the time to be released.
func popBest(list []*target) (*target, []*target) {
	best := 0
	for i := range list {
		if list[i].precedes(list[best]) {
			best = i
		}
	}
	chosen, last := list[best], len(list)-1
	list[best] = list[last]
	return chosen, list[:last]
}

// precedes says whether the target gets its batch before another one.
func (t *target) precedes(other *target) bool {
	if t.speedClass != other.speedClass {
		return t.speedClass < other.speedClass
	}
	if !t.idleSince.Equal(other.idleSince) {
		return t.idleSince.Before(other.idleSince)
	}
	return t.seq < other.seq
}

// eligible decides whether a target may take a batch now: when it is listed and does not
// drain, runs no batch, not even a stuck one, does not back off (targetBackoff), and is
// known not to work for others (inspection).
//
// A second batch at a busy target would only wait there, out of reach of targets
// that fall idle meanwhile. Taking a target that should be left out costs retries
// or late items; leaving one out costs its capacity.
func (t *target) eligible(now time.Time) bool {
	return t.usable && t.running == nil && !t.backoff.active(now) && !t.inspection.blocksBatches()
}

// fasterTargetsSuffice says whether the queue is better off without a slow idle target:
// targets that are busy now would end their batch and one more item before the idle
// one ends a batch of one item, and their next batches can take all that is queued.
//
// Its inputs are the learnt slowdowns, the expected ends of the running batches and
// the number of queued items. Targets that are stuck do not count, as nobody knows
// when they end. While more is queued than the faster ones can take next, the slow
// one is used: before, a coordinator left 14 of 18 targets idle while 591 items
// waited.
//
// With a wrong yes a target idles while items wait, with a wrong no items wait for
// a batch that ends later than it had to.
func (p *pool) fasterTargetsSuffice(now time.Time, spec *catalog.Batch, idle *target, queued int) bool {
	idleEnd := idle.expectedSingle(now, spec)
	capacity := 0
	for _, dc := range p.dataCentres {
		p.examined += len(dc.busy.targets)
		for _, t := range dc.busy.targets {
			if t.running.stuck || t.speedClass >= idle.speedClass {
				continue
			}
			left := max(t.running.expectedEnd.Sub(now), 0)
			if left+t.expectedSingle(now, spec) < idleEnd {
				capacity += spec.MaxItems
			}
		}
	}
	return capacity >= queued
}
