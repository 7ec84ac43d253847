package rules

import "github.com/honeydyke/honeydyke/internal/saturate"

const (
	// reservedConnections is the part of a node's share of a target's connections that it
	// leaves unused, for a connection that is being replaced.
	reservedConnections = 1
	// minConnections is the number of connections that a node may use however many nodes
	// there are, since without any it could not serve requests.
	minConnections = 1
)

const (
	// keepAliveShare is the fraction of a target's connections that keep-alive connections
	// should take while all nodes are up. After a power loss a target counts the
	// connections of failed nodes for some seconds in addition to those of the running
	// nodes: with 295 nodes, each connected to 6 targets that accept 370 connections, 270
	// calls were reset in the 3 s after a power loss.
	keepAliveShare = 0.4
	// minTargets is the least number of targets that a node uses, so that the loss of one
	// does not leave it without any.
	minTargets = 2
)

// TargetsPerNode decides how many targets of a plain service a node sends requests to while
// they are healthy; 0 means all. connections is the number that one target accepts from all
// nodes (configuration), nodes the number of live nodes. With enough connections for the
// nodes it is all targets. With too many targets per node, targets refuse connections when
// nodes return; with too few, a node is left with targets that are busy.
func TargetsPerNode(connections, nodes, targets int) int {
	if connections <= 0 {
		return 0
	}
	most := saturate.Int(keepAliveShare * float64(connections*targets) / float64(max(nodes, 1)))
	if most >= targets {
		return 0
	}
	return max(most, minTargets)
}

// ConnectionShare decides how many requests this node may have in flight at one target.
// connections is the number that the target accepts from all nodes (configuration), nodes
// the number of live nodes as this node sees them now. Too large a share makes targets
// refuse connections; too small a share leaves them idle while requests wait.
func ConnectionShare(connections, nodes int) int {
	return max(connections/max(nodes, 1)-reservedConnections, minConnections)
}
