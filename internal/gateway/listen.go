package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// Limits of the HTTP servers.
const (
	// readTimeout bounds reading a request with its body: the largest allowed body over a
	// link of a few Mbit/s.
	readTimeout = 30 * time.Second
	// headerTimeout bounds reading a request's header, so that connections that send nothing
	// are closed.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection stays open. It is longer than callers and
	// members keep theirs, so that they close first.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header. It is far above the limit of the catalog,
	// which the adapter enforces.
	maxHeaderBytes = 64 << 10
)

const (
	// callerDescriptorShare is the fraction of the process's file descriptors that callers
	// may use. The rest is for targets, members and the source, to which a node among 295 had
	// at most 1,150 connections.
	callerDescriptorShare = 0.6
	// defaultDescriptors is assumed if the settings name no number: the usual limit of a
	// Linux process.
	defaultDescriptors = 1024
)

// listeners are the node's listeners.
type listeners struct {
	callers, peers, admin, ready net.Listener
	// intake is the listener below the limit of callers, and served the one above it.
	intake *callerListener
	served *servedListener
}

// listenFunc listens on an address.
type listenFunc func(address string) (net.Listener, error)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listen opens all listeners with a function, or none.
func listen(cfg *settings.Settings, open listenFunc) (*listeners, error) {
	ls := &listeners{}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&ls.callers, cfg.Listen.Callers},
		{&ls.peers, cfg.Listen.Peers},
		{&ls.admin, cfg.Listen.Admin},
		{&ls.ready, cfg.Gateway.Ready},
	} {
		ln, err := open(l.address)
		if err != nil {
			ls.close()
			return nil, errors.Wrap(err, "listen")
		}
		*l.listener = ln
	}
	// Connections beyond the limit wait in the kernel's accept queue.
	ls.intake = &callerListener{Listener: ls.callers}
	ls.served = &servedListener{Listener: netutil.LimitListener(ls.intake, maxCallerConnections(cfg.Gateway.Descriptors))}
	ls.callers = ls.served
	return ls, nil
}

// close closes the open listeners. Errors are ignored: no connection has been accepted yet.
func (ls *listeners) close() {
	for _, ln := range []net.Listener{ls.callers, ls.peers, ls.admin, ls.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// maxCallerConnections decides how many connections callers may have open. Input: the number
// of file descriptors of the process; 0 if unknown. Too many leave the node without
// connections to targets, members and the source; too few make callers wait.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return saturate.Int(callerDescriptorShare * float64(descriptors))
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// An answer of the server's own to "OPTIONS *" would look like one of a target.
		DisableGeneralOptionsHandler: true,
	}
}
