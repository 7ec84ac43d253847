package contract

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// silentAddress is an address where nobody listens.
	silentAddress = "127.0.0.1:1"
	// peerKey is the key that the lab gives to all nodes.
	peerKey = "pppppppppppppppppppppppppppppppp"
)

// wholeUpdate are the fields of an exchange that are there only when there is
// something to say.
var wholeUpdate = []string{`"marks"`, `"peers"`, `"readers"`}

// updateOf is the update of a node that has a bundle. It says that a target is
// leaving, and that another node reads the configuration service.
func updateOf(address string, bundle int) string {
	return fmt.Sprintf(`{"node":%q,"incarnation":"i","dataCentre":"dc-a","bundle":%d,"digest":"d","leaving":false,
		"marks":[{"target":"away-1","incarnation":"i"}],"readers":[{"node":%q,"ageMs":0}]}`, address, bundle, silentAddress)
}

// fakePeer answers a node's calls as another node, with a newer bundle that it
// does not give away.
func fakePeer(own *string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/v1/exchange", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, updateOf(*own, 9))
	})
	mux.HandleFunc("GET /peer/v1/bundle", http.NotFound)
	mux.HandleFunc("/peer/v1/forward/", func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h.Set("Content-Type", "application/json")
		for _, name := range []string{"Honeydyke-Verdict", "Honeydyke-Bundle", "Retry-After", "X-Should-Retry", "X-Other"} {
			h.Set(name, "of the home")
		}
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"answer":"of the home"}`))
	})
	return mux
}

// serveAt serves h at an address that was just given up, until the nodes
// have ended.
func (d *native) serveAt(address string, h http.Handler) {
	d.t.Helper()
	var ln net.Listener
	d.eventually("the address is free", func() bool {
		var err error
		ln, err = net.Listen("tcp", address)
		return err == nil
	})
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = ln
	s.Start()
	d.servers = append(d.servers, s)
}

// TestNativePeerRequests holds what a node sends to other nodes, and what of a
// home's answer it passes on to the caller.
func TestNativePeerRequests(t *testing.T) {
	t.Parallel()
	var peer string
	var toPeer recorder
	server := httptest.NewServer(toPeer.recording(fakePeer(&peer)))
	t.Cleanup(server.Close)
	peer = strings.TrimPrefix(server.URL, "http://")
	d := startNative(t, func(cfg *settings.Settings) { cfg.Peers = []string{peer} })
	var got strings.Builder
	var update string
	d.eventually("a whole update came", func() bool {
		update = toPeer.find(wholeUpdate...)
		return update != ""
	})
	d.eventually("a step and the whole bundle were asked for", func() bool {
		return toPeer.has("/peer/v1/bundle?from=") && toPeer.has("/peer/v1/bundle HTTP")
	})
	got.WriteString(section("bundle", toPeer.take("/peer/v1/bundle")))
	got.WriteString(section("update", update))

	home := d.addNode(nil)
	d.waitReady(home)
	ticket := d.ticket(home)
	d.kill(home)
	var toHome recorder
	address := home.PeerAddress()
	d.serveAt(address, toHome.recording(fakePeer(&address)))
	caller := d.Nodes[0].CallerAddress()
	spend := run("locker", "x").with("Honeydyke-Ticket", ticket).with("Honeydyke-Deadline-Ms", "9000").with("Idempotency-Key", "k")
	answer := d.answer(caller, spend)
	got.WriteString(section("ticket spent", toHome.take("/forward/")))
	got.WriteString(section("the home's answer as the caller sees it", answer))
	d.ask(caller, callOf(http.MethodGet, "/v1/tickets/"+ticket, ""))
	got.WriteString(section("ticket looked up", toHome.take("/forward/")))
	checkFile(t, "native/peer_requests.txt", got.String())
}

// asNode is a call of another node.
func asNode(method, path, body string) call {
	return call{method: method, path: path, body: body, header: map[string]string{
		"Authorization": "Bearer " + peerKey, "X-Request-Id": "mine", "Honeydyke-Organisation": "plenty",
	}}
}

// passOn publishes the next bundle and has a node fetch it from a peer, which is
// sooner than from the configuration service.
func (d *native) passOn(m *lab.Member) {
	d.t.Helper()
	if err := d.Publish(func(b *bundle.Bundle) { b.Objective.CostWeight = 0.25 }); err != nil {
		d.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/v1/bundle", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"whole":`)
		d.Configuration.ServeHTTP(w, r)
		_, _ = io.WriteString(w, "}")
	})
	number := d.Plan.Number()
	d.ask(m.PeerAddress(), asNode(http.MethodPost, "/peer/v1/exchange", updateOf(d.serve(mux), number)))
	d.eventually("the next bundle is in force", func() bool { return m.Bundle() == number })
}

// TestNativePeerAnswers holds what a node answers to other nodes.
func TestNativePeerAnswers(t *testing.T) {
	t.Parallel()
	d := startNative(t, nil)
	second := d.Plan.Digest()
	m := d.Nodes[0]
	d.passOn(m)
	var got strings.Builder
	answered := func(name string, c call) { got.WriteString(section(name, d.answer(m.PeerAddress(), c))) }
	var update string
	d.eventually("a whole update is the answer", func() bool {
		update = d.answer(m.PeerAddress(), asNode(http.MethodPost, "/peer/v1/exchange", updateOf(silentAddress, 0)))
		return containsAll(update, wholeUpdate)
	})
	got.WriteString(section("update", update))
	answered("bundle, whole", asNode(http.MethodGet, "/peer/v1/bundle", ""))
	answered("bundle, a step", asNode(http.MethodGet, "/peer/v1/bundle?from="+url.QueryEscape(second), ""))
	answered("a bad update", asNode(http.MethodPost, "/peer/v1/exchange", "{"))
	answered("no key", asNode(http.MethodPost, "/peer/v1/exchange", "").with("Authorization", ""))
	answered("a path for callers", asNode(http.MethodPost, "/v1/pipelines/plain", `{"input":"x"}`))

	ticket := d.ticket(m)
	spend := asNode(http.MethodPost, "/peer/v1/forward/locker", `{"input":"x"}`).with("Honeydyke-Ticket", ticket)
	answered("ticket looked up", asNode(http.MethodGet, "/peer/v1/forward/tickets/"+ticket, ""))
	answered("ticket of another organisation", spend.with("Honeydyke-Organisation", "limited"))
	answered("ticket spent", spend)
	answered("ticket spent again", spend)
	starting := d.addNode(withoutSources)
	got.WriteString(section("ticket of another home", d.answer(starting.PeerAddress(), spend)))
	got.WriteString(section("no bundle", d.answer(starting.PeerAddress(), asNode(http.MethodGet, "/peer/v1/bundle", ""))))
	checkFile(t, "native/peer_answers.txt", got.String())
}
