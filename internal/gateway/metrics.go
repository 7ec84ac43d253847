package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/requestbodies"
	"github.com/honeydyke/honeydyke/internal/telemetry"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// metricsInterval is how often metrics are reported to the exposition. It is shorter than the
// interval at which they are scraped.
const metricsInterval = 5 * time.Second

// latencyBuckets are the bucket bounds of latency histograms, from 5 ms to 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// batchBuckets are the bucket bounds of the histogram of items per batch.
var batchBuckets = tally.ValueBuckets{1, 2, 4, 6, 8, 12, 16, 24, 32, 48, 64}

// metrics owns the gateway's counters, gauges and histograms.
type metrics struct {
	scope          tally.Scope
	handler        http.Handler
	reports        io.Closer
	sourceCalls    tally.Counter
	sourceFailures tally.Counter
	// gossipUnanswered counts the exchanges of gossip that got no answer from the member.
	gossipUnanswered tally.Counter
	// silentConnections counts the times that open connections to members or targets fell silent
	// while new ones came up.
	silentConnections tally.Counter
	// targetEnds counts the attempts and the batches during which the target's process ended.
	targetEnds tally.Counter
	// rejectedEntries counts entries of the source that could not be decoded.
	rejectedEntries tally.Counter
	// refusedParts is the number of parts of the configuration in force that are refused, and
	// unusedValues that of its values which are not used.
	refusedParts, unusedValues tally.Gauge
	// heldRequests is the number of requests that this node holds back because they crash
	// their targets.
	heldRequests tally.Gauge
	// heldParts is the number of parts of prompts that this node holds back.
	heldParts tally.Gauge
	// unreachableTargets is the number of targets that this node could not connect to when it
	// last tried.
	unreachableTargets tally.Gauge
	// detours counts the connections to targets through other members, and tunnels those of
	// other members through this node.
	detours, tunnels tally.Counter
	// borrowedSends counts the requests to limited targets that members lent this node.
	borrowedSends tally.Counter
	// streamOrigins is the number of streams of which this node knows where they began.
	streamOrigins tally.Gauge
	// limitedTargets is the number of targets that are known to ask for a limit.
	limitedTargets tally.Gauge
	// evacuatedDataCentres is the number of data centres that this node considers evacuated,
	// coldTargets the number of targets that were cold when the view last changed.
	evacuatedDataCentres, coldTargets tally.Gauge
	// ownDelay is how late this node's own work runs, in seconds.
	ownDelay tally.Gauge
	// callerConnections counts the connections of callers that were accepted, and callerBytes what
	// callers sent and received.
	callerConnections, callerBytes tally.Counter
	// turnedAway counts the connections of callers that were closed unread.
	turnedAway tally.Counter
	// longAnswers counts the calls that ended because the header or the body of the answer had more
	// bytes than are read, and answersGivenUp those of them that ended because all answers together
	// had.
	longAnswers, answersGivenUp tally.Counter
	// bodiesRefused counts the requests whose bodies found no room, and requestBytes and answerBytes are
	// what the bodies of requests, and the answers that are being read, take.
	bodiesRefused             tally.Counter
	requestBytes, answerBytes tally.Gauge
}

func newMetrics() *metrics {
	scope, handler, reports := telemetry.New(metricsInterval)
	return &metrics{
		scope: scope, handler: handler, reports: reports,
		sourceCalls: scope.Counter("source_calls"), sourceFailures: scope.Counter("source_failures"),
		gossipUnanswered: scope.Counter("gossip_unanswered"), silentConnections: scope.Counter("silent_connections"),
		targetEnds: scope.Counter("target_ends"), heldRequests: scope.Gauge("held_requests"), heldParts: scope.Gauge("held_parts"),
		unreachableTargets: scope.Gauge("unreachable_targets"),
		detours:            scope.Counter("detours"), tunnels: scope.Counter("tunnels"),
		borrowedSends:   scope.Counter("borrowed_sends"),
		streamOrigins:   scope.Gauge("stream_origins"),
		limitedTargets:  scope.Gauge("limited_targets"),
		rejectedEntries: scope.Counter("source_entries_refused"),
		refusedParts:    scope.Gauge("config_parts_refused"), unusedValues: scope.Gauge("config_values_unused"),
		evacuatedDataCentres: scope.Gauge("evacuated_data_centres"), coldTargets: scope.Gauge("cold_targets"),
		ownDelay:          scope.Gauge("own_delay_seconds"),
		callerConnections: scope.Counter("caller_connections"), callerBytes: scope.Counter("caller_bytes"),
		turnedAway:  scope.Counter("caller_connections_turned_away"),
		longAnswers: scope.Counter("answers_too_long"), answersGivenUp: scope.Counter("answers_given_up"),
		bodiesRefused: scope.Counter("request_bodies_refused"), requestBytes: scope.Gauge("request_body_bytes"), answerBytes: scope.Gauge("answer_bytes"),
	}
}

// labelValue returns s as a label value, with underscores instead of hyphens.
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
	if o.Request.LastEvent != "" {
		s.Counter("streams_taken_up").Inc(1)
	}
	if n := len(o.Attempts); n > 1 {
		s.Counter("attempts_again").Inc(int64(n - 1))
	}
}

// recordMemory records what the bodies of requests and the answers that are being read take.
func (m *metrics) recordMemory(bodies *requestbodies.Budget, answers *answers.Pool) {
	used, _ := answers.State()
	m.requestBytes.Update(float64(bodies.State().Held))
	m.answerBytes.Update(float64(used))
}

// recordFailedCall counts a failed call to a target whose answer was too long.
func (m *metrics) recordFailedCall(err *verdict.Error) {
	if err != nil && err.Reason() == verdict.ReasonTooLarge {
		m.longAnswers.Inc(1)
	}
}

// recordView counts the evacuated data centres, the cold targets and the faults of the configuration of a view.
func (m *metrics) recordView(now time.Time, v *view.View) {
	cold := 0
	for _, t := range v.Directory.All() {
		if t.Cold(now) {
			cold++
		}
	}
	m.evacuatedDataCentres.Update(float64(v.Evacuations.ActiveCount()))
	m.coldTargets.Update(float64(cold))
	if c := v.Catalog; c != nil {
		m.refusedParts.Update(float64(c.RefusedCount()))
		m.unusedValues.Update(float64(c.UnusedCount()))
	}
}

// recordReservations counts what a service's ledger of reservations did since it was last
// recorded.
func (m *metrics) recordReservations(service string, r reservationState) {
	if !r.enabled {
		return
	}
	s := m.scope.Tagged(map[string]string{"service": labelValue(service)})
	s.Gauge("reservations_open").Update(float64(r.Open))
	s.Counter("reservations_offered").Inc(r.Offered)
	s.Counter("reservations_claimed").Inc(r.Claimed)
	s.Counter("reservations_lapsed").Inc(r.Lapsed)
	s.Counter("reservations_dropped").Inc(r.Dropped)
}

func (m *metrics) recordRejectedEntry() { m.rejectedEntries.Inc(1) }

func (m *metrics) recordDetour() { m.detours.Inc(1) }

func (m *metrics) recordLoan() { m.borrowedSends.Inc(1) }

func (m *metrics) recordTunnel() { m.tunnels.Inc(1) }

func (m *metrics) recordTargetEnd() { m.targetEnds.Inc(1) }

// recordOverShare counts a plan that was marked because its organisation is over its share.
func (m *metrics) recordOverShare(service string) {
	m.scope.Tagged(map[string]string{"service": labelValue(service)}).Counter("plans_over_share").Inc(1)
}

func (m *metrics) recordBatch(service string, items int) {
	m.scope.Tagged(map[string]string{"service": labelValue(service)}).Histogram("call_items", batchBuckets).RecordValue(float64(items))
}

// recordWithdrawn counts a group that the coordinator of a service withdrew.
func (m *metrics) recordWithdrawn(service string) {
	m.scope.Tagged(map[string]string{"service": labelValue(service)}).Counter("groups_withdrawn").Inc(1)
}
