package batching

import (
	"cmp"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

// eligibleTargets returns the targets that may take a batch now, the fastest
// first and otherwise in the order of the list.
//
// The first target in the list gets the first items of the queue, and the batch of
// a fast one ends sooner. Speeds are learnt (slowdown) and as old as the target's
// last batch. See docs/decisions/0012-batches.md.
func eligibleTargets(now time.Time, spec *catalog.Batch, targets []*target, queued int) []*target {
	var list []*target
	for _, t := range targets {
		if isEligible(now, spec, t, targets, queued) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *target) int {
		return cmp.Compare(a.slowdown.at(now), b.slowdown.at(now))
	})
	return list
}

// isEligible decides whether a target may take a batch now: when it is listed and
// does not drain, runs no batch, not even a stuck one, does not back off
// (targetBackoff), is known not to work for others (inspection), and the queue is not better off with busy targets (fasterTakeAll).
//
// A second batch at a busy target would only wait there, out of reach of targets
// that fall idle meanwhile. Taking a target that should be left out costs retries
// or late items; leaving one out costs its capacity.
func isEligible(now time.Time, spec *catalog.Batch, t *target, targets []*target, queued int) bool {
	if !t.usable || t.running != nil || t.backoff.active(now) || t.inspection.blocks() {
		return false
	}
	return !fasterTakeAll(now, spec, t, targets, queued)
}

// fasterTakeAll says whether the queue is better off without a slow idle target:
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
func fasterTakeAll(now time.Time, spec *catalog.Batch, idle *target, targets []*target, queued int) bool {
	idleEnd := idle.expectedShortest(now, spec)
	capacity := 0
	for _, t := range targets {
		if !t.usable || t.running == nil || t.running.stuck {
			continue
		}
		left := max(t.running.expectedEnd.Sub(now), 0)
		if left+t.expectedShortest(now, spec) < idleEnd {
			capacity += spec.MaxItems
		}
	}
	return capacity >= queued
}
