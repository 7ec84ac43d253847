package rules

const (
	// priorityLevels is the number of priorities that an engine knows, 0 to 9, by the
	// platform's interface.
	priorityLevels = 10
	// routePriorities is how many priorities of routes fit into one of an organisation:
	// engines know ten levels, of which organisations take three.
	routePriorities = 3
)

// EnginePriority decides the priority of a request's items and prompt at a target,
// from 0 (first) to 9: the organisation's (0 without one) counts first, the
// route's second. Both are configuration, 0 for the most urgent. A wrong priority
// makes a more urgent request wait behind a less urgent one at a busy target.
func EnginePriority(organisation, route int) int {
	p := organisation*routePriorities + min(route, routePriorities-1)
	return min(max(p, 0), priorityLevels-1)
}
