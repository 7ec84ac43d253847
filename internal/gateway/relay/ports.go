package relay

import (
	"context"
	"io"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// PromptPart is a part of a prompt; parts are shared between requests.
type PromptPart struct {
	ID string
	// Tokens is its length.
	Tokens int
}

// Request is one attempt of a client.
type Request struct {
	ID   string
	Host string
	Path string
	// Key is the key that the client gave; empty for none.
	Key string
	// Arrived is when the request came in.
	Arrived time.Time
	// Timeout is how long the client waits; 0 for unknown.
	Timeout time.Duration
	// Parts are the shared parts of the prompt, in order.
	Parts []PromptPart
	// Tokens is the length of the whole prompt.
	Tokens int
	// Items is how many items the request has in each stage of its route.
	Items []int
	// Source is the key of the data that the first stages' items are computed from.
	Source string
	// LastEvent is the event after which the client goes on; empty for the start.
	LastEvent string
	// Content is the hash of method, path, query and body: of all that the request asks
	// for. It is the same when the client asks again.
	Content uint64
	// Payload is the adapter's own form of what is passed through.
	Payload any
}

// Call is a request on its way to one target.
type Call struct {
	Target directory.Target
	ID     string
	// Payload is the request's.
	Payload any
	// Deadline is the answer deadline: after it the answer is of no use.
	Deadline time.Time
	// Organisation is the holder of the caller's key; empty for none.
	Organisation string
	// Priority is the priority at an engine, from 0 (first) to 9; -1 for none.
	Priority int
	// Inputs are the handles of the last stages' results.
	Inputs []string
	// CopyFrom is the address of an engine from which the target should copy what it
	// lacks of the prompt; empty for none.
	CopyFrom string
	// LastEvent is the event after which the target goes on; empty for the start.
	LastEvent string
	// Permit is asked just before the first byte is written; with an error the call
	// must not be sent.
	Permit func() error
}

// Reply is a target's answer to a call, from its head on.
type Reply struct {
	// Status is the target's own status.
	Status int
	// Succeeded says whether the status is a success.
	Succeeded bool
	// Head is the adapter's own form of what is passed back.
	Head any
	// Body is the answer; io.EOF at its end proves that it is whole.
	Body io.ReadCloser
	// Load is what the target reported of its load; nil for nothing.
	Load *placement.Load
}

// Upstream sends calls to targets.
type Upstream interface {
	// Send returns once the head of the answer is there. The error says whether the
	// target may have run the call; without proof it may have.
	Send(ctx context.Context, c Call) (*Reply, *verdict.Error)
	// HasEnded says whether the process of a target has provably ended: its instance
	// answers and nothing listens there. One that does not answer at all may live behind a
	// path that is cut.
	HasEnded(ctx context.Context, target directory.Target) bool
}

// Responder answers a caller. Begin is called once, before any Write; an error
// means that the caller has gone.
type Responder interface {
	// Begin passes back a target's head; length is in bytes, -1 for a stream.
	Begin(r *Reply, length int) error
	// Write passes back bytes without delay.
	Write(p []byte) error
}

// Group is the items of one stage of one request.
type Group struct {
	// Request is the request's identity, Stage the index in its route.
	Request string
	Stage   int
	// Digest is what the stage asks for; 0 for unknown.
	Digest quarantine.Digest
	// Count is the number of items.
	Count int
	// Source or Inputs are what the items are computed from: a key, or the handles of
	// earlier results.
	Source string
	Inputs []string
	// ReadTime is how long after its sending a call should have fetched the inputs.
	ReadTime time.Duration
	// Bytes is roughly the size of one result.
	Bytes int64
	// Due and Deadline are as in rules.StageTimes.
	Due      time.Time
	Deadline time.Time
	// Priority is from 0 (first) to 9.
	Priority int
	// DataCentre is where the targets should be; empty for anywhere.
	DataCentre string
}

// Batcher runs the items of stages at their services' targets.
type Batcher interface {
	// Run returns the results in the order of the items' numbers. It calls started,
	// at most once, when the items should have read their inputs. An error with
	// verdict.ReasonInputGone means that inputs are lost and have to be computed again.
	Run(ctx context.Context, service string, g Group, started func()) ([]batching.Result, *verdict.Error)
	// Release releases results at their targets.
	Release(service string, results []batching.Result)
	// Plan announces the stages that a request will run, and returns each service's
	// backlog: how long it takes for what was planned or waits already; 0 where that
	// is not known.
	Plan(ctx context.Context, request string, stages []PlannedStage) []time.Duration
	// Cancel withdraws plans.
	Cancel(request string, stages []PlannedStage)
}

// Quarantine knows the requests that end the targets that run them; quarantine.Keeper
// implements it. Its methods are called by many goroutines at once and must not block.
type Quarantine interface {
	// Idle says that no request is suspected, so that all others need not be asked about.
	Idle() bool
	// Admit decides about a request before any work for it begins.
	Admit(d quarantine.Digest) quarantine.Admission
	// Suspected says whether targets ended while they had a request, and none has
	// answered it since.
	Suspected(d quarantine.Digest) bool
	// Held says whether a request may not be sent, and why, just before it is.
	Held(d quarantine.Digest) (quarantine.Hold, bool)
	// TargetEnded notes that a target ended while it had a request.
	TargetEnded(d quarantine.Digest, c quarantine.Crash)
	// Answered notes that a target answered a request, be it with a failure of its own.
	Answered(d quarantine.Digest)
}

// Gate says which targets may get a request by what they ask for; backpressure.Gate
// implements it. Its methods are called by many goroutines at once and must not block.
type Gate interface {
	// Blocked lists the targets of a directory that may not get a request from this node now.
	Blocked(d *directory.Directory) []string
	// Take says whether a target may get a request now, and counts that.
	Take(target directory.Incarnation) bool
	// HeldBack says, just before a request is sent, whether its target may get nothing.
	HeldBack(target directory.Incarnation) bool
	// PauseLeft is how much longer a target wants nothing from this node; 0 for no pause.
	PauseLeft(target directory.Incarnation) time.Duration
}

// Placer chooses engines by what all nodes have sent to them.
type Placer interface {
	// Place chooses an engine; false when there was no answer in time.
	Place(ctx context.Context, service string, p placement.Prompt) (Placed, bool)
	// Prefilled reports that a placed prompt loads its engine no longer: whole says
	// whether it was read to the end.
	Prefilled(service, request string, whole bool)
}

// Placed is a Placer's answer.
type Placed struct {
	// Engine is the identity of the engine.
	Engine string
	// CopyFrom is the address of another engine that has more of the prompt cached,
	// for the engine to copy it from; empty for none.
	CopyFrom string
}

// PlannedStage is a stage that a request will run.
type PlannedStage struct {
	Service string
	Stage   int
	Items   int
	// Due is when the results should be there for the answer to be in time.
	Due time.Time
}
