package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/honeydyke/honeydyke/internal/telemetry"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const metricsInterval = time.Second

// metrics counts what the node does, in the exposition format of Prometheus.
type metrics struct {
	// calls counts callers' requests without a final answer.
	calls atomic.Int64

	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	scope, handler := telemetry.New(metricsInterval)
	return &metrics{scope: scope, handler: handler}
}

// answered counts the end of a request.
func (m *metrics) answered(pipeline string, err *verdict.Error, took time.Duration) {
	tags := map[string]string{"pipeline": pipeline, "end": "whole"}
	if err != nil {
		tags["end"] = strings.ReplaceAll(err.Verdict().String(), "-", "_")
	}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.scope.Tagged(tags).Timer("request_seconds").Record(took)
}

// stage counts the end of a stage of a whole answer.
func (m *metrics) stage(pipeline, stage string, cost float64, attempts int) {
	s := m.scope.Tagged(map[string]string{"pipeline": pipeline, "stage": stage})
	s.Counter("stage_attempts").Inc(int64(attempts))
	s.Counter("stage_cost_thousandths").Inc(int64(cost * 1000))
}

// countBroken counts an attempt that failed.
func (n *Node) countBroken(err *verdict.Error) {
	n.metrics.scope.Tagged(map[string]string{
		"reason": string(err.Reason()), "verdict": err.Verdict().String(),
	}).Counter("attempts_broken").Inc(1)
}
