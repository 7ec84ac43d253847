package rules

const (
	// spareConnections is what a node leaves of its share of a target's connections, for a
	// connection that is being replaced.
	spareConnections = 1
	// leastConnections is what a node may use however many others there are, or it could
	// serve nothing.
	leastConnections = 1
)

const (
	// connectedShare is the part of a target's connections that kept ones should take
	// while all nodes live. After a loss of power a target counts the connections of
	// the dead for seconds beside those of the living: with 295 nodes at each of 6
	// targets that take 370 connections, 270 calls were reset in the 3 s after one.
	connectedShare = 0.4
	// leastTargets is how many targets a node uses at least, or the loss of one would
	// leave it without.
	leastTargets = 2
)

// TargetsPerNode decides how many of a service's targets a node sends plain calls to
// while they are healthy, from the connections that one target takes from all nodes
// (configuration), the number of nodes alive and of targets; 0 for all. Where the
// connections are many for the nodes it is all. Too many have targets refuse
// connections when nodes return; too few leave a node to targets that are busy.
func TargetsPerNode(connections, nodes, targets int) int {
	if connections <= 0 {
		return 0
	}
	most := int(connectedShare * float64(connections*targets) / float64(max(nodes, 1)))
	if most >= targets {
		return 0
	}
	return max(most, leastTargets)
}

// ConnectionShare decides how many requests this node may have at one target, from
// the connections that the target takes from all nodes (configuration) and the
// number of nodes alive, as this node sees them now. A wrong share has targets
// refuse connections, or leaves them idle while requests wait.
func ConnectionShare(connections, nodes int) int {
	return max(connections/max(nodes, 1)-spareConnections, leastConnections)
}
