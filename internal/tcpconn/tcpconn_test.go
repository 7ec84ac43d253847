//go:build linux

package tcpconn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// option reads a socket option of TCP.
func option(conn net.Conn, name int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	convey.So(err, convey.ShouldBeNil)
	value := 0
	var failed error
	convey.So(raw.Control(func(fd uintptr) {
		value, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
	}), convey.ShouldBeNil)
	convey.So(failed, convey.ShouldBeNil)
	return value
}

func TestDialer(t *testing.T) {
	convey.Convey("A connection notices when its other end falls silent", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		conn, err := Dialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer conn.Close()
		convey.Convey("by data that stays unacknowledged", func() {
			convey.So(option(conn, tcpUserTimeout), convey.ShouldEqual, SilenceLimit.Milliseconds())
		})
		convey.Convey("by probes while nothing is sent", func() {
			convey.So(option(conn, syscall.TCP_KEEPIDLE), convey.ShouldEqual, probeAfter.Seconds())
			convey.So(option(conn, syscall.TCP_KEEPINTVL), convey.ShouldEqual, probeInterval.Seconds())
			convey.So(option(conn, syscall.TCP_KEEPCNT), convey.ShouldEqual, probes)
		})
	})
}
