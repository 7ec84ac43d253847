// Package losses sums up, from the log lines of gateway nodes alone, what became of
// requests and why those that were not answered in time were not.
//
// It owns the outcomes of requests, the causes with the rules that decide them, and the
// sums over both. It relies on the fields of the lines that internal/gateway writes:
// "request: ended" for each request that failed and a part of the others, and "node:
// started", "source: lost" and "source: reachable again". Lines that do not read are
// counted and left out. Where a line lacks a field the outcome or cause is unknown,
// which has a count of its own: the sums always add up to the lines.
package losses

import "time"

// Outcome is what became of one request. Each has exactly one.
type Outcome int

// Outcomes of requests.
const (
	// InTime is a whole answer whose first byte came within the route's objective.
	InTime Outcome = iota
	// Late is a whole answer that began later.
	Late
	// Refused is a request that ended as not run.
	Refused
	// Failed is a request that may have run and has no whole answer, or one that its
	// target answered with a failure.
	Failed
	// Left is a request whose caller went before its end.
	Left
	// NotOwed is a request that no configuration allows: its key or route is unknown.
	NotOwed
	// Unknown is an answer of which the line does not say whether it was in time.
	Unknown
	// outcomes is how many there are.
	outcomes
)

// String names an outcome, as tables show it.
func (o Outcome) String() string {
	return [...]string{"in time", "late", "refused", "failed", "left", "not owed", "unknown"}[o]
}

// lost says whether the outcome has a cause.
func (o Outcome) lost() bool { return o == Late || o == Refused || o == Failed }

// Request is one request that ended, as its line says.
type Request struct {
	// Ended is when, by the node's clock.
	Ended time.Time
	// Node is what stood before the line, or the name of its file.
	Node string
	// DataCentre is the node's; empty where no start of the node is in the logs.
	DataCentre string
	// Route, Service and Organisation are empty as far as the request was not resolved.
	Route, Service, Organisation string
	Outcome                      Outcome
	// Cause is the zero value unless the outcome is Late, Refused or Failed.
	Cause Cause
	// Parts is the time in each part of the request's way.
	Parts Parts
}

// Parts is where a request's time went.
type Parts struct {
	// Stages is until all stages were done, Attempts what calls took that failed, Answer
	// what is left until the first byte, and Rest from there to the end.
	Stages, Attempts, Answer, Rest time.Duration
}

// add adds another request's times.
func (p Parts) add(q Parts) Parts {
	p.Stages += q.Stages
	p.Attempts += q.Attempts
	p.Answer += q.Answer
	p.Rest += q.Rest
	return p
}

// Mark is something that happened to a node.
type Mark struct {
	At   time.Time
	Node string
	Kind MarkKind
}

// MarkKind says what happened to a node.
type MarkKind int

// Kinds of marks.
const (
	// Started is the start of a node's process.
	Started MarkKind = iota
	// SourceLost is a node that lost the platform's store.
	SourceLost
	// SourceRegained is a node that reaches it again.
	SourceRegained
)
