//go:build !linux

package tcpconn

import (
	"net"
	"syscall"
)

// limitSilence sets nothing: probes alone notice a connection that was lost.
func limitSilence(string, string, syscall.RawConn) error { return nil }

// limitedConn is not used.
type limitedConn struct{ address string }

// limited returns the connection.
func (d *Dialer) limited(conn net.Conn, _ string) (net.Conn, error) { return conn, nil }
