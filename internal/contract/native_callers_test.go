package contract

import (
	"net/http"
	"strings"
	"testing"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// TestNativeAnswers holds what callers get.
func TestNativeAnswers(t *testing.T) {
	t.Parallel()
	d := startNative(t, nil)
	address := d.Nodes[0].CallerAddress()
	chat := func(fields string) call {
		return callOf(http.MethodPost, "/v1/chat/completions", `{"model":"chat","messages":[{"role":"user","content":"hello"}]`+fields+"}")
	}
	cases := []struct {
		name string
		call call
	}{
		{"a run answered whole", run("plain", "x")},
		{"a run with an engine", run("chat", "x")},
		{"a run whose engine breaks off once", run("chat", "again")},
		{"a run without an identity of its own", run("plain", "x").with("X-Request-Id", "")},
		{"a stream", callOf(http.MethodPost, "/v1/pipelines/chat", `{"input":"x","stream":true}`)},
		{"a stream that breaks off", callOf(http.MethodPost, "/v1/pipelines/cut", `{"input":"x","stream":true}`)},
		{"a chat", chat("")},
		{"a chat streamed", chat(`,"stream":true`)},
		{"a chat streamed with usage", chat(`,"stream":true,"stream_options":{"include_usage":true}`)},
		{"a chat streamed that breaks off", callOf(http.MethodPost, "/v1/chat/completions",
			`{"model":"cut","messages":[{"role":"user","content":"x"}],"stream":true}`)},
		{"models", callOf(http.MethodGet, "/v1/models", "")},
		{"a key that the targets check", run("charge", "x").with("Idempotency-Key", "k")},
		{"400: no JSON", callOf(http.MethodPost, "/v1/pipelines/plain", "{")},
		{"400: a bad deadline", run("plain", "x").with("Honeydyke-Deadline-Ms", "soon")},
		{"400: a chat with tools", chat(`,"tools":[{}]`)},
		{"400: a ticket for no pipeline", callOf(http.MethodPost, "/v1/tickets", `{}`)},
		{"401: a run", run("plain", "x").with("Authorization", "Bearer unknown")},
		{"401: a chat", chat("").with("Authorization", "Bearer unknown")},
		{"401: models", callOf(http.MethodGet, "/v1/models", "").with("Authorization", "")},
		{"404: a run", run("nothing", "x")},
		{"404: a chat", callOf(http.MethodPost, "/v1/chat/completions", `{"model":"nothing","messages":[{"role":"user","content":"x"}]}`)},
		{"404: a path", callOf(http.MethodPost, "/nowhere", "")},
		{"405: a method", callOf(http.MethodGet, "/v1/pipelines/plain", "")},
		{"413", callOf(http.MethodPost, "/v1/pipelines/plain", strings.Repeat("x", 5<<20))},
		{"428", run("locker", "x").with("Idempotency-Key", "k")},
		{"429: the one request", run("plain", "x").with("Authorization", "Bearer "+keyOf("limited"))},
		{"429: the next", run("plain", "x").with("Authorization", "Bearer "+keyOf("limited"))},
		{"429: a chat", chat("").with("Authorization", "Bearer "+keyOf("limited"))},
		{"502: a target failed", run("locker", "failed")},
		{"502: a target was lost", run("locker", "lost")},
		{"502: a target refused", run("plain", "refused")},
		{"503: too little time", run("plain", "x").with("Honeydyke-Deadline-Ms", "1")},
		{"503: no target to begin with", run("away", "x")},
	}
	var got strings.Builder
	// The node has no experience of any stage yet, and so no reason to expect that
	// these deadlines are too short.
	for _, pipeline := range []string{"locker", "plain"} {
		c := run(pipeline, "slow").with("Honeydyke-Deadline-Ms", "1000")
		got.WriteString(section("504: "+pipeline, d.answer(address, c)))
	}
	wait := d.begin(d.Nodes[0], run("away", "slow"))
	d.sendAway(d.Nodes[0])
	close(d.finish)
	got.WriteString(section("503: no target any more", wait()))
	for _, c := range cases {
		got.WriteString(section(c.name, d.answer(address, c.call)))
	}
	checkFile(t, "native/answers.txt", got.String())
}

// TestNativeTickets holds what callers get for tickets, at their home and at
// another node.
func TestNativeTickets(t *testing.T) {
	t.Parallel()
	d := startNative(t, nil)
	home, other := d.Nodes[0], d.addNode(nil)
	d.waitReady(other)
	var got strings.Builder
	got.WriteString(section("issued", d.answer(home.CallerAddress(), callOf(http.MethodPost, "/v1/tickets", `{"pipeline":"locker"}`))))
	got.WriteString(d.ticketAnswers("at its home: ", home, home))
	got.WriteString(d.ticketAnswers("at another node: ", home, other))
	ticket := d.ticket(home)
	d.kill(home)
	got.WriteString(section("of a home that is gone", d.answer(other.CallerAddress(), run("locker", "x").with("Honeydyke-Ticket", ticket))))
	checkFile(t, "native/tickets.txt", got.String())
}

// ticketAnswers returns what a node answers about tickets that another, or it
// itself, has issued.
func (d *native) ticketAnswers(title string, home, at *lab.Member) string {
	d.t.Helper()
	var got strings.Builder
	answered := func(name string, c call) { got.WriteString(section(title+name, d.answer(at.CallerAddress(), c))) }
	ticket := d.ticket(home)
	look := callOf(http.MethodGet, "/v1/tickets/"+ticket, "")
	spend := run("locker", "x").with("Honeydyke-Ticket", ticket)
	answered("looked up, unspent", look)
	answered("for another pipeline", run("plain", "x").with("Honeydyke-Ticket", ticket))
	answered("of another organisation", spend.with("Authorization", "Bearer "+keyOf("limited")))
	answered("of nobody", spend.with("Authorization", ""))
	answered("too large", callOf(http.MethodPost, "/v1/pipelines/locker", strings.Repeat("x", 5<<20)).with("Honeydyke-Ticket", ticket))
	answered("spent", spend)
	answered("spent again", spend)
	answered("looked up, spent", look)
	failed := run("locker", "failed").with("Honeydyke-Ticket", d.ticket(home))
	answered("spent on a run that fails", failed)
	answered("spent on it again", failed)
	answered("looked up after it", callOf(http.MethodGet, "/v1/tickets/"+failed.header["Honeydyke-Ticket"], ""))
	answered("that is none", spend.with("Honeydyke-Ticket", "none"))
	return got.String()
}

// withoutSources keeps a node from getting a bundle.
func withoutSources(cfg *settings.Settings) {
	cfg.Peers, cfg.ConfigurationService, cfg.InstanceList = nil, "", ""
}

// TestNativeLife holds what callers, balancer and operators get while a node
// starts, serves and leaves.
func TestNativeLife(t *testing.T) {
	t.Parallel()
	d := startNative(t, nil)
	starting := d.addNode(withoutSources)
	leaving := d.Nodes[0]
	var got strings.Builder
	answers := func(phase string, m *lab.Member) {
		for _, c := range []call{
			run("plain", "x"),
			run("locker", "x").with("Honeydyke-Ticket", "none"),
			callOf(http.MethodPost, "/v1/tickets", `{"pipeline":"locker"}`),
			callOf(http.MethodGet, "/v1/models", ""),
		} {
			got.WriteString(section(phase+": "+c.method+" "+c.path, d.answer(m.CallerAddress(), c)))
		}
		got.WriteString(section(phase+": GET /readyz", d.answer(m.AdminAddress(), call{method: http.MethodGet, path: "/readyz"})))
		for _, path := range []string{"/healthz", "/state", "/metrics"} {
			// What is in their bodies is held elsewhere.
			resp, _ := d.ask(m.AdminAddress(), call{method: http.MethodGet, path: path})
			got.WriteString(section(phase+": GET "+path, answerText(resp, "")))
		}
	}
	answers("starting", starting)
	answers("serving", leaving)
	wait := d.begin(leaving, run("plain", "slow"))
	d.leave(leaving)
	answers("leaving", leaving)
	close(d.finish)
	got.WriteString(section("in flight when the node began to leave", wait()))
	checkFile(t, "native/life.txt", got.String())
}
