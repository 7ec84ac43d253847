//go:build linux

package tcpconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// option reads a socket option of TCP.
func option(conn net.Conn, name int) int {
	raw := conn.(*limitedConn).raw
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
		conn, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer conn.Close()
		convey.Convey("by data that stays unacknowledged", func() {
			convey.So(option(conn, unix.TCP_USER_TIMEOUT), convey.ShouldEqual, SilenceLimit.Milliseconds())
		})
		convey.Convey("by probes while nothing is sent", func() {
			convey.So(option(conn, syscall.TCP_KEEPIDLE), convey.ShouldEqual, probeAfter.Seconds())
			convey.So(option(conn, syscall.TCP_KEEPINTVL), convey.ShouldEqual, probeInterval.Seconds())
			convey.So(option(conn, syscall.TCP_KEEPCNT), convey.ShouldEqual, probes)
		})
	})
}

// TestLimitOfQuietConnections guards against a limit of unacknowledged data that stays in force on
// a connection that is quiet, and against one that is not in force while data is unacknowledged.
func TestLimitOfQuietConnections(t *testing.T) {
	convey.Convey("Given a connection", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		conn, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer conn.Close()
		other, err := ln.Accept()
		convey.So(err, convey.ShouldBeNil)
		defer other.Close()
		inForce := func() bool { return option(conn, unix.TCP_USER_TIMEOUT) == int(SilenceLimit.Milliseconds()) }
		convey.Convey("the limit is lifted when nothing was sent for its time, and in force again once something is", func() {
			_, err := conn.Write([]byte("x"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(inForce(), convey.ShouldBeTrue)
			time.Sleep(SilenceLimit + probeInterval/2)
			convey.So(option(conn, unix.TCP_USER_TIMEOUT), convey.ShouldEqual, 0)
			_, err = conn.Write([]byte("x"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(inForce(), convey.ShouldBeTrue)
		})
		convey.Convey("it stays in force while the other end has not taken what was sent", func() {
			convey.So(conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), convey.ShouldBeNil)
			_, err := conn.Write(make([]byte, 64<<20))
			convey.So(err, convey.ShouldNotBeNil)
			time.Sleep(SilenceLimit + probeInterval/2)
			convey.So(inForce(), convey.ShouldBeTrue)
		})
	})
}

// TestPauseOfTheOtherEnd guards against connections that are lost because their other end paused
// for a second while nothing was sent: with a limit of unacknowledged data, the operating system
// gives a connection up at the first probe that finds nothing heard for that long, whatever the
// count of probes.
func TestPauseOfTheOtherEnd(t *testing.T) {
	convey.Convey("A pause of two seconds ends no connection, whenever it begins", t, func() {
		const pause = 2 * time.Second
		for begins := time.Duration(0); begins <= 2*SilenceLimit; begins += 100 * time.Millisecond {
			convey.So(lostAt(begins), convey.ShouldBeGreaterThanOrEqualTo, begins+pause)
		}
	})
}

// lostAt returns when the operating system gives up a connection on which nothing is sent and whose
// other end answers nothing from a time on. Times count from the last byte that came.
func lostAt(silentFrom time.Duration) time.Duration {
	heard, unanswered := time.Duration(0), 0
	for probe := probeAfter; ; probe += probeInterval {
		// The limit is in force until SilenceLimit after something was sent.
		if limited := probe < SilenceLimit; limited && unanswered > 0 && probe-heard >= SilenceLimit || !limited && unanswered >= probes {
			return probe
		}
		if probe < silentFrom {
			// The answer counts as a byte: the next probe is due probeAfter later.
			heard, unanswered = probe, 0
			probe += probeAfter - probeInterval
			continue
		}
		unanswered++
	}
}

// TestEndBeforeAllArrived guards against the end of a connection that looks orderly although the other
// end closed before it had got what was sent: what it sent may be a part of an answer.
func TestEndBeforeAllArrived(t *testing.T) {
	open := func() (near, far net.Conn) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		near, err = NewDialer(time.Second).DialContext(t.Context(), "tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		far, err = ln.Accept()
		convey.So(err, convey.ShouldBeNil)
		for _, c := range []net.Conn{near, far} {
			convey.So(c.SetDeadline(time.Now().Add(5*time.Second)), convey.ShouldBeNil)
			t.Cleanup(func() { _ = c.Close() })
		}
		return near, far
	}
	convey.Convey("If the other end closes", t, func() {
		near, far := open()
		convey.Convey("while there is more than it has room for, the end is an error", func() {
			go func() { _, _ = near.Write(make([]byte, 64<<20)) }()
			// Nothing is read until there is no room any more.
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(far, "part")
			convey.So(err, convey.ShouldBeNil)
			convey.So(far.(*net.TCPConn).CloseWrite(), convey.ShouldBeNil)
			got, err := io.ReadAll(near)
			convey.So(string(got), convey.ShouldEqual, "part")
			convey.So(err, convey.ShouldEqual, ErrUnread)
		})
		convey.Convey("after it has read all, the end is one", func() {
			_, err := io.WriteString(near, "request")
			convey.So(err, convey.ShouldBeNil)
			_, err = io.ReadFull(far, make([]byte, len("request")))
			convey.So(err, convey.ShouldBeNil)
			_, err = io.WriteString(far, "whole")
			convey.So(err, convey.ShouldBeNil)
			convey.So(far.Close(), convey.ShouldBeNil)
			got, err := io.ReadAll(near)
			convey.So(string(got), convey.ShouldEqual, "whole")
			convey.So(err, convey.ShouldBeNil)
		})
	})
}
