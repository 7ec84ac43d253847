package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// holdingListener holds up reads that have brought bytes.
type holdingListener struct {
	net.Listener
	holds         atomic.Bool
	read, release chan struct{}
}

// Accept implements net.Listener.
func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return holdingConn{conn, l}, nil
}

type holdingConn struct {
	net.Conn
	listener *holdingListener
}

// Read implements net.Conn.
func (c holdingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.listener.holds.CompareAndSwap(true, false) {
		c.listener.read <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// servedSite is a server whose idle connections are closed, and a kept connection to it.
type servedSite struct {
	server *http.Server
	served *servedListener
	// below holds up reads before the served connection has them, above afterwards.
	below, above *holdingListener
	conn         net.Conn
	// idle gets a value each time that the server takes the connection for idle, before it reads.
	idle    chan struct{}
	answers *bufio.Reader
	runs    atomic.Int64
}

func newServedSite(t *testing.T) *servedSite {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	s := &servedSite{idle: make(chan struct{}), below: &holdingListener{Listener: ln, read: make(chan struct{}), release: make(chan struct{})}}
	s.served = &servedListener{Listener: s.below}
	s.above = &holdingListener{Listener: s.served, read: make(chan struct{}), release: make(chan struct{})}
	s.server = newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	s.server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.served.observe(conn.(holdingConn).Conn, state)
		if state == http.StateIdle {
			s.idle <- struct{}{}
		}
	}
	go func() { _ = s.server.Serve(s.above) }()
	t.Cleanup(func() { _ = s.server.Close() })
	s.conn, err = net.Dial("tcp", ln.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() { _ = s.conn.Close() })
	convey.So(s.conn.SetDeadline(time.Now().Add(10*time.Second)), convey.ShouldBeNil)
	s.answers = bufio.NewReader(s.conn)
	s.write(servedHead, servedRest)
	s.shouldAnswer()
	<-s.idle
	return s
}

const (
	servedHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Le"
	servedRest = "ngth: 4\r\n\r\nbody"
)

func (s *servedSite) write(texts ...string) {
	for _, text := range texts {
		_, err := io.WriteString(s.conn, text)
		convey.So(err, convey.ShouldBeNil)
	}
}

// closeIdle closes idle connections while a read is held up, which goes on afterwards.
func (s *servedSite) closeIdle(held *holdingListener) {
	<-held.read
	s.server.SetKeepAlivesEnabled(false)
	held.release <- struct{}{}
}

func (s *servedSite) shouldAnswer() {
	resp, err := http.ReadResponse(s.answers, nil)
	convey.So(err, convey.ShouldBeNil)
	body, err := io.ReadAll(resp.Body)
	convey.So(err, convey.ShouldBeNil)
	convey.So(fmt.Sprint(resp.StatusCode, " ", string(body)), convey.ShouldEqual, "200 body")
}

// shouldClose holds that the connection ends, and that nothing counts as unanswered then.
func (s *servedSite) shouldClose() {
	_, err := s.answers.ReadByte()
	convey.So(err, convey.ShouldNotBeNil)
	for s.served.unanswered.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestRequestsReadAsIdleConnectionsClose guards against requests that were read and are run or dropped
// without an answer, because their connections counted as idle when these were closed.
func TestRequestsReadAsIdleConnectionsClose(t *testing.T) {
	convey.Convey("Given a kept connection as idle ones are closed", t, func() {
		s := newServedSite(t)
		convey.Convey("a request that was read is answered", func() {
			s.above.holds.Store(true)
			s.write(servedHead + servedRest)
			s.closeIdle(s.above)
			s.shouldAnswer()
			s.shouldClose()
		})
		convey.Convey("a request whose head was read in part is answered", func() {
			s.above.holds.Store(true)
			s.write(servedHead)
			s.closeIdle(s.above)
			s.write(servedRest)
			s.shouldAnswer()
			s.shouldClose()
		})
		convey.Convey("a request that comes after the close is not run", func() {
			s.below.holds.Store(true)
			s.write(servedHead + servedRest)
			s.closeIdle(s.below)
			s.shouldClose()
			convey.So(s.runs.Load(), convey.ShouldEqual, 1)
		})
		convey.Convey("a request that was sent with the one before is answered", func() {
			s.above.holds.Store(true)
			s.write(servedHead + servedRest + servedHead + servedRest)
			<-s.above.read
			s.above.release <- struct{}{}
			s.shouldAnswer()
			<-s.idle
			s.shouldAnswer()
			<-s.idle
			s.server.SetKeepAlivesEnabled(false)
			s.shouldClose()
		})
		convey.Convey("a connection without a request is closed at once", func() {
			s.server.SetKeepAlivesEnabled(false)
			s.shouldClose()
		})
	})
	convey.Convey("A close just before the server waits for the next request ends the wait", t, func() {
		conn, client := net.Pipe()
		defer func() { _ = client.Close() }()
		served := &servedListener{}
		c := &servedConn{Conn: conn, listener: served}
		convey.So(c.request(), convey.ShouldBeTrue)
		c.observe(http.StateIdle)
		convey.So(c.Close(), convey.ShouldBeNil)
		convey.So(served.unanswered.Load(), convey.ShouldEqual, 1)
		_, err := c.Read(make([]byte, 1))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(served.unanswered.Load(), convey.ShouldEqual, 0)
	})
}
