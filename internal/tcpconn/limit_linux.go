package tcpconn

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitedConn limits silence for as long as data that it sent may be unacknowledged. On a
// connection that is quiet the limit would also decide when probes give up: at the first one that
// finds nothing heard for so long, whatever their count.
type limitedConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu sync.Mutex
	// limited is whether the limit is in force, and written when something was last sent.
	limited bool
	written time.Time
	// lift looks whether the limit can be lifted, once SilenceLimit after something was sent.
	lift *time.Timer
}

// limitSilence sets SilenceLimit on a socket before it connects.
func limitSilence(_, _ string, c syscall.RawConn) error { return setLimit(c, SilenceLimit) }

// limited returns a connection, to which limitSilence was applied, whose limit is lifted while it is
// quiet.
func limited(conn net.Conn) (net.Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{TCPConn: tcp, raw: raw, limited: true, written: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lift = time.AfterFunc(SilenceLimit, c.liftIfQuiet)
	return c, nil
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.limit()
	return c.TCPConn.Write(b)
}

// ReadFrom implements io.ReaderFrom by Write, so that the limit is in force up to the last byte.
func (c *limitedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.mu.Lock()
	c.lift.Stop()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// limit puts the limit in force.
func (c *limitedConn) limit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = time.Now()
	if c.limited {
		return
	}
	// Without the limit, probes alone notice that the connection is lost.
	_ = setLimit(c.raw, SilenceLimit)
	c.limited = true
	c.lift.Reset(SilenceLimit)
}

// liftIfQuiet lifts the limit if nothing was sent for SilenceLimit and all is acknowledged, and
// looks again later otherwise.
func (c *limitedConn) liftIfQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch quiet := time.Since(c.written); {
	case quiet < SilenceLimit:
		c.lift.Reset(SilenceLimit - quiet)
	case unacknowledged(c.raw):
		c.lift.Reset(probeInterval)
	default:
		_ = setLimit(c.raw, 0)
		c.limited = false
	}
}

// setLimit sets the most time for which data may stay unacknowledged; 0 for no limit.
func setLimit(c syscall.RawConn, limit time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// unacknowledged reports whether data is unacknowledged. It is false for a connection that was
// closed.
func unacknowledged(c syscall.RawConn) bool {
	queued := 0
	err := c.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err == nil && queued > 0
}
