package delivery

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// cutConn is a connection whose target answers early and then ends it. What a write gets of that end
// is not reported to a read any more.
type cutConn struct {
	net.Conn
	answer io.Reader
	// body is the length of the request's body, and accepts how many bytes are accepted before writes
	// take the outcome.
	body, accepts int
	outcome       writeOutcome
	got           []byte
	// writing is closed when the write that takes the outcome begins, or has got the whole request;
	// failed when one has failed,
	// ended when the target has ended the connection, and closed when this side has closed it.
	writing, failed, ended, closed chan struct{}
}

// writeOutcome is what becomes of a write while the target ends the connection.
type writeOutcome int

const (
	writeSucceeds writeOutcome = iota
	// writeFailsFirst fails once the head of the answer was read, and before the end is.
	writeFailsFirst
	// writeFailsLater is in progress when the end is read, and fails then.
	writeFailsLater
	// writeHangs is in progress until the connection is closed.
	writeHangs
	// writeEndsLater is in progress when the end is read, and succeeds then.
	writeEndsLater
)

func newCutConn(answer string, body, accepts int, outcome writeOutcome) *cutConn {
	return &cutConn{
		answer: strings.NewReader(answer), body: body, accepts: accepts, outcome: outcome,
		writing: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.outcome == writeSucceeds {
		c.got = append(c.got, b...)
		if end := bytes.Index(c.got, []byte(headEnd)); end >= 0 && len(c.got) == end+len(headEnd)+c.body {
			close(c.writing)
		}
		return len(b), nil
	}
	if c.accepts >= len(b) {
		c.accepts -= len(b)
		return len(b), nil
	}
	close(c.writing)
	switch c.outcome {
	case writeFailsFirst:
		time.Sleep(20 * time.Millisecond)
		close(c.failed)
	case writeFailsLater, writeEndsLater:
		<-c.ended
		time.Sleep(10 * time.Millisecond)
	case writeHangs:
		<-c.closed
	}
	if c.outcome == writeEndsLater {
		return len(b), nil
	}
	return 0, syscall.ECONNRESET
}

func (c *cutConn) Read(b []byte) (int, error) {
	<-c.writing
	if n, _ := c.answer.Read(b); n > 0 {
		return n, nil
	}
	if c.outcome == writeFailsFirst {
		<-c.failed
	}
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
	return 0, io.EOF
}

func (c *cutConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

func (c *cutConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *cutConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// fixedPath connects to one connection.
type fixedPath struct{ conn net.Conn }

func (p fixedPath) Direct(context.Context, Target) (net.Conn, error) { return p.conn, nil }
func (p fixedPath) Detour(context.Context, Target) (net.Conn, error) { return p.conn, nil }
func (p fixedPath) Broken(Target) bool                               { return false }
func (p fixedPath) OnSilence(Target, func()) func()                  { return func() {} }
func (p fixedPath) HasEnded(context.Context, Target) bool            { return false }

// TestEarlyAnswerOfACutUpload guards against a part of an answer that counts as the whole: the
// target answered an upload at once without a length and reset the connection, the reset was
// reported to the write of the upload, and the read ended as after an orderly close.
func TestEarlyAnswerOfACutUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nIdentity: a\r\n"
	for name, c := range map[string]struct {
		head    string
		body    int
		accepts int
		outcome writeOutcome
		whole   bool
	}{
		"a write failed":                              {head, 300_000, 100_000, writeFailsFirst, false},
		"a write is about to fail":                    {head, 300_000, 100_000, writeFailsLater, false},
		"the write of all that was left fails":        {head, 3000, 100, writeFailsLater, false},
		"a write does not end":                        {head, 300_000, 100_000, writeHangs, false},
		"the request was written whole":               {head, 300_000, 0, writeSucceeds, true},
		"the write of all that was left is not over":  {head, 3000, 100, writeEndsLater, true},
		"a request without a body was written whole":  {head, 0, 0, writeSucceeds, true},
		"the answer had a length and came whole":      {head + "Content-Length: 4\r\n", 300_000, 100_000, writeFailsLater, true},
		"the answer had chunks and came whole":        {head + "Transfer-Encoding: chunked\r\n", 300_000, 100_000, writeFailsLater, true},
		"the answer had a length, and a part came of": {head + "Content-Length: 9\r\n", 300_000, 100_000, writeFailsFirst, false},
	} {
		convey.Convey("If the connection ends and "+name, t, func() {
			answer := c.head + "\r\npart"
			if strings.Contains(c.head, "chunked") {
				answer = c.head + "\r\n4\r\npart\r\n0\r\n\r\n"
			}
			client := New()
			client.UsePaths(fixedPath{newCutConn(answer, c.body, c.accepts, c.outcome)})
			req, err := http.NewRequest(http.MethodPost, "http://target/", struct{ io.Reader }{bytes.NewReader(make([]byte, c.body))})
			convey.So(err, convey.ShouldBeNil)
			req.ContentLength = int64(c.body)
			if c.body == 0 {
				req.Body = http.NoBody
			}
			begun := time.Now()
			resp, _, failure := client.Exchange(req, Sending{Identity: "a", IdentityHeader: "Identity", Permit: permit})
			convey.So(failure, convey.ShouldBeNil)
			body, failure := client.ReadWhole(resp, 1000)
			convey.So(failure == nil, convey.ShouldEqual, c.whole)
			convey.So(time.Since(begun), convey.ShouldBeLessThan, 2*time.Second)
			if c.whole {
				convey.So(string(body.Bytes()), convey.ShouldEqual, "part")
			}
			_ = resp.Body.Close() // it was read
		})
	}
}
