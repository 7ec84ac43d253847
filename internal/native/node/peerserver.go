package node

import (
	"crypto/subtle"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/wire"
)

// peerServer answers other nodes.
type peerServer struct {
	// key is the key that all nodes share.
	key    string
	gossip *gossip
	// answerer and tickets answer calls for tickets whose home is here.
	answerer *answerer
	tickets  *ticketHome
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathExchange, s.gossip.serveExchange)
	mux.HandleFunc("GET "+wire.PathBundle, s.gossip.serveBundle)
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
