package contract

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// nativeLimit ends a test that hangs. Not measured; each takes a few seconds.
	nativeLimit = 30 * time.Second
	// pollInterval is how often a test looks for what it waits for; not measured.
	pollInterval = 10 * time.Millisecond
)

// native is a deployment of native nodes whose targets, platform and peers are
// recorded.
type native struct {
	*lab.Lab

	t   *testing.T
	ctx context.Context
	// toTargets and toPlatform keep what the nodes asked for.
	toTargets  recorder
	toPlatform recorder
	servers    []*httptest.Server
	// change alters the settings of the next node.
	change func(*settings.Settings)
	// away is true when the target of the pool away says that it is leaving.
	away atomic.Bool
	// badReports is true when no target gives a good load report.
	badReports atomic.Bool
	// finish is closed to let the calls of slow requests end.
	finish chan struct{}
	client *http.Client
}

// startNative starts one node with the second number of the bundle, whose targets
// are the test's own.
func startNative(t *testing.T, change func(*settings.Settings), opts ...lab.Option) *native {
	t.Helper()
	d := &native{t: t, finish: make(chan struct{}), client: &http.Client{Transport: &http.Transport{}}}
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithTimeout(context.Background(), nativeLimit)
	t.Cleanup(cancel)
	t.Cleanup(d.client.CloseIdleConnections)
	t.Cleanup(d.closeServers) // the nodes have ended by then
	opts = append([]lab.Option{lab.WithNodes(0), lab.WithSettings(d.settings)}, opts...)
	var err error
	if d.Lab, err = lab.Start(d.ctx, nativeBundleText(), opts...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.publishTargets()
	d.waitReady(d.addNode(change))
	return d
}

// addNode adds a node whose settings are changed.
func (d *native) addNode(change func(*settings.Settings)) *lab.Member {
	d.t.Helper()
	d.change = change
	m, err := d.AddNode()
	if err != nil {
		d.t.Fatal(err)
	}
	return m
}

// waitReady waits until a node serves.
func (d *native) waitReady(m *lab.Member) {
	d.t.Helper()
	if err := lab.WaitReady(d.ctx, m.AdminAddress()); err != nil {
		d.t.Fatal(err)
	}
}

// settings puts a recorder before the platform and changes what the test asks.
func (d *native) settings(cfg *settings.Settings) {
	d.t.Helper()
	platform, err := url.Parse(cfg.ConfigurationService)
	if err != nil {
		d.t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(platform)
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	address := d.serve(d.toPlatform.recording(proxy))
	cfg.ConfigurationService = "http://" + address
	cfg.InstanceList = "http://" + address
	if d.change != nil {
		d.change(cfg)
	}
}

// serve serves h until the nodes have ended, and returns its address.
func (d *native) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.servers = append(d.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

func (d *native) closeServers() {
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// publishTargets publishes a bundle with recorded targets.
func (d *native) publishTargets() {
	d.t.Helper()
	addresses := map[string]string{}
	for _, pool := range nativePools {
		addresses[pool] = d.serve(d.toTargets.recording(d.targetHandler(pool)))
	}
	err := d.Publish(func(b *bundle.Bundle) {
		for i := range b.Pools {
			b.Pools[i].Targets[0].Address = addresses[b.Pools[i].Name]
		}
	})
	if err != nil {
		d.t.Fatal(err)
	}
}

// sendAway has the target of the pool away leave, and waits until a node knows.
func (d *native) sendAway(m *lab.Member) {
	d.t.Helper()
	d.away.Store(true)
	d.eventually("a target is known to leave", func() bool { return isAway(m) })
}

// isAway reports whether a node knows of a target that is leaving.
func isAway(m *lab.Member) bool {
	for _, target := range m.State().Targets {
		if target.Leaving {
			return true
		}
	}
	return false
}

func (d *native) eventually(what string, holds func() bool) {
	d.t.Helper()
	for !holds() {
		select {
		case <-time.After(pollInterval):
		case <-d.ctx.Done():
			d.t.Fatalf("never came true: %s", what)
		}
	}
}

// call is a call to a node.
type call struct {
	method, path, body string
	header             map[string]string
}

// callOf is a call of the organisation plenty.
func callOf(method, path, body string) call {
	return call{method: method, path: path, body: body, header: map[string]string{
		"Authorization": "Bearer " + keyOf("plenty"), "X-Request-Id": "mine",
	}}
}

// run is a call of a pipeline with an input.
func run(pipeline, input string) call {
	return callOf(http.MethodPost, "/v1/pipelines/"+pipeline, fmt.Sprintf(`{"input":%q}`, input))
}

// with returns the call with one header more.
func (c call) with(name, value string) call {
	header := map[string]string{name: value}
	for k, v := range c.header {
		if k != name {
			header[k] = v
		}
	}
	c.header = header
	return c
}

// send makes a call and returns the answer with its body.
func (d *native) send(address string, c call) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(d.ctx, c.method, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, "", err
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or reading has failed
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// ask makes a call that must be answered.
func (d *native) ask(address string, c call) (*http.Response, string) {
	d.t.Helper()
	resp, body, err := d.send(address, c)
	if err != nil {
		d.t.Fatalf("%s %s: %v", c.method, c.path, err)
	}
	return resp, body
}

// answer makes a call that must be answered, and returns the answer as text.
func (d *native) answer(address string, c call) string {
	d.t.Helper()
	return answerText(d.ask(address, c))
}

// ticket takes a ticket for the pipeline locker at a node.
func (d *native) ticket(m *lab.Member) string {
	d.t.Helper()
	_, body := d.ask(m.CallerAddress(), callOf(http.MethodPost, "/v1/tickets", `{"pipeline":"locker"}`))
	var answer struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || answer.Ticket == "" {
		d.t.Fatalf("no ticket: %s", body)
	}
	return answer.Ticket
}

// begin makes a call whose first stage is slow, and returns once a target has it.
// wait returns the answer as text.
func (d *native) begin(m *lab.Member, c call) (wait func() string) {
	d.t.Helper()
	d.toTargets.take("")
	answer := make(chan string, 1)
	go func() {
		resp, body, err := d.send(m.CallerAddress(), c)
		if err != nil {
			answer <- err.Error()
			return
		}
		answer <- answerText(resp, body)
	}()
	d.eventually("a target has the slow call", func() bool { return d.toTargets.has(`"input": "slow"`) })
	return func() string { return <-answer }
}

// leave begins the planned stop of a node.
func (d *native) leave(m *lab.Member) {
	d.t.Helper()
	m.Stop()
	d.eventually("the node leaves", func() bool { return m.Phase() == node.Leaving })
}

// kill ends a node as a crash does, and waits until the others' connections to it
// are surely closed.
func (d *native) kill(m *lab.Member) {
	d.t.Helper()
	d.Remove(m)
	if err := m.Wait(); err != nil {
		d.t.Fatal(err)
	}
}
