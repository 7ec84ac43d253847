package node

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
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
