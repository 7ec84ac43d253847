package tcpconn

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// limitedConn limits silence for as long as data that it sent may be unacknowledged. On a
// connection that is quiet the limit would also decide when probes give up: at the first one that
// finds nothing heard for so long, whatever their count.
type limitedConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	dialer  *Dialer
	address string
	// lost is set once the connection was given up as silent.
	lost atomic.Bool

	mu sync.Mutex
	// limited is whether the limit is in force, and written when something was last sent.
	limited bool
	written time.Time
	// sent is how many bytes were sent, or are about to be.
	sent int64
	// lift looks whether the limit can be lifted, once SilenceLimit after something was sent.
	lift *time.Timer
	// watching is set while watch looks for acknowledgements, from suspectAfter on after the first
	// byte that was sent.
	watching bool
	acks     ackWatch
	watch    *time.Timer
	closed   bool
}

// limitSilence sets SilenceLimit on a socket before it connects.
func limitSilence(_, _ string, c syscall.RawConn) error { return setLimit(c, SilenceLimit) }

// limited returns a connection, to which limitSilence was applied, whose limit is lifted while it is
// quiet, and which is given up when it falls silent.
func (d *Dialer) limited(conn net.Conn, address string) (net.Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{TCPConn: tcp, raw: raw, dialer: d, address: address, limited: true, written: time.Now()}
	d.hosts.add(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lift = time.AfterFunc(SilenceLimit, c.liftIfQuiet)
	c.watch = time.AfterFunc(suspectAfter, c.checkAcks)
	c.watch.Stop()
	return c, nil
}

// Read implements net.Conn. It returns io.EOF only if the other end has got all that was sent: one
// that closes before that resets the connection, and what it sent may be a part.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, io.EOF) && queued(c.raw, unix.TIOCOUTQ) > 0 {
		err = ErrUnread
	}
	return n, c.explain(err)
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.limit(len(b))
	n, err := c.TCPConn.Write(b)
	return n, c.explain(err)
}

// explain returns why a call failed.
func (c *limitedConn) explain(err error) error {
	if err != nil && c.lost.Load() {
		return ErrSilent
	}
	return err
}

// ReadFrom implements io.ReaderFrom by Write, so that the limit is in force up to the last byte.
func (c *limitedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.lift.Stop()
	c.watch.Stop()
	c.mu.Unlock()
	c.dialer.hosts.remove(c)
	return c.TCPConn.Close()
}

// limit puts the limit in force and watches the acknowledgements of n bytes more.
func (c *limitedConn) limit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = time.Now()
	if !c.watching && !c.closed {
		c.watching = true
		c.acks = ackWatch{acked: c.sent, since: c.written}
		c.watch.Reset(suspectAfter)
	}
	c.sent += int64(n)
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
	case queued(c.raw, unix.TIOCOUTQ) > 0:
		c.lift.Reset(probeInterval)
	default:
		_ = setLimit(c.raw, 0)
		c.limited = false
	}
}

// checkAcks looks whether what was sent is acknowledged, and gives the connection up if it has
// fallen silent.
func (c *limitedConn) checkAcks() {
	switch c.observeAcks() {
	case suspected:
		if c.dialer.hosts.beginProbe(c.address) {
			go c.probe()
		}
	case doubtful:
		c.dialer.checkOthers(c.address)
	case silent:
		c.lost.Store(true)
		// It has lost what was sent, so that the error of its end says nothing.
		_ = c.Close()
		c.dialer.checkOthers(c.address)
	case acknowledged, waiting:
	}
}

// observeAcks looks at the acknowledgements, and arranges the next look if there is one.
func (c *limitedConn) observeAcks() ackVerdict {
	upAt := c.dialer.hosts.upAt(c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return acknowledged
	}
	unacknowledged := queued(c.raw, unix.TIOCOUTQ)
	// What the other end has no room for is not sent yet, and says nothing of the connection.
	inFlight := unacknowledged - queued(c.raw, unix.SIOCOUTQNSD)
	verdict, again := c.acks.observe(time.Now(), c.sent-unacknowledged, inFlight, upAt)
	c.watching = verdict != acknowledged && verdict != silent
	if c.watching {
		c.watch.Reset(again)
	}
	return verdict
}

// probe tries a new connection to the same address, and looks at this one again if it comes up.
func (c *limitedConn) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), suspectAfter)
	defer cancel()
	conn, err := c.dialer.dialer.DialContext(ctx, "tcp", c.address)
	c.dialer.hosts.endProbe(c.address, err == nil)
	if err != nil {
		return
	}
	// Nothing was sent on it, so that the error of its end says nothing.
	_ = conn.Close()
	c.checkAcks()
}

// checkOthers probes all open connections because one seems to be silent.
func (d *Dialer) checkOthers(address string) {
	others, due := d.hosts.toCheck()
	if !due {
		return
	}
	d.onSilence(address)
	for _, c := range others {
		// A connection that was closed meanwhile needs no probes.
		_ = c.SetKeepAliveConfig(checkNow())
	}
	time.AfterFunc(checkTime, func() {
		for _, c := range others {
			_ = c.SetKeepAliveConfig(KeepAlive())
		}
	})
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

// queued returns the bytes of a send queue: all that are not acknowledged (unix.TIOCOUTQ), or those
// of them that were not sent yet (unix.SIOCOUTQNSD). It is 0 for a connection that was closed.
func queued(c syscall.RawConn, which uint) int64 {
	n := 0
	err := c.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), which) })
	if err != nil {
		return 0
	}
	return int64(n)
}
