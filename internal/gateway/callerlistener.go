package gateway

import (
	"net"
	"sync/atomic"
)

// callerListener accepts the connections of callers, but for those that are turned away, and counts
// their bytes. turnsAway and metrics are set before the first call of Accept.
type callerListener struct {
	net.Listener
	metrics   *metrics
	turnsAway func() bool
	// bytes is what callers sent and received.
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.turnsAway() {
			reset(conn)
			continue
		}
		l.metrics.callerConnections.Inc(1)
		return &callerConn{Conn: conn, listener: l}, nil
	}
}

// reset closes a connection so that the caller learns at once that nothing was read.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// It fails only when the connection is gone.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// count counts bytes that passed.
func (l *callerListener) count(n int) {
	l.bytes.Add(int64(n))
	l.metrics.callerBytes.Inc(int64(n))
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.count(n)
	return n, err
}
