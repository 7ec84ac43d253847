package delivery

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// sinkConn takes all that is written until it is closed.
type sinkConn struct {
	net.Conn
	closed atomic.Bool
}

// Write implements net.Conn.
func (c *sinkConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *sinkConn) Close() error {
	c.closed.Store(true)
	return nil
}

func permit() error { return nil }

// TestFailureOfACallBeforeTheNext guards against a call that ran and counts as not run: it was given up
// as its answer came, and the transport had given its connection to another call that had written nothing.
func TestFailureOfACallBeforeTheNext(t *testing.T) {
	convey.Convey("A call that is given up after its connection carries the next one may have run", t, func() {
		conn := &guardedConn{Conn: &sinkConn{}}
		var call, next attempt
		call.take(conn, arming{check: permit})
		_, err := conn.Write([]byte("call"))
		convey.So(err, convey.ShouldBeNil)
		next.take(conn, arming{check: permit})
		req, _ := http.NewRequest(http.MethodPost, "http://host", http.NoBody)
		convey.So(call.failure(req, errors.New("given up")).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.Convey("and the next one goes on, as the last", func() {
			_, err := conn.Write([]byte("next"))
			convey.So(err, convey.ShouldBeNil)
			var third attempt
			third.take(conn, arming{check: permit})
			_, err = conn.Write([]byte("third"))
			convey.So(err, convey.ShouldEqual, errSealed)
		})
	})
}

// TestSpoilBesideTheNextCall guards against a connection that is closed under a call which the transport
// gives it to at the same moment.
func TestSpoilBesideTheNextCall(t *testing.T) {
	convey.Convey("A call either writes nothing on a spoilt connection or keeps it", t, func() {
		broken := 0
		for range 100_000 {
			sink := &sinkConn{}
			conn := &guardedConn{Conn: sink}
			var call, next attempt
			call.take(conn, arming{check: permit})
			answered := call.answered(http.StatusConflict, "id")
			var begun error
			var both sync.WaitGroup
			both.Go(func() {
				next.take(conn, arming{check: permit})
				_, begun = conn.Write([]byte("next"))
			})
			both.Go(answered.Spoil)
			both.Wait()
			if begun == nil && sink.closed.Load() {
				broken++
			}
		}
		convey.So(broken, convey.ShouldEqual, 0)
	})
}
