package node

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// peerTimeout bounds an exchange between nodes.
	peerTimeout = 2 * time.Second
	// watchTimeout bounds a waiting watch of the service.
	watchTimeout = 40 * time.Second
	// reportTimeout bounds the read of a load report.
	reportTimeout = time.Second
	// signedBytes bounds a signed bundle: the text as a JSON string, twice its
	// size at worst, and its signatures.
	signedBytes = 2*bundle.MaxBytes + 64<<10
)

// quietLogger keeps the actor library's own lines out of the node's log.
func quietLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// peerClient calls other nodes and the platform.
type peerClient struct {
	key    string
	scheme string
	peers  *http.Client
	plain  *http.Client
}

func newPeerClient(key string, cfg *tls.Config, control *atomic.Int64) *peerClient {
	scheme := "http"
	if cfg != nil {
		scheme = "https"
	}
	dial := countedDial(control)
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &peerClient{
		key:    key,
		scheme: scheme,
		peers:  &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: cfg, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}, CheckRedirect: noRedirect},
		plain:  &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}, CheckRedirect: noRedirect},
	}
}

// get reads a JSON value of at most limit bytes and returns its entity tag.
func get(ctx context.Context, client *http.Client, req *http.Request, limit int64, out any) (string, error) {
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("%s answered with status %d", req.URL.Host, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return "", err
	}
	if int64(len(raw)) > limit {
		return "", errors.Errorf("%s answered with more than %d bytes", req.URL.Host, limit)
	}
	return resp.Header.Get("ETag"), json.Unmarshal(raw, out)
}

// peerRequest builds an authenticated call to a node.
func (c *peerClient) peerRequest(method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// exchangeWith tells a peer what this node knows and takes in its answer. A
// peer that names a newer bundle is asked for it.
func (n *Node) exchangeWith(address string, word message.Exchange) {
	ctx, cancel := context.WithTimeout(n.serveCalls, peerTimeout)
	defer cancel()
	body, err := json.Marshal(word)
	if err != nil {
		return
	}
	req, err := n.peers.peerRequest(http.MethodPost, address, wire.PathExchange, body)
	if err != nil {
		return
	}
	var answer message.Exchange
	if _, err := get(ctx, n.peers.peers, req, wire.MaxRequestBytes, &answer); err != nil {
		n.log.Debug().Err(err).Str("peer", address).Msg("members: no exchange")
		return
	}
	n.takeWord(ctx, answer)
}

// takeWord takes in a peer's word and fetches its bundle when that is newer.
func (n *Node) takeWord(ctx context.Context, word message.Exchange) {
	if n.knowsOlder(word.Bundle) {
		if err := n.fetchFromPeer(ctx, word.Node); err != nil {
			n.log.Warn().Err(err).Str("peer", word.Node).Msg("bundle: not taken from peer")
		}
	}
	n.pause.refreshed()
	n.system.Root.Send(n.members, heard{word})
}

// knowsOlder says whether the newest bundle known here has a lower number.
func (n *Node) knowsOlder(number int) bool {
	reply, err := n.ask(n.bundles, describeBundle{})
	if err != nil {
		return false
	}
	b, ok := reply.(bundleState)
	if !ok {
		return false
	}
	newest := b.state.Newest()
	return number > 0 && (newest == nil || newest.Number() < number)
}

// fetchFromPeer asks a peer for its bundle: for a step from the newest known
// here, and for the whole when the step does not lead to a good one.
func (n *Node) fetchFromPeer(ctx context.Context, address string) error {
	own := n.newestSigned()
	if own.Text != "" && n.fetchStep(ctx, address, own) == nil {
		return nil
	}
	return n.fetchStep(ctx, address, bundle.Signed{})
}

// newestSigned returns the newest verified bundle as it was signed.
func (n *Node) newestSigned() bundle.Signed {
	reply, err := n.ask(n.bundles, describeBundle{})
	b, ok := reply.(bundleState)
	if err != nil || !ok {
		return bundle.Signed{}
	}
	return b.history.Newest()
}

// fetchStep asks for what leads from own to the peer's bundle.
func (n *Node) fetchStep(ctx context.Context, address string, own bundle.Signed) error {
	path := wire.PathBundle
	if own.Text != "" {
		path += "?from=" + url.QueryEscape(bundle.Digest([]byte(own.Text)))
	}
	req, err := n.peers.peerRequest(http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	var transfer bundle.Transfer
	if _, err := get(ctx, n.peers.peers, req, signedBytes, &transfer); err != nil {
		return err
	}
	signed, err := transfer.Apply(own)
	if err != nil {
		return err
	}
	return n.offer(address, signed)
}

// offer verifies a signed bundle and hands it to its actor.
func (n *Node) offer(source string, signed bundle.Signed) error {
	plan, err := n.trust.Verify(source, signed)
	if err != nil {
		return err
	}
	n.system.Root.Send(n.bundles, offered{plan: plan, signed: signed, source: source})
	return nil
}

// followService watches the configuration service while this node is one of
// its data centre's readers. A new node reads it once in any case.
func (n *Node) followService(ctx context.Context) {
	if n.cfg.ConfigurationService == "" {
		return
	}
	tag := ""
	for ctx.Err() == nil {
		if tag != "" && !n.reads() {
			_ = wait.For(ctx, serviceRetry)
			continue
		}
		next, err := n.readService(ctx, tag)
		if err != nil {
			n.log.Warn().Err(err).Msg("service: not read")
			_ = wait.For(ctx, serviceRetry)
			continue
		}
		tag = next
	}
}

// reads says whether this node is one of the readers of its data centre.
func (n *Node) reads() bool {
	reply, err := n.ask(n.members, describePeers{})
	if err != nil {
		return true
	}
	view, ok := reply.(peerView)
	return !ok || view.view.Reading()
}

func (n *Node) readService(ctx context.Context, tag string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	address := n.cfg.ConfigurationService + wire.PathConfiguration
	if tag != "" {
		address += "?after=" + url.QueryEscape(tag)
	}
	req, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		return "", err
	}
	n.metrics.scope.Counter("service_calls").Inc(1)
	var signed bundle.Signed
	next, err := get(ctx, n.peers.plain, req, signedBytes, &signed)
	if err != nil {
		return "", err
	}
	n.pause.refreshed()
	if next != tag {
		if err := n.offer("configuration service", signed); err != nil {
			n.log.Error().Err(err).Msg("bundle: refused, the one in force stays")
		}
	}
	n.system.Root.Send(n.bundles, sourceAnswered{peer: false})
	return next, nil
}

// instance is one line of the platform's list.
type instance struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// followList reads the platform's lagging list of instances.
func (n *Node) followList(ctx context.Context) {
	if n.cfg.InstanceList == "" {
		return
	}
	for ctx.Err() == nil {
		n.readList(ctx)
		_ = wait.For(ctx, listInterval)
	}
}

func (n *Node) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, n.cfg.InstanceList+wire.PathInstances, nil)
	if err != nil {
		return
	}
	var list []instance
	if _, err := get(ctx, n.peers.plain, req, wire.MaxAnswerBytes, &list); err != nil {
		n.log.Warn().Err(err).Msg("members: the list of instances was not read")
		return
	}
	addresses := make([]string, 0, len(list))
	for _, i := range list {
		if !i.Leaving {
			addresses = append(addresses, i.Address)
		}
	}
	n.system.Root.Send(n.members, addressesSeen{addresses})
}

// readReport reads one target's load report.
func (n *Node) readReport(t bundle.Target) {
	ctx, cancel := context.WithTimeout(n.serveCalls, reportTimeout)
	defer cancel()
	scheme := "http"
	if n.cfg.TLS != nil && n.cfg.TLS.TargetAuthorities != "" {
		scheme = "https"
	}
	req, err := http.NewRequest(http.MethodGet, scheme+"://"+t.Address+wire.PathLoad, nil)
	if err != nil {
		return
	}
	var report message.LoadReport
	if _, err := get(ctx, n.peers.plain, req, wire.MaxHeaderBytes, &report); err != nil {
		n.log.Debug().Err(err).Str("target", t.Name).Msg("loads: no report")
		return
	}
	if report.Target != t.Name {
		n.log.Warn().Str("target", t.Name).Str("answered", report.Target).Msg("loads: another target answered")
		return
	}
	n.gate.apply(admission.Report{
		Target: t.Name, Incarnation: report.Incarnation, Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving,
	})
	if report.Leaving {
		n.system.Root.Send(n.members, marked{[]message.LeavingMark{{Target: t.Name, Incarnation: report.Incarnation}}})
	}
}
