package node

import (
	"context"
	"net"
	"sync/atomic"
)

// countedConn counts the bytes of control traffic.
type countedConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func countedDial(bytes *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, bytes: bytes}, nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener

	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: l.bytes}, nil
}
