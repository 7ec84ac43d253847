package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/telemetry"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// metricsInterval is how often counts reach the exposition.
const metricsInterval = 5 * time.Second

// latencyBuckets are the bounds of latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// batchBuckets are the bounds of the histogram of items in a call.
var batchBuckets = tally.ValueBuckets{1, 2, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// metrics counts what the gateway does.
type metrics struct {
	scope          tally.Scope
	handler        http.Handler
	sourceCalls    tally.Counter
	sourceFailures tally.Counter
}

func newMetrics() *metrics {
	scope, handler := telemetry.New(metricsInterval)
	return &metrics{
		scope: scope, handler: handler,
		sourceCalls: scope.Counter("source_calls"), sourceFailures: scope.Counter("source_failures"),
	}
}

// label makes a value fit for a label.
func label(s string) string { return strings.ReplaceAll(s, "-", "_") }

func (m *metrics) ended(o *relay.Outcome) {
	tags := map[string]string{"service": label(o.Service), "end": "answered", "reason": "none"}
	if o.Err != nil {
		tags["end"] = label(o.Err.Verdict().String())
		tags["reason"] = label(string(o.Err.Reason()))
	}
	s := m.scope.Tagged(tags)
	s.Counter("requests").Inc(1)
	if o.FirstByte > 0 {
		s.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(o.FirstByte)
	}
	s.Histogram("request_seconds", latencyBuckets).RecordDuration(o.Took)
	if n := len(o.Attempts); n > 1 {
		s.Counter("attempts_again").Inc(int64(n - 1))
	}
}

func (m *metrics) batch(service string, items int) {
	m.scope.Tagged(map[string]string{"service": label(service)}).Histogram("call_items", batchBuckets).RecordValue(float64(items))
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathMetrics, g.metrics.handler)
	mux.HandleFunc("GET "+wire.PathReady, g.serveReady)
	mux.HandleFunc("GET "+wire.PathState, func(w http.ResponseWriter, _ *http.Request) { writeMessage(w, g.State()) })
	return mux
}
