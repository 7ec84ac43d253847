package contract

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestNativeMetrics holds the names of metrics with their labels and bounds.
func TestNativeMetrics(t *testing.T) {
	t.Parallel()
	d := startNative(t, nil)
	m := d.Nodes[0]
	for _, c := range []call{
		run("plain", "x"), run("plain", "refused"), run("plain", "x").with("Honeydyke-Deadline-Ms", "1"),
		run("chat", "x"), run("chat", "again"), run("cut", "x"),
		run("charge", "x"), run("locker", "x"), run("locker", "failed"), run("locker", "lost"), run("locker", "refused"),
	} {
		d.ask(m.CallerAddress(), c)
	}
	checkEventually(t, "native/metrics.txt", func() string {
		_, body := d.ask(m.AdminAddress(), call{method: http.MethodGet, path: "/metrics"})
		return strings.Join(seriesOf(body), "\n") + "\n"
	}, func(want, got string) bool { return want == got })
}

var sampleValue = regexp.MustCompile(` \S+$`)

// seriesOf lists the types and the series of an exposition, sorted, with their
// labels and bounds but without their values. Those that the metrics library
// writes of itself are left out.
func seriesOf(exposition string) []string {
	var series []string
	for _, line := range strings.Split(strings.TrimSpace(exposition), "\n") {
		switch {
		case strings.Contains(line, "tally_internal_"), strings.HasPrefix(line, "# HELP "):
		case strings.HasPrefix(line, "#"):
			series = append(series, line)
		default:
			series = append(series, sampleValue.ReplaceAllString(line, ""))
		}
	}
	slices.Sort(series)
	return slices.Compact(series)
}
