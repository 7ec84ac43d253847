package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ErrHistoryGone means that the source no longer knows what changed since a revision, or was
// restored from an older copy. A snapshot must be read.
var ErrHistoryGone = errors.New("the source's history no longer covers the revision")

// UnreadableError means that an answer of the source came and could not be read. The same call would
// bring the same again.
type UnreadableError struct {
	// Cause is the error of reading.
	Cause error
}

// Error implements error.
func (e UnreadableError) Error() string {
	return "the source's answer could not be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e UnreadableError) Unwrap() error { return e.Cause }

// Source publishes the configuration and the targets. Each call invokes answered when the
// header of the answer arrives: transferring an answer may take far longer than the time
// allowed to a source that does not answer.
type Source interface {
	// Snapshot reads the complete state. The error of an answer that could not be read is an
	// UnreadableError, here and of Watch.
	Snapshot(ctx context.Context, answered func()) (view.Changes, error)
	// Watch waits up to wait for changes after a revision. It returns ErrHistoryGone if the
	// source no longer knows all of them.
	Watch(ctx context.Context, after view.Revision, wait time.Duration, answered func()) (view.Changes, error)
	// Decode decodes the text of a configuration that a member passed on.
	Decode(document []byte) (view.CatalogChange, error)
	// OnSilence registers a function to call when an open connection seems to be silent while new
	// ones come up. It is called once, before all other methods.
	OnSilence(f func(address string))
	// CloseIdle closes the connections that no call uses.
	CloseIdle()
}

// BatchCall is one call to a target of a batch service.
type BatchCall struct {
	Target directory.Target
	Items  []batching.Item
	// Now is the time relative to which the items' remaining time is computed.
	Now time.Time
	// Permit is called just before the first byte is written; an error forbids the call.
	Permit func() error
}

// BatchAnswer is a target's answer to a batch.
type BatchAnswer struct {
	Outcomes []batching.Outcome
	// Slowdown is how many times as long as usual work takes at the target now, as it
	// reported; 0 if unknown.
	Slowdown float64
}

// Run is a request that an engine is answering.
type Run struct {
	// Request is the ID of the request, Events the number of events so far.
	Request string
	Events  int
}

// Targets sends calls to targets.
type Targets interface {
	relay.Upstream
	// OnSignal registers a function to call with the signals in the header of every answer.
	// It is called once, before all other methods.
	OnSignal(receive func(directory.Target, backpressure.Signal))
	// UsePaths makes all later calls connect through p. It is called once, before all other
	// methods.
	UsePaths(p delivery.Paths)
	// UseAnswers reads all later answers into a pool. It is called once, before all other methods.
	UseAnswers(p *answers.Pool)
	// CloseIdle closes the connections that no call uses.
	CloseIdle()
	// RunBatch runs items at a target and returns one outcome per item, in order.
	RunBatch(ctx context.Context, c BatchCall) (BatchAnswer, *verdict.Error)
	// Inspect asks a target of a batch service what it is running and holding.
	Inspect(ctx context.Context, t directory.Target) (batching.Report, *verdict.Error)
	// Runs asks an engine which requests it is answering.
	Runs(ctx context.Context, t directory.Target) ([]Run, *verdict.Error)
	// Release releases results at the target that holds them.
	Release(ctx context.Context, t directory.Target, handles []string) error
}

// Relay serves the requests of callers.
type Relay interface {
	Serve(ctx context.Context, req *relay.Request, out relay.Responder) *verdict.Error
	// BodyLimit returns the maximum size of a request body in bytes.
	BodyLimit() int64
	// ReadBody reads the body of a request, of which announced bytes are to come, -1 for unknown. The
	// caller releases it when the request has ended. The error is a *verdict.Error if this node has no
	// room for the body, else the reader's.
	ReadBody(request string, body io.ReadCloser, announced int64) (*requestbodies.Body, error)
	// ClosesConnections reports whether connections are closed after the answer: the node is
	// leaving, or has more work than it can do while others have room.
	ClosesConnections() bool
}

// Ports are the dependencies that an adapter supplies.
type Ports struct {
	Source  Source
	Targets Targets
	// Callers returns the handler that serves callers.
	Callers func(Relay) http.Handler
}
