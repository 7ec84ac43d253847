package rules

import "time"

// minFirstAttempts is how many requests that begin a stream a node must have seen of a route before it
// knows how long its clients wait: just after a start many of them are retries, with less time left.
const minFirstAttempts = 8

// ClientTimeouts is what a node has seen of how long the clients of a route wait.
type ClientTimeouts struct {
	// Longest is the longest time that a client has said to wait.
	Longest time.Duration
	// Begun counts the requests that did not take a stream up.
	Begun int
}

// With returns the timeouts with those of another request. takesUp tells whether it takes a stream up.
func (c ClientTimeouts) With(timeout time.Duration, takesUp bool) ClientTimeouts {
	c.Longest = max(c.Longest, timeout)
	if !takesUp {
		c.Begun++
	}
	return c
}

// Rule: how long ago a stream can have begun.
//
// A client that takes a stream up waits less long than at its first attempt, by what has passed
// since. No client waits longer than its route's timeout, as far as this node has seen enough of them.
// Inputs: the clients of the route, its timeout, how long this client still waits, and how long this
// node has had its request. A client that does not count down, or of whose route the clients wait
// longer, says nothing by its time: its stream can be as old as any. Too short a time lets a stream
// go on at a version that did not begin it; too long a one refuses it.

// StreamAgeInput describes a request that takes a stream up.
type StreamAgeInput struct {
	Clients ClientTimeouts
	// RouteTimeout is the longest time that the route allows a request; 0 for no limit.
	RouteTimeout time.Duration
	// Left is the time that the client still waited when its request came; 0 if unknown.
	Left time.Duration
	// Held is how long ago its request came.
	Held time.Duration
	// Most is the longest time for which any stream of the route can have lasted.
	Most time.Duration
}

// StreamAge returns the longest time for which a stream can have lasted that a client takes up.
func StreamAge(in StreamAgeInput) time.Duration {
	if in.Clients.Begun < minFirstAttempts || in.Clients.Longest > in.RouteTimeout || !Retried(in.Left, in.RouteTimeout) {
		return in.Most
	}
	return min(in.RouteTimeout-in.Left+in.Held, in.Most)
}
