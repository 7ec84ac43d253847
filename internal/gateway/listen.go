package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Limits of the HTTP servers.
const (
	// readTimeout bounds reading a request with its body: the largest body allowed over a
	// link of some Mbit/s.
	readTimeout = 30 * time.Second
	// headerTimeout bounds reading a request's header, so that connections that send
	// nothing end.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection stays open: longer than callers and
	// members keep theirs, so that they close first.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header: far above what the catalog allows, which
	// the adapter checks.
	maxHeaderBytes = 64 << 10
)

const (
	// callerDescriptorShare is the part of the process's descriptors that callers may take; the rest
	// is for targets, members and the source, of which a node of 295 had 1,150 connections
	// at most.
	callerDescriptorShare = 0.6
	// defaultDescriptors is assumed when the settings name none: the usual limit of a
	// process on Linux.
	defaultDescriptors = 1024
)

// listeners are the addresses that a node listens on.
type listeners struct{ callers, peers, admin, ready net.Listener }

// listen opens all sockets, or none.
func listen(cfg *settings.Settings) (*listeners, error) {
	s := &listeners{}
	for _, l := range []struct {
		listener *net.Listener
		address  string
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
		*l.listener = ln
	}
	// Connections beyond the limit wait in the system's queue.
	s.callers = netutil.LimitListener(s.callers, maxCallerConnections(cfg.Gateway.Descriptors))
	return s, nil
}

// close closes the sockets that are open. An error cannot matter: nothing has been
// accepted from them.
func (s *listeners) close() {
	for _, ln := range []net.Listener{s.callers, s.peers, s.admin, s.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// maxCallerConnections decides how many connections callers may have open, by the file
// descriptors of the process; 0 for unknown. Too many leave the node without
// connections to targets, members and the source; too few make callers wait.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return int(callerDescriptorShare * float64(descriptors))
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
