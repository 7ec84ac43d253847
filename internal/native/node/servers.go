package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/requesttarget"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Timeouts of the servers; none was measured.
const (
	// readHeaderTimeout bounds the time that a client takes to send its headers.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is how long a server keeps an unused connection open.
	serverIdleTimeout = 60 * time.Second
	// shutdownTimeout is how long the end of a planned stop waits for the servers
	// together. The calls have ended or are cut by then.
	shutdownTimeout = time.Second
)

// server is one listener with what serves its connections.
type server struct {
	listener net.Listener
	http     *http.Server
}

// address returns the address that the server listens on.
func (s *server) address() string { return s.listener.Addr().String() }

// servers are the three servers of a node, in the order in which they start and
// stop.
type servers struct {
	callers server
	peers   server
	admin   server
	// calls is the context of all calls served; cutCalls ends it.
	calls    context.Context
	cutCalls context.CancelFunc
	log      zerolog.Logger
}

// listen opens the listeners. Connections of peers are counted.
func listen(addresses settings.Listen, traffic *controlTraffic, log zerolog.Logger) (*servers, error) {
	s := &servers{log: log}
	s.calls, s.cutCalls = context.WithCancel(context.Background())
	var err error
	if s.callers.listener, err = net.Listen("tcp", addresses.Callers); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if s.peers.listener, err = net.Listen("tcp", addresses.Peers); err != nil {
		s.closeListeners()
		return nil, errors.Wrap(err, "listen for peers")
	}
	s.peers.listener = traffic.listener(s.peers.listener)
	if s.admin.listener, err = net.Listen("tcp", addresses.Admin); err != nil {
		s.closeListeners()
		return nil, errors.Wrap(err, "listen for operators")
	}
	return s, nil
}

func (s *servers) all() []*server { return []*server{&s.callers, &s.peers, &s.admin} }

// closeListeners gives up the addresses of a node that could not be created.
func (s *servers) closeListeners() {
	for _, srv := range s.all() {
		if srv.listener != nil {
			_ = srv.listener.Close() // no connection was accepted
		}
	}
}

// secure puts TLS around the listeners that have a configuration.
func (s *servers) secure(c *tlsConfigs) {
	if c.callers != nil {
		s.callers.listener = tls.NewListener(s.callers.listener, c.callers)
	}
	if c.peers != nil {
		s.peers.listener = tls.NewListener(s.peers.listener, c.peers)
	}
}

// handle sets what answers the calls. Callers may speak HTTP/2, also without TLS;
// peers and operators speak HTTP/1.1.
func (s *servers) handle(callers, peers, admin http.Handler) {
	s.callers.http = s.newServer(requesttarget.Require(callers))
	s.callers.http.Protocols.SetHTTP2(true)
	s.callers.http.Protocols.SetUnencryptedHTTP2(true)
	s.peers.http = s.newServer(peers)
	s.admin.http = s.newServer(admin)
}

func (s *servers) newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    wire.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return s.calls },

		DisableGeneralOptionsHandler: true,
	}
}

// start serves until shutdown or kill.
func (s *servers) start() {
	for _, srv := range s.all() {
		go func() {
			if err := srv.http.Serve(srv.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				s.log.Error().Err(err).Str("address", srv.address()).Msg("node: a server ended")
			}
		}()
	}
}

// shutdown closes the servers after their calls, or after shutdownTimeout.
func (s *servers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, srv := range s.all() {
		if srv.http.Shutdown(ctx) != nil {
			_ = srv.http.Close() // all that is left to do
		}
	}
}

// kill drops every connection and finishes nothing.
func (s *servers) kill() {
	for _, srv := range s.all() {
		_ = srv.http.Close() // as after a crash, nobody looks at it
	}
	s.cutCalls()
}
