package rules

const (
	// spareConnections is what a node leaves of its share of a target's connections.
	// Not measured, and no reason was recorded (72a0bc2).
	spareConnections = 1
	// leastConnections is what a node may use however many others there are, or it
	// could serve nothing. Not measured (72a0bc2).
	leastConnections = 1
)

// ConnectionShare decides how many requests this node may have at one target, from
// the connections that the target takes from all nodes (configuration) and the
// number of nodes alive, as this node sees them now. A wrong share has targets
// refuse connections, or leaves them idle while requests wait.
func ConnectionShare(connections, nodes int) int {
	return max(connections/max(nodes, 1)-spareConnections, leastConnections)
}
