package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ErrHistoryGone says that the source no longer knows what changed since a
// revision, or came back from an older copy; the whole must be read again.
var ErrHistoryGone = errors.New("the source's history does not reach back so far")

// Source publishes the configuration and the targets. Each call invokes answered
// when the head of the answer has come: an answer that is being transferred may
// take far longer than a source that is silent is given.
type Source interface {
	// Snapshot reads everything.
	Snapshot(ctx context.Context, answered func()) (view.Changes, error)
	// Watch waits up to wait for changes after a revision. It fails with
	// ErrHistoryGone when the source no longer knows them all.
	Watch(ctx context.Context, after view.Revision, wait time.Duration, answered func()) (view.Changes, error)
	// Decode reads the text of a configuration that a member passed on.
	Decode(document []byte) (view.CatalogChange, error)
}

// BatchCall is one call to a target of a batch service.
type BatchCall struct {
	Target directory.Target
	Items  []batching.Item
	// Now is the time from which the items' remaining time counts.
	Now time.Time
	// Permit is called just before the first byte is written; an error forbids it.
	Permit func() error
}

// Targets sends calls to targets.
type Targets interface {
	relay.Upstream
	// OnSignal has heard called with the head of every answer of a target. It is called once,
	// before all other methods.
	OnSignal(heard func(directory.Target, backpressure.Signal))
	// RunBatch runs items at a target and returns one outcome for each, in order.
	RunBatch(ctx context.Context, c BatchCall) ([]batching.Outcome, *verdict.Error)
	// Inspect asks a target of a batch service what it does and holds.
	Inspect(ctx context.Context, t directory.Target) (batching.Report, *verdict.Error)
	// Release releases results at the target that holds them.
	Release(ctx context.Context, t directory.Target, handles []string) error
}

// Relay serves one request of a caller.
type Relay interface {
	Serve(ctx context.Context, req *relay.Request, out relay.Responder) *verdict.Error
	// BodyLimit is the most bytes of a request's body.
	BodyLimit() int64
	// Leaving says whether callers should close their connections.
	Leaving() bool
}

// Ports are what an adapter supplies.
type Ports struct {
	Source  Source
	Targets Targets
	// Callers returns the handler that callers speak to.
	Callers func(Relay) http.Handler
}
