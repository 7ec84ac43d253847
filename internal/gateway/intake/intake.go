// Package intake decides which callers a node takes while it has more work than its machine can do.
//
// A node is overloaded while its own work runs late or its link is full. Requests that it takes then
// would wait, with all that it has under way, until none is answered in time. While other members have
// room, it turns new connections away before it reads anything: their callers come back at other
// members at once. While they have none, it takes the connections and refuses the requests as not
// run, with a time to retry after, because a caller that is turned away everywhere learns nothing. It
// always takes some, so that it is never taken for dead.
//
// The package performs no I/O and reads no clock. A load that is not known counts as none: the node
// takes all callers.
package intake

import "time"

const (
	// maxDelay is how late the node's own work may run: a quarter of the objective of an interactive
	// call, which passes the node at least twice.
	maxDelay = 30 * time.Millisecond
	// maxLinkShare is the share of the link that may be in use. Above it queues of packets grow.
	maxLinkShare = 0.9
	// takeInterval is the longest time for which an overloaded node takes nothing. It is a fraction of
	// the time after which balancers take a node for dead.
	takeInterval = 500 * time.Millisecond
	// busyHold is how long a node reports that it is busy after it was overloaded. An overload ends
	// within a fraction of a second, as nothing is taken, and comes back; reports reach members
	// in 0.5 to 2 s.
	busyHold = 2 * time.Second
)

// Load is how much of its machine a node uses.
type Load struct {
	// Delay is how late the node's own work runs.
	Delay time.Duration
	// LinkShare is the share of the link's bandwidth that is in use; 0 if unknown.
	LinkShare float64
}

// Overloaded reports whether the node has more work than its machine can do.
func (l Load) Overloaded() bool { return l.RunsLate() || l.LinkShare >= maxLinkShare }

// RunsLate reports whether the node's own work is so late that it counts as overloaded.
func (l Load) RunsLate() bool { return l.Delay >= maxDelay }

// Decision is what becomes of a connection or a request.
type Decision interface{ isDecision() }

// Take serves it.
type Take struct{}

// TurnAway closes the connection before anything is read.
type TurnAway struct{}

// Refuse answers the request as not run.
type Refuse struct{ Load Load }

func (Take) isDecision()     {}
func (TurnAway) isDecision() {}
func (Refuse) isDecision()   {}

// Gate decides for one node. The zero value takes everything. It is not safe for concurrent use.
type Gate struct {
	load Load
	// othersHaveRoom is whether other members can take the callers that this node turns away.
	othersHaveRoom bool
	// connectionTaken and requestTaken are when the last one was taken.
	connectionTaken, requestTaken time.Time
	// overloadedAt is when the node was last overloaded.
	overloadedAt time.Time
}

// Observe records the load at a time, and whether other members have room.
func (g *Gate) Observe(now time.Time, load Load, othersHaveRoom bool) {
	g.load, g.othersHaveRoom = load, othersHaveRoom
	if load.Overloaded() {
		g.overloadedAt = now
	}
}

// Connection decides about a new connection.
func (g *Gate) Connection(now time.Time) Decision {
	if g.MovesCallers() && now.Sub(g.connectionTaken) < takeInterval {
		return TurnAway{}
	}
	g.connectionTaken = now
	return Take{}
}

// Request decides about a request that was read.
func (g *Gate) Request(now time.Time) Decision {
	if g.load.Overloaded() && !g.othersHaveRoom && now.Sub(g.requestTaken) < takeInterval {
		return Refuse{Load: g.load}
	}
	g.requestTaken = now
	return Take{}
}

// MovesCallers reports whether callers should connect to other members.
func (g *Gate) MovesCallers() bool { return g.load.Overloaded() && g.othersHaveRoom }

// RunsLate reports whether the node's own work runs late.
func (g *Gate) RunsLate() bool { return g.load.RunsLate() }

// Busy reports whether the node lately had more work than it can do.
func (g *Gate) Busy(now time.Time) bool {
	return !g.overloadedAt.IsZero() && now.Sub(g.overloadedAt) < busyHold
}
