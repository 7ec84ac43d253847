// Package tcpconn makes TCP connections that notice when their other end has fallen
// silent for good: when a path or an instance is lost without a reset, so that new
// connections may work while nothing ever comes back on those that were open.
//
// It owns the bounds of that and nothing else. It relies on the operating system's
// probes and retransmissions, which an instance answers whatever its processes do: a
// target that only works for long does not count as silent. Where the operating system
// has no bound for unacknowledged data, only probes are set.
//
// While an instance accepts new connections, an open one is given up within about a second
// instead of SilenceLimit. What one connection shows is used for the others of the dialer sooner
// than that: they are probed at once, and whoever pools connections is told.
package tcpconn

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// SilenceLimit is for how long data may stay unacknowledged before the connection counts
	// as lost, and what waits on it fails. It is above the seconds for
	// which full links and lost packets hold data up, and well below the ten seconds and
	// more for which a stream's caller would wait in vain.
	SilenceLimit = 3 * time.Second
	// probeAfter is for how long nothing comes on a connection before it is probed, so
	// that idle ones which are lost are gone within probeAfter and probes of probeInterval
	// instead of costing a call each. A fifth of it multiplies the probes of a node with
	// hundreds of idle connections, of 40 bytes each, and requests on links of 10 Mbit/s are
	// late for them. It is above SilenceLimit, which is lifted by then.
	probeAfter = 5 * time.Second
	// probeInterval is the time between two probes.
	probeInterval = time.Second
	// probes is how many may stay unanswered.
	probes = 3
	// checkProbes replaces probes for checkTime while another connection seems to be silent.
	checkProbes = 2
	// checkTime is how long it takes until a connection that does not answer its probes is lost.
	checkTime = probeInterval * (checkProbes + 2)
)

// ErrSilent is the error of calls on a connection that fell silent while new ones came up.
var ErrSilent = errors.New("the connection fell silent")

// ErrUnread is the error of a connection that ended before its other end had got all that was sent.
var ErrUnread = errors.New("the connection ended before all that was sent had arrived")

// Dialer makes such connections.
type Dialer struct {
	dialer net.Dialer
	// over connects instead of the dialer; nil for the dialer.
	over  DialFunc
	hosts *hosts
	// onSilence is called with the address of a connection that seems to be silent.
	onSilence func(address string)
}

// Option changes a Dialer under construction.
type Option func(*Dialer)

// OnSilence sets a function that is called with the address of a connection that seems to be silent
// while new ones come up, at most once in a second. Others that are as old may be silent too, so
// that a pool should close those that nobody uses.
func OnSilence(f func(address string)) Option { return func(d *Dialer) { d.onSilence = f } }

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Over connects with a function instead of TCP. What only TCP tells of a connection is then not noticed.
func Over(dial DialFunc) Option { return func(d *Dialer) { d.over = dial } }

// NewDialer returns a dialer; connecting takes at most timeout.
func NewDialer(timeout time.Duration, opts ...Option) *Dialer {
	d := &Dialer{
		dialer: net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: limitSilence},
		hosts:  newHosts(), onSilence: func(string) {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.over != nil {
		ctx, cancel := context.WithTimeout(ctx, d.dialer.Timeout)
		defer cancel()
		return d.over(ctx, network, address)
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.limited(conn, address)
}

// KeepAlive returns when an idle connection is probed.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probes}
}

// checkNow returns when a connection is probed that may have fallen silent.
func checkNow() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: checkProbes}
}
