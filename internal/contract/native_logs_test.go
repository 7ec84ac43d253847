package contract

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// TestNativeLogs holds level, prefix and fields of the lines that a node logs. Each
// step below waits for the line that it is there for.
func TestNativeLogs(t *testing.T) {
	t.Parallel()
	lines := &logKinds{kinds: map[string]logKind{}}
	clock := &jumpingClock{}
	d := startNative(t, func(cfg *settings.Settings) { cfg.InstanceList = "http://" + silentAddress },
		lab.WithLogger(zerolog.New(lines)), lab.WithNodeOptions(node.WithClock(clock.now)))
	m := d.Nodes[0]
	logged := func(name string, fields ...string) {
		t.Helper()
		d.eventually("a line is logged: "+name+" "+strings.Join(fields, " "), func() bool { return lines.has(name, fields...) })
	}
	logged("warn members:", "error")
	d.logRequests(m)
	d.logStop()
	d.logTickets(m)
	d.logBundles(m, func() bool { return lines.has("warn bundle:", "from", "to") })
	logged("warn bundle:", "from", "to")
	logged("warn bundle:", "error", "source")
	logged("warn bundle:", "error", "peer")
	logged("debug members:", "error", "peer")
	d.sendAway(m)
	logged("info members:", "target", "incarnation")
	d.badReports.Store(true)
	logged("debug loads:", "error", "target")
	logged("warn loads:", "target", "answered")

	// A change ends a read that waits for one, which may have begun by now.
	d.Configuration.SetDown(true)
	d.Configuration.Put([]byte("{}"))
	d.eventually("the service is asked in vain", func() bool {
		clock.jump(haste)
		return lines.has("warn service:", "error")
	})
	d.Configuration.SetDown(false)
	logged("error bundle:", "error")
	clock.jump(time.Hour)
	logged("warn pulse:")
	checkEventually(t, "native/logs.txt", func() string { return without(lines.text(), youngerLines) }, allLogged)
	t.Run("younger lines", func(t *testing.T) {
		checkEventually(t, "native/logs_younger.txt", func() string { return only(lines.text(), youngerLines) }, allLogged)
	})
}

// youngerLines are what a node began to log when the lines of logs.txt were first
// held; they are held apart, so that logs.txt fits the program before it as well.
var youngerLines = []string{"debug bundle:", "info request: {error peer", "warn request:"}

// only returns the lines of a text that begin with one of the beginnings.
func only(text string, beginnings []string) string {
	return keep(text, func(line string) bool { return beginsWith(line, beginnings) })
}

// without returns the other lines of a text.
func without(text string, beginnings []string) string {
	return keep(text, func(line string) bool { return !beginsWith(line, beginnings) })
}

func beginsWith(line string, beginnings []string) bool {
	return slices.ContainsFunc(beginnings, func(begin string) bool { return strings.HasPrefix(line, begin) })
}

func keep(text string, wanted func(line string) bool) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if wanted(line) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// logRequests has requests answered and refused.
func (d *native) logRequests(m *lab.Member) {
	d.ask(m.CallerAddress(), run("plain", "x"))
	d.ask(m.CallerAddress(), run("plain", "x").with("Honeydyke-Deadline-Ms", "1"))
}

// logStop has a node end whose work is cut.
func (d *native) logStop() {
	m := d.addNode(nil)
	d.waitReady(m)
	wait := d.begin(m, run("locker", "slow"))
	d.leave(m)
	m.Cut()
	wait()
	if m.Wait() == nil {
		d.t.Error("no work was cut")
	}
	d.Remove(m)
}

// logTickets uses a ticket whose home is gone, and one whose home answers another
// request.
func (d *native) logTickets(m *lab.Member) {
	home := d.addNode(nil)
	d.waitReady(home)
	spend := run("locker", "x").with("Honeydyke-Ticket", d.ticket(home))
	d.kill(home)
	d.ask(m.CallerAddress(), spend)
	d.serveAt(home.PeerAddress(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "another")
	}))
	d.ask(m.CallerAddress(), spend)
}

// logBundles has a node take a bundle from a peer, one whose predecessor it missed
// and an older one, and not get one from peers that have none or are gone.
func (d *native) logBundles(m *lab.Member, missed func() bool) {
	d.passOn(m)
	older := d.signedBundle()
	// A node that happens to read the service between the two bundles misses none.
	d.eventually("a bundle is missed", func() bool {
		if err := d.Publish(func(*bundle.Bundle) {}); err != nil {
			d.t.Fatal(err)
		}
		d.passOn(m)
		return missed()
	})
	update := func(address string) {
		d.ask(m.PeerAddress(), asNode(http.MethodPost, "/peer/v1/exchange", updateOf(address, d.Plan.Number()+1)))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/v1/bundle", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"whole":`+older+"}")
	})
	update(d.serve(mux))
	update(silentAddress)
}

// signedBundle is what the configuration service holds.
func (d *native) signedBundle() string {
	d.t.Helper()
	_, body := d.ask(d.serve(d.Configuration), call{method: http.MethodGet, path: "/"})
	return body
}
