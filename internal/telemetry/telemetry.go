// Package telemetry makes the root of a process's counters and histograms, and the
// handler that serves them in the exposition format of Prometheus. It owns
// the prefix of the metric names and relies on tally and the Prometheus client.
package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// prefix begins the name of every metric.
const prefix = "honeydyke"

// New returns a scope whose counts reach the handler at the given interval, until it is closed.
func New(interval time.Duration) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: tallyprom.DefaultSeparator,
	}, interval)
	return scope, reporter.HTTPHandler(), closer
}
