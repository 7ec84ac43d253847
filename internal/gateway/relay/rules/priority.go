package rules

import "time"

const (
	// priorityLevels is the number of priorities that engines support, 0 to 9, as the
	// platform's interface defines them.
	priorityLevels = 10
	// routePriorityLevels is the number of route priorities within one priority of an
	// organisation: of the ten levels of an engine, each organisation priority takes three.
	routePriorityLevels = 3
)

// takenUpLevels is how many priorities the items of a stream go before those of their route if its
// client already has a part of it: about a second.
const takenUpLevels = 5

// StagePriority decides the priority of a request's items, by that of its prompt and by whether
// its client takes a stream up. Such a client has little time left, and what was made for it is lost
// if its items come too late. A wrong priority makes other requests wait.
func StagePriority(prompt int, takenUp bool) int {
	if takenUp {
		return prompt - takenUpLevels
	}
	return prompt
}

// EnginePriority decides the priority of a request's items and prompt at a target, from
// 0 (first) to 9. The organisation's priority (0 without one) takes precedence over the
// route's. Both come from the configuration, 0 for the most urgent. A wrong priority
// makes a request wait behind a less urgent one at a busy target.
func EnginePriority(organisation, route int) int {
	p := organisation*routePriorityLevels + min(route, routePriorityLevels-1)
	return min(max(p, 0), priorityLevels-1)
}

// RestDue returns the due time and priority of the items of a stream that its client takes up, from
// those that they would have otherwise. step is how much later an item counts as due for each
// priority level.
//
// They keep their place in the order of batches, but are due at their deadline. The stream met its
// objective, or missed it, at an earlier node, so that the items are as useful after the objective as
// before it. Items that are past due go behind all that are not: with the objective as their due time,
// a stage that was computed again or waited for a second was never reached while others kept
// arriving, and its client left. Too early a due time loses such streams.
func RestDue(times StageTimes, priority int, step time.Duration) (due time.Time, atPriority int) {
	levels := max(times.Deadline.Sub(times.Due), 0) / step
	return times.Due.Add(levels * step), priority - int(levels)
}
