package gateway

import (
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/net/netutil"
)

func TestLimitedListener(t *testing.T) {
	convey.Convey("A listener at its limit accepts again when a connection is closed", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		ln := netutil.LimitListener(inner, 1)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", inner.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			return conn
		}
		defer dial().Close()
		defer dial().Close()
		first, err := ln.Accept()
		convey.So(err, convey.ShouldBeNil)
		second := make(chan net.Conn)
		go func() {
			conn, _ := ln.Accept()
			second <- conn
		}()
		select {
		case <-second:
			t.Error("accepted beyond the limit")
		default:
		}
		convey.So(first.Close(), convey.ShouldBeNil)
		convey.So(first.Close(), convey.ShouldNotBeNil)
		conn := <-second
		convey.So(conn, convey.ShouldNotBeNil)
		convey.Convey("and returns from Accept when it is closed", func() {
			ended := make(chan error)
			go func() {
				_, err := ln.Accept()
				ended <- err
			}()
			convey.So(ln.Close(), convey.ShouldBeNil)
			convey.So(<-ended, convey.ShouldNotBeNil)
		})
	})
}
