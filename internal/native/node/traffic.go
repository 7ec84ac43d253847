package node

import (
	"context"
	"net"
	"sync/atomic"
)

// controlTraffic counts the bytes of control traffic: what passes between nodes,
// and what a node reads from the platform and from targets about themselves.
type controlTraffic struct{ bytes atomic.Int64 }

// dial opens a counted connection.
func (t *controlTraffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &t.bytes}, nil
}

// listener returns a listener whose connections are counted.
func (t *controlTraffic) listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, bytes: &t.bytes}
}

// countedConn counts the bytes of one connection.
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
