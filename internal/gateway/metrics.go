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
	// rejectedEntries counts entries of the source that did not read.
	rejectedEntries tally.Counter
	// heldRequests is how many requests this node holds back because they end their targets.
	heldRequests tally.Gauge
	// limitedTargets is how many targets this node knows to have named a limit.
	limitedTargets tally.Gauge
	// evacuatedDataCentres is how many data centres this node takes for evacuated, coldTargets how many
	// targets it took for cold when the view last changed.
	evacuatedDataCentres, coldTargets tally.Gauge
}

func newMetrics() *metrics {
	scope, handler := telemetry.New(metricsInterval)
	return &metrics{
		scope: scope, handler: handler,
		sourceCalls: scope.Counter("source_calls"), sourceFailures: scope.Counter("source_failures"),
		targetEnds: scope.Counter("target_ends"), heldRequests: scope.Gauge("held_requests"),
		limitedTargets:       scope.Gauge("limited_targets"),
		rejectedEntries:      scope.Counter("source_entries_refused"),
		evacuatedDataCentres: scope.Gauge("evacuated_data_centres"), coldTargets: scope.Gauge("cold_targets"),
	}
}

// labelValue returns a value as a label may hold it.
func labelValue(s string) string { return strings.ReplaceAll(s, "-", "_") }

func (m *metrics) recordRequest(o *relay.Outcome) {
	tags := map[string]string{"service": labelValue(o.Service), "end": "answered", "reason": "none"}
	if o.Err != nil {
		tags["end"] = labelValue(o.Err.Verdict().String())
		tags["reason"] = labelValue(string(o.Err.Reason()))
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

// recordView counts what of a view takes no new work, or little.
func (m *metrics) recordView(now time.Time, v *view.View) {
	cold := 0
	for _, t := range v.Directory.All() {
		if t.Cold(now) {
			cold++
		}
	}
	m.evacuatedDataCentres.Update(float64(v.Evacuations.ActiveCount()))
	m.coldTargets.Update(float64(cold))
}

func (m *metrics) recordRejectedEntry() { m.rejectedEntries.Inc(1) }

func (m *metrics) recordTargetEnd() { m.targetEnds.Inc(1) }

func (m *metrics) recordBatch(service string, items int) {
	m.scope.Tagged(map[string]string{"service": labelValue(service)}).Histogram("call_items", batchBuckets).RecordValue(float64(items))
}
