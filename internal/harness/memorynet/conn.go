package memorynet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errReset   = os.NewSyscallError("read", syscall.ECONNRESET)
	errPipe    = os.NewSyscallError("write", syscall.EPIPE)
)

// conn is one end of a connection.
type conn struct {
	host          *Host
	local, remote *net.TCPAddr
	// in holds what the other end sent, out what this end sends.
	in, out *half
	// told is set once the reset was told to whoever touched this end first.
	told          sync.Once
	done          chan struct{}
	close         sync.Once
	read, written deadline
}

// half is one direction of a connection.
type half struct {
	link link

	mu     sync.Mutex
	chunks []chunk
	size   int
	// ended is set when the sender has closed its end, which arrives at endsAt; gone when the reader has.
	ended  bool
	endsAt time.Time
	gone   bool
	// reset is set when the connection was reset.
	reset bool
	// wake is closed and replaced at each change.
	wake chan struct{}
}

// chunk is what one write sent, and when it arrives.
type chunk struct {
	bytes []byte
	at    time.Time
}

func newPair(h *Host, l *listener, port int) (near, far *conn) {
	there := &half{link: link{h.ip, l.host.ip}, wake: make(chan struct{})}
	back := &half{link: link{l.host.ip, h.ip}, wake: make(chan struct{})}
	near = &conn{host: h, local: h.addr(port), remote: l.addr, in: back, out: there, done: make(chan struct{})}
	far = &conn{host: l.host, local: l.addr, remote: near.local, in: there, out: back, done: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.conns[near], h.net.conns[far] = true, true
	return near, far
}

func (c *conn) between(a, b string) bool {
	return c.out.link == link{a, b} || c.out.link == link{b, a}
}

// update changes a direction and wakes whoever waits.
func (h *half) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.wake)
	h.wake = make(chan struct{})
}

// Reset ends the connection at once, in both directions.
func (c *conn) Reset() {
	for _, h := range []*half{c.in, c.out} {
		h.update(func() { h.reset, h.chunks, h.size = true, nil, 0 })
	}
}

// resetError returns the error of an end whose connection was reset: the reset itself for the first operation, then
// later.
func (c *conn) resetError(later error) error {
	err := later
	c.told.Do(func() { err = errReset })
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.usable(&c.read); err != nil {
			return 0, c.opError("read", err)
		}
		l, changed := c.host.net.state(c.in.link)
		n, wait, wake, err := c.in.take(b, l)
		switch {
		case n > 0 || err == io.EOF:
			return n, err
		case err != nil:
			if err = c.resetError(io.EOF); err == io.EOF {
				return 0, err
			}
			return 0, c.opError("read", err)
		}
		c.wait(&c.read, wait, wake, changed)
	}
}

// take takes what has arrived over a link. If nothing has, wait is how long the next arrival takes, 0 if none is under
// way, and wake is closed at the next change.
func (h *half) take(b []byte, l linkState) (n int, wait time.Duration, wake <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reset {
		return 0, 0, nil, errReset
	}
	for len(h.chunks) > 0 && n < len(b) {
		first := &h.chunks[0]
		if wait, arrived := l.arrival(first.at); !arrived {
			return n, wait, h.wake, nil
		}
		copied := copy(b[n:], first.bytes)
		n += copied
		h.size -= copied
		if first.bytes = first.bytes[copied:]; len(first.bytes) == 0 {
			h.chunks = h.chunks[1:]
		}
	}
	switch {
	case n > 0:
		close(h.wake)
		h.wake = make(chan struct{})
		return n, 0, nil, nil
	case len(b) == 0:
		return 0, 0, nil, io.EOF
	case h.ended && len(h.chunks) == 0:
		wait, arrived := l.arrival(h.endsAt)
		if arrived {
			return 0, 0, nil, io.EOF
		}
		return 0, wait, h.wake, nil
	}
	return 0, 0, h.wake, nil
}

// Write implements net.Conn. It returns once all bytes are in the buffer of the connection.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.usable(&c.written); err != nil {
			return written, c.opError("write", err)
		}
		n, wake, err := c.out.put(b[written:], time.Now().Add(c.host.net.way()))
		written += n
		switch {
		case err == errReset:
			return written, c.opError("write", c.resetError(errPipe))
		case err == errPipe:
			// The other end has closed, and answers what comes with a reset.
			c.Reset()
			return len(b), nil
		case written == len(b):
			return written, nil
		}
		_, changed := c.host.net.state(c.out.link)
		c.wait(&c.written, 0, wake, changed)
	}
}

// put adds bytes as far as there is room, which arrive at a time, or after what was sent before.
func (h *half) put(b []byte, at time.Time) (n int, wake <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.reset:
		return 0, nil, errReset
	case h.gone:
		return 0, nil, errPipe
	case h.ended:
		return 0, nil, errReset
	}
	n = min(len(b), bufferSize-h.size)
	if n > 0 {
		if last := len(h.chunks) - 1; last >= 0 && at.Before(h.chunks[last].at) {
			at = h.chunks[last].at
		}
		h.chunks = append(h.chunks, chunk{bytes: append([]byte(nil), b[:n]...), at: at})
		h.size += n
		close(h.wake)
		h.wake = make(chan struct{})
	}
	return n, h.wake, nil
}

// Close implements net.Conn. An end that closes with bytes that it has not read resets the connection.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.close.Do(func() {
		err = nil
		close(c.done)
		c.host.net.forget(c)
		unread := false
		c.in.update(func() { unread, c.in.gone = c.in.size > 0, true })
		if unread {
			c.Reset()
		}
		_ = c.CloseWrite()
	})
	return err
}

// CloseWrite ends what this end sends.
func (c *conn) CloseWrite() error {
	at := time.Now().Add(c.host.net.way())
	c.out.update(func() {
		if c.out.ended {
			return
		}
		c.out.ended, c.out.endsAt = true, at
		if last := len(c.out.chunks) - 1; last >= 0 && at.Before(c.out.chunks[last].at) {
			c.out.endsAt = c.out.chunks[last].at
		}
	})
	return nil
}

// usable returns why an operation of the connection cannot go on.
func (c *conn) usable(d *deadline) error {
	select {
	case <-c.done:
		return net.ErrClosed
	default:
	}
	if at, _ := d.get(); !at.IsZero() && !time.Now().Before(at) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// wait waits for a change, for an arrival after a time, 0 for none, or for the deadline.
func (c *conn) wait(d *deadline, arrival time.Duration, wake, changed <-chan struct{}) {
	at, moved := d.get()
	var timeout <-chan time.Time
	if next, ok := earlier(arrival, at); ok {
		timer := time.NewTimer(next)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-wake:
	case <-changed:
	case <-moved:
	case <-timeout:
	case <-c.done:
	}
}

// earlier returns the time until an arrival or a deadline, whichever comes first; false for neither.
func earlier(arrival time.Duration, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return arrival, arrival > 0
	}
	left := time.Until(deadline)
	if arrival > 0 {
		left = min(left, arrival)
	}
	return left, true
}

// deadline is a time after which operations fail; zero for none.
type deadline struct {
	mu sync.Mutex
	at time.Time
	// moved is closed and replaced when the time is set.
	moved chan struct{}
}

func (d *deadline) get() (time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved == nil {
		d.moved = make(chan struct{})
	}
	return d.at, d.moved
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	if d.moved != nil {
		close(d.moved)
	}
	d.moved = make(chan struct{})
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.written.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.written.set(t)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
