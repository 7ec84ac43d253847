//go:build !linux

package tcpconn

import (
	"net"
	"syscall"
)

// limitSilence sets nothing: probes alone notice a connection that was lost.
func limitSilence(string, string, syscall.RawConn) error { return nil }

// limited returns the connection.
func limited(conn net.Conn) (net.Conn, error) { return conn, nil }
