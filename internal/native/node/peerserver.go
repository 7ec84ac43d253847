package node

import (
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// peerServer answers other nodes.
type peerServer struct {
	// key is the key that all nodes share.
	key     string
	gossip  *gossip
	bundles *bundles
	members *members
	// answerer and tickets answer calls for tickets whose home is here.
	answerer *answerer
	tickets  *ticketHome
	log      zerolog.Logger
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathExchange, s.serveExchange)
	mux.HandleFunc("GET "+wire.PathBundle, s.serveBundle)
	mux.HandleFunc("POST "+wire.PathForward+"{pipeline}", s.answerer.counted(s.tickets.serveForwarded))
	mux.HandleFunc("GET "+wire.PathForward+"tickets/{ticket}", s.answerer.counted(s.tickets.serveForwardedLook))
	return s.authenticate(mux)
}

// authenticate refuses callers that do not hold the nodes' key.
func (s *peerServer) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := bearerOf(r)
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.key)) != 1 {
			http.Error(w, "unauthorised", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveExchange answers a peer's update with this node's, which it takes before
// the peer's is accepted.
func (s *peerServer) serveExchange(w http.ResponseWriter, r *http.Request) {
	var update message.Exchange
	if err := readJSON(w, r, &update); err != nil {
		http.Error(w, "bad exchange", http.StatusBadRequest)
		return
	}
	view, err := s.members.view()
	if err != nil {
		s.log.Warn().Err(err).Str("peer", update.Node).Msg("members: no answer to an exchange")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	own := s.gossip.update(view, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	go func() {
		ctx, cancel := context.WithTimeout(s.gossip.calls, peerTimeout)
		defer cancel()
		s.gossip.accept(ctx, update)
	}()
	writeJSON(w, http.StatusOK, own)
}

// serveBundle answers with what leads to the newest verified bundle: a step
// from the one whose digest the query "from" names, or the whole.
func (s *peerServer) serveBundle(w http.ResponseWriter, r *http.Request) {
	b, err := s.bundles.describe()
	if err != nil {
		s.log.Warn().Err(err).Msg("bundle: not passed to a peer")
	}
	if err != nil || b.state.Newest() == nil {
		http.Error(w, "no bundle", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, b.history.Transfer(r.URL.Query().Get("from")))
}
