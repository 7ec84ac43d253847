package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	minimumRetry = 200 * time.Millisecond
	bearerPrefix = "Bearer "
	// maxIdentity bounds the identity that a caller may give its request.
	maxIdentity = 128
)

// newServer returns a server. Callers may speak HTTP/2, also without TLS; peers
// and operators speak HTTP/1.1.
func (n *Node) newServer(h http.Handler, callers bool) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	if callers {
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    wire.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return n.serveCalls },
	}
}

// adminHandler only reads: nothing on a live instance can be changed by hand.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathMetrics, n.metrics.handler)
	mux.HandleFunc("GET "+wire.PathState, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, n.State()) })
	mux.HandleFunc("GET "+wire.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+wire.PathReady, n.serveReady)
	return mux
}

// serveReady tells the balancer whether to send work here.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.Phase() != Serving {
		http.Error(w, n.Phase().String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathExchange, n.serveExchange)
	mux.HandleFunc("GET "+wire.PathBundle, n.serveBundle)
	mux.HandleFunc("POST "+wire.PathForward+"{pipeline}", n.serveForwarded)
	mux.HandleFunc("GET "+wire.PathForward+"tickets/{ticket}", n.serveForwardedLook)
	return n.authenticatePeer(mux)
}

// authenticatePeer lets in only who holds the key that all nodes share.
func (n *Node) authenticatePeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := bearerOf(r)
		if subtle.ConstantTimeCompare([]byte(key), []byte(n.cfg.Keys.Peer)) != 1 {
			http.Error(w, "unauthorised", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearerOf(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// serveExchange takes in a peer's word and answers with this node's.
func (n *Node) serveExchange(w http.ResponseWriter, r *http.Request) {
	var word message.Exchange
	if err := readJSON(w, r, &word); err != nil {
		http.Error(w, "bad exchange", http.StatusBadRequest)
		return
	}
	reply, err := n.ask(n.members, describePeers{})
	view, ok := reply.(peerView)
	if err != nil || !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	own := n.word(view.view, newRand())
	go func() {
		ctx, cancel := context.WithTimeout(n.serveCalls, peerTimeout)
		defer cancel()
		n.takeWord(ctx, word)
	}()
	writeJSON(w, http.StatusOK, own)
}

// serveBundle answers with what leads to the newest verified bundle: a step
// from the one whose digest the query "from" names, or the whole.
func (n *Node) serveBundle(w http.ResponseWriter, r *http.Request) {
	reply, err := n.ask(n.bundles, describeBundle{})
	b, ok := reply.(bundleState)
	if err != nil || !ok || b.state.Newest() == nil {
		http.Error(w, "no bundle", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, b.history.Transfer(r.URL.Query().Get("from")))
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) error {
	raw, err := readBody(w, r)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// readBody reads a body that is bounded in size and time. The error is a
// *verdict.Error. The deadline is lifted afterwards: net/http ends the context
// of a request whose read deadline passes while it is served, and would cut
// long streams.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxRequestBytes))
	if err == nil {
		return raw, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", wire.MaxRequestBytes)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body did not come whole").WithCause(err)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	writeRaw(w, status, raw)
}

func writeRaw(w http.ResponseWriter, status int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// refusalOf is an error as callers see it.
func refusalOf(id string, e *verdict.Error) message.Refusal {
	return message.Refusal{
		Request: id, Verdict: message.RefusalVerdict(e.Verdict().String()), Reason: string(e.Reason()), Text: e.Text(),
		SafeToRetry: e.SafeToRetry(), RetryAfterMs: int(e.RetryAfter().Milliseconds()), Stage: e.Stage(),
	}
}

// statusOf maps a reason to an HTTP status.
func statusOf(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonUnauthorised:
		return http.StatusUnauthorized
	case verdict.ReasonNotFound:
		return http.StatusNotFound
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonTicketNeeded:
		return http.StatusPreconditionRequired
	case verdict.ReasonTicketSpent, verdict.ReasonTicketInvalid:
		return http.StatusConflict
	case verdict.ReasonTicketExpired, verdict.ReasonHomeGone:
		return http.StatusGone
	case verdict.ReasonLimit:
		return http.StatusTooManyRequests
	case verdict.ReasonOverload, verdict.ReasonNotReady, verdict.ReasonLeaving, verdict.ReasonNoTarget:
		return http.StatusServiceUnavailable
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusBadGateway
}

// refusalHeaders sets what every refusal carries.
func refusalHeaders(h http.Header, e *verdict.Error) {
	h.Set(wire.HeaderVerdict, e.Verdict().String())
	if after := e.RetryAfter(); after > 0 {
		seconds := int((after + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	// The official OpenAI clients re-send failed calls by themselves unless this
	// header forbids it.
	if !e.SafeToRetry() {
		h.Set("X-Should-Retry", "false")
	}
	if e.Reason() == verdict.ReasonLeaving {
		h.Set("Connection", "close")
	}
}
