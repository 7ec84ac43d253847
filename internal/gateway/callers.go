package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// defaultMaxBodyBytes bounds the body of a request while no configuration is known, or if the
// configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// callerServer implements Relay for the adapter's handler. It counts the requests in flight.
type callerServer struct {
	now      func() time.Time
	views    *viewKeeper
	shutdown *shutdownState
	relay    *relay.Server
	// movesCallers reports whether callers should connect to other members.
	movesCallers func() bool
	bodies       *requestbodies.Budget
	metrics      *metrics
	log          zerolog.Logger
	// inFlight counts the requests without a final answer.
	inFlight atomic.Int64
}

// countInFlight wraps the adapter's handler to count the requests in flight.
func (c *callerServer) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.inFlight.Add(1)
		defer c.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Serve implements Relay.
func (c *callerServer) Serve(ctx context.Context, req *relay.Request, out relay.Responder) *verdict.Error {
	if c.shutdown.refusesRequests(c.now()) {
		return errLeaving().WithRetryAfter(leavingRetryAfter)
	}
	return c.relay.Serve(ctx, req, out)
}

// BodyLimit implements Relay.
func (c *callerServer) BodyLimit() int64 {
	if catalog := c.views.load().Catalog; catalog != nil && catalog.Limits.BodyBytes > 0 {
		return catalog.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// noRoomRetryAfter is how long a client waits whose body found no room: about as long as a request
// holds its body. As much again is drawn at random, so that those refused together do not return
// together.
const noRoomRetryAfter = 500 * time.Millisecond

// ReadBody implements Relay.
func (c *callerServer) ReadBody(request string, body io.ReadCloser, announced int64) (*requestbodies.Body, error) {
	d, err := c.bodies.Read(body, announced)
	var refused *requestbodies.RefusedError
	if !errors.As(err, &refused) {
		return d, err
	}
	c.metrics.bodiesRefused.Inc(1)
	c.log.Warn().Str("request", request).Int64("bytes", refused.Bytes).Int64("held", refused.Held).Int64("most", refused.Most).Bool("begun", refused.Begun).
		Msg("request: refused, the bodies of requests take the memory that they may")
	return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "%s", refused.Error()).
		WithRetryAfter(noRoomRetryAfter + rand.N(noRoomRetryAfter))
}

// ClosesConnections implements Relay.
func (c *callerServer) ClosesConnections() bool { return c.shutdown.begun() || c.movesCallers() }
