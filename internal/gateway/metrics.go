package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/telemetry"
)

// metricsInterval is how often counts reach the exposition: more often than it is read.
const metricsInterval = 5 * time.Second

// latencyBuckets are the bounds of latency histograms: from 5 ms to 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// batchBuckets are the bounds of the histogram of items in a batch.
var batchBuckets = tally.ValueBuckets{1, 2, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// metrics owns the gateway's counters and histograms.
type metrics struct {
	scope          tally.Scope
	handler        http.Handler
	sourceCalls    tally.Counter
	sourceFailures tally.Counter
	// targetEnds counts attempts whose target ended meanwhile.
	targetEnds tally.Counter
	// refused counts entries of the source that did not read.
	refused tally.Counter
	// held is how many requests this node holds back because they end their targets.
	held tally.Gauge
	// limited is how many targets this node knows to have named a limit.
	limited tally.Gauge
	// evacuated is how many data centres this node takes for evacuated, cold how many
	// targets it took for cold when the view last changed.
	evacuated, cold tally.Gauge
}

func newMetrics() *metrics {
	scope, handler := telemetry.New(metricsInterval)
	return &metrics{
		scope: scope, handler: handler,
		sourceCalls: scope.Counter("source_calls"), sourceFailures: scope.Counter("source_failures"),
		targetEnds: scope.Counter("target_ends"), held: scope.Gauge("held_requests"),
		limited:   scope.Gauge("limited_targets"),
		refused:   scope.Counter("source_entries_refused"),
		evacuated: scope.Gauge("evacuated_data_centres"), cold: scope.Gauge("cold_targets"),
	}
}

// label returns a value as a label may hold it.
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

// viewChanged counts what of a view takes no new work, or little.
func (m *metrics) viewChanged(now time.Time, v *view.View) {
	cold := 0
	for _, t := range v.Directory.All() {
		if t.Cold(now) {
			cold++
		}
	}
	m.evacuated.Update(float64(v.Evacuations.ActiveCount()))
	m.cold.Update(float64(cold))
}

func (m *metrics) entryRefused() { m.refused.Inc(1) }

func (m *metrics) targetEnded() { m.targetEnds.Inc(1) }

func (m *metrics) batch(service string, items int) {
	m.scope.Tagged(map[string]string{"service": label(service)}).Histogram("call_items", batchBuckets).RecordValue(float64(items))
}
