package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// servedListener accepts connections for an http.Server that may close idle ones. Its observe is
// the server's ConnState.
type servedListener struct {
	net.Listener
	// unanswered counts the connections that brought a request, or a part of one, without an answer yet.
	unanswered atomic.Int64
}

// Accept implements net.Listener.
func (l *servedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &servedConn{Conn: conn, listener: l, idle: true, waiting: true}, nil
}

// observe follows the state of a connection.
func (l *servedListener) observe(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*servedConn); ok {
		c.observe(state)
	}
}

// servedConn is a connection of an http.Server. The server takes it for idle until it has parsed the
// head of a request, and may close it although it has read the request: that would be run or dropped
// without an answer. Such a close has no effect before the request is answered.
type servedConn struct {
	net.Conn
	listener *servedListener

	mu sync.Mutex
	// idle is whether the server takes the connection for idle.
	idle bool
	// waiting is whether the server has read since then. What it read before may be a part of the
	// next request.
	waiting bool
	// requested is whether a part of a request was read that has no whole answer yet.
	requested bool
	// closing is whether a close had no effect yet.
	closing bool
	closed  bool
}

// Read implements net.Conn.
func (c *servedConn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.request() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *servedConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.waiting {
		c.waiting = true
		c.setRequested(false)
		if c.closing {
			// The read that follows fails.
			_ = c.end()
		}
	}
}

// request records that a part of a request was read, and reports whether the connection is open.
func (c *servedConn) request() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.setRequested(true)
	}
	return !c.closed
}

// Close implements net.Conn.
func (c *servedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.requested {
		c.closing = true
		return nil
	}
	return c.end()
}

func (c *servedConn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.idle = false
	case http.StateIdle:
		c.idle, c.waiting = true, false
	case http.StateClosed:
		// A close that had an effect has been reported already.
		_ = c.end()
	}
}

// end closes the connection. The caller must hold the lock.
func (c *servedConn) end() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.setRequested(false)
	return c.Conn.Close()
}

// setRequested sets requested. The caller must hold the lock.
func (c *servedConn) setRequested(requested bool) {
	if c.requested == requested {
		return
	}
	c.requested = requested
	if requested {
		c.listener.unanswered.Add(1)
	} else {
		c.listener.unanswered.Add(-1)
	}
}
