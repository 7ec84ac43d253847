package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Limits of the HTTP servers.
const (
	// readTimeout bounds reading a request with its body. Not measured.
	readTimeout = 30 * time.Second
	// headerTimeout bounds reading a request's header. Not measured.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection stays open. Not measured.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header. Not measured.
	maxHeaderBytes = 64 << 10
)

// sockets are the addresses that a node listens on.
type sockets struct{ callers, peers, admin, ready net.Listener }

// listen opens all sockets, or none.
func listen(cfg *settings.Settings) (*sockets, error) {
	s := &sockets{}
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{
		{&s.callers, cfg.Listen.Callers},
		{&s.peers, cfg.Listen.Peers},
		{&s.admin, cfg.Listen.Admin},
		{&s.ready, cfg.Gateway.Ready},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			s.close()
			return nil, errors.Wrap(err, "listen")
		}
		*l.into = ln
	}
	s.callers = limitConnections(s.callers, callerLimit(cfg.Gateway.Descriptors))
	return s, nil
}

// close closes the sockets that are open. An error cannot matter: nothing has been
// accepted from them.
func (s *sockets) close() {
	for _, ln := range []net.Listener{s.callers, s.peers, s.admin, s.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
