package rules

import "time"

// Rule: how long ago a stream can have begun.
//
// A client that takes a stream up waits less long than at its first attempt, by what has passed
// since. Inputs: the longest time that a client of the route waits, how long this one still waits, and how
// long this node has had its request. A client that does not count down says nothing by its time; its
// stream can be as old as any. Too short a time lets a stream go on at a version that did not begin
// it; too long a one refuses it.

// StreamAgeInput describes a request that takes a stream up.
type StreamAgeInput struct {
	// Longest is the longest time that a client of the route waits, Left the time that this one
	// still waited when its request came; 0 if unknown.
	Longest, Left time.Duration
	// Held is how long ago its request came.
	Held time.Duration
	// Most is the longest time for which any stream of the route can have lasted.
	Most time.Duration
}

// StreamAge returns the longest time for which a stream can have lasted that a client takes up.
func StreamAge(in StreamAgeInput) time.Duration {
	if !Retried(in.Left, in.Longest) {
		return in.Most
	}
	return min(in.Longest-in.Left+in.Held, in.Most)
}
