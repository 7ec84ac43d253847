package gateway

import (
	"net"
	"sync"
)

const (
	// callerShare is the part of the process's descriptors that callers may take;
	// the rest is for targets, members and the source. Set with 1c74174, not measured.
	callerShare = 0.6
	// defaultDescriptors is assumed when the settings name none: the usual limit of a
	// process on Linux.
	defaultDescriptors = 1024
)

// limitedListener accepts no connection while as many as allowed are open. Further
// ones wait in the system's queue.
type limitedListener struct {
	net.Listener
	free chan struct{}
	// closed ends an Accept that waits for a connection to end.
	closed chan struct{}
	once   sync.Once
}

func limitConnections(ln net.Listener, n int) net.Listener {
	return &limitedListener{Listener: ln, free: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.free })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn makes room for another connection when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// callerLimit decides how many connections callers may have open, by the file
// descriptors of the process; 0 for unknown. Too many leave the node without
// connections to targets, members and the source; too few make callers wait.
func callerLimit(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return int(callerShare * float64(descriptors))
}
