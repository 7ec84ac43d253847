package relay

import (
	"context"
	"io"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Part is a part of a prompt; parts are shared between requests.
type Part struct {
	ID     string
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
	Parts []Part
	// Tokens is how long the prompt is.
	Tokens int
	// Items is how many items each stage has.
	Items []int
	// Source is the key of what the first items are made from.
	Source string
	// LastEvent is the event after which the client goes on; empty for the start.
	LastEvent string
	// Payload is the adapter's own form of what is passed through.
	Payload any
}

// Call is a request on its way to one target.
type Call struct {
	Target directory.Target
	ID     string
	// Payload is the request's.
	Payload any
	// Until is when the target may stop working.
	Until time.Time
	// Organisation is the holder of the caller's key; empty for none.
	Organisation string
	// Priority is the rank at an engine, from 0 (first) to 9; -1 for none.
	Priority int
	// Inputs are the handles of the last stages' results.
	Inputs []string
	// LastEvent is the event after which the target goes on; empty for the start.
	LastEvent string
	// Permit is asked just before the first byte is written.
	Permit func() error
}

// Reply is a target's answer to a call whose head has come.
type Reply struct {
	// Status is the target's own status.
	Status int
	// Succeeded says whether the status is a success.
	Succeeded bool
	// Head is the adapter's own form of what is passed back.
	Head any
	// Body gives the answer; an end without error proves that it is whole.
	Body io.ReadCloser
	// Load is what the target told of itself; nil for nothing.
	Load *placement.Load
}

// Upstream sends calls to targets.
type Upstream interface {
	Send(ctx context.Context, c Call) (*Reply, *verdict.Error)
}

// Responder answers a caller. Begin is called once, before any Write.
type Responder interface {
	// Begin passes on a target's head; length is -1 for a stream.
	Begin(r *Reply, length int) error
	// Write passes on bytes at once.
	Write(p []byte) error
}

// Group is the items of one stage of one request.
type Group struct {
	Request string
	Stage   int
	Count   int
	// Source or Inputs are what the items are made from.
	Source     string
	Inputs     []string
	Bytes      int64
	Due        time.Time
	Deadline   time.Time
	Priority   int
	DataCentre string
}

// Batcher has items made.
type Batcher interface {
	// Run returns the results in the order of the items' numbers. It calls
	// started, if at all, once the items should have read their inputs.
	Run(ctx context.Context, service string, g Group, started func()) ([]batching.Result, *verdict.Error)
	// Release frees results.
	Release(service string, results []batching.Result)
	// Plan tells of the stages that a request will ask for, and returns how long
	// each stage's service takes for what was planned or asked for before; 0 where
	// that is not known.
	Plan(ctx context.Context, request string, stages []PlannedStage) []time.Duration
	// Cancel takes plans back.
	Cancel(request string, stages []PlannedStage)
}

// Placer chooses engines with regard to what all nodes sent.
type Placer interface {
	// Place returns the identity of an engine; false when none could be asked for.
	Place(ctx context.Context, service string, p placement.Prompt) (string, bool)
	// Prefilled says that a prompt that was placed has been read, or that its request
	// has ended without.
	Prefilled(service, request string, whole bool)
}

// PlannedStage is work that a request will ask for.
type PlannedStage struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
}
