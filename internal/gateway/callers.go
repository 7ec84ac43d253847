package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// defaultBodyLimit bounds the bytes of a body before a configuration is known. Not
// measured.
const defaultBodyLimit = 4 << 20

// callers implements Relay for the adapter's handler. It owns the count of requests
// in flight.
type callers struct {
	now       func() time.Time
	views     *viewKeeper
	departure *departure
	relay     *relay.Server
	// inflight counts callers' requests without a final answer.
	inflight atomic.Int64
}

// counted counts the requests in flight around the adapter's handler.
func (c *callers) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.inflight.Add(1)
		defer c.inflight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Serve implements Relay.
func (c *callers) Serve(ctx context.Context, req *relay.Request, out relay.Responder) *verdict.Error {
	if c.departure.refusesNew(c.now()) {
		return errLeaving().WithRetryAfter(retryElsewhere)
	}
	return c.relay.Serve(ctx, req, out)
}

// BodyLimit implements Relay.
func (c *callers) BodyLimit() int64 {
	if catalog := c.views.load().Catalog; catalog != nil && catalog.Limits.BodyBytes > 0 {
		return catalog.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// Leaving implements Relay.
func (c *callers) Leaving() bool { return c.departure.begun() }
