// Package tcpconn makes TCP connections that notice when their other end has fallen
// silent for good: when a path or an instance is lost without a reset, so that new
// connections may work while nothing ever comes back on those that were open.
//
// It owns the bounds of that and nothing else. It relies on the operating system's
// probes and retransmissions, which an instance answers whatever its processes do: a
// target that only works for long does not count as silent. Where the operating system
// has no bound for unacknowledged data, only probes are set.
package tcpconn

import (
	"context"
	"net"
	"time"
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
)

// Dialer makes such connections.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer; connecting takes at most timeout.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: limitSilence}}
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return limited(conn)
}

// KeepAlive returns when an idle connection is probed.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probes}
}
