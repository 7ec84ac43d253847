package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/internal/telemetry"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// metricsInterval is how often counts reach the handler.
const metricsInterval = time.Second

// metrics counts what the node does, in the exposition format of Prometheus.
type metrics struct {
	// calls counts callers' requests without a final answer.
	calls atomic.Int64

	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	// The scope reports until the process ends.
	scope, handler, _ := telemetry.New(metricsInterval)
	return &metrics{scope: scope, handler: handler}
}

// inFlight returns how many callers' requests have no final answer yet.
func (m *metrics) inFlight() int { return int(m.calls.Load()) }

// answered counts the end of a request; err is nil for a whole answer.
func (m *metrics) answered(pipeline string, err *verdict.Error, took time.Duration) {
	tags := map[string]string{"pipeline": pipeline, "end": "whole"}
	if err != nil {
		tags["end"] = strings.ReplaceAll(err.Verdict().String(), "-", "_")
	}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.scope.Tagged(tags).Timer("request_seconds").Record(took)
}

// stages counts the stages of a whole answer.
func (m *metrics) stages(pipeline string, stages []message.StageUse) {
	for _, use := range stages {
		s := m.scope.Tagged(map[string]string{"pipeline": pipeline, "stage": use.Stage})
		s.Counter("stage_attempts").Inc(int64(use.Attempts))
		s.Counter("stage_cost_thousandths").Inc(saturate.Int64(use.Cost * 1000))
	}
}

// broken counts an attempt that failed.
func (m *metrics) broken(err *verdict.Error) {
	m.scope.Tagged(map[string]string{
		"reason": string(err.Reason()), "verdict": err.Verdict().String(),
	}).Counter("attempts_broken").Inc(1)
}

// serviceCall counts a read of the configuration service.
func (m *metrics) serviceCall() { m.scope.Counter("service_calls").Inc(1) }
