//go:build linux

package tcpconn

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// TestSilenceRule holds when a connection whose data stays unacknowledged counts as silent.
func TestSilenceRule(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const sent = 100
	cases := []struct {
		name string
		// ms is when the connection is observed, after something was sent.
		ms int
		// acked and upMs are what was acknowledged in all, and when a new connection came up.
		acked, upMs int
		want        ackVerdict
		again       time.Duration
	}{
		{"too early to tell", 100, 0, 0, waiting, 200 * time.Millisecond},
		{"all acknowledged", 400, sent, 0, acknowledged, 0},
		{"some acknowledged", 400, 1, 0, waiting, suspectAfter},
		{"nothing for suspectAfter", 300, 0, 0, suspected, suspectAfter},
		{"a connection that came up before says nothing", 2000, 0, -1, suspected, suspectAfter},
		{"a new connection came up", 310, 0, 305, doubtful, 490 * time.Millisecond},
		{"a new connection came up, and silentAfter is over", 800, 0, 305, silent, 0},
		{"a new connection came up late, and nothing was due to be sent again since", 2500, 0, 2000, doubtful, 1600 * time.Millisecond},
		{"a new connection came up late, and what was sent again is not acknowledged either", 4100, 0, 2000, silent, 0},
	}
	convey.Convey("Of a connection on which data was sent is said", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() {
				w := ackWatch{since: start}
				upAt := time.Time{}
				if c.upMs != 0 {
					upAt = at(c.upMs)
				}
				verdict, again := w.observe(at(c.ms), int64(c.acked), int64(sent-c.acked), upAt)
				convey.So(verdict, convey.ShouldEqual, c.want)
				convey.So(again, convey.ShouldEqual, c.again)
			})
		}
	})
}

// TestSilenceBesideManyConnections guards against a silent connection that is kept for as long as
// new ones to its address come up one after the other.
func TestSilenceBesideManyConnections(t *testing.T) {
	convey.Convey("The first connection that comes up decides, not the last", t, func() {
		start := time.Unix(1000, 0)
		w := ackWatch{since: start}
		for after := suspectAfter; after < silentAfter; after += 100 * time.Millisecond {
			verdict, _ := w.observe(start.Add(after), 0, 1, start.Add(after-time.Millisecond))
			convey.So(verdict, convey.ShouldEqual, doubtful)
		}
		verdict, _ := w.observe(start.Add(silentAfter), 0, 1, start.Add(silentAfter-time.Millisecond))
		convey.So(verdict, convey.ShouldEqual, silent)
	})
}

// pair is a connection, made by a dialer, with its other end.
type pair struct {
	near net.Conn
	far  *net.TCPConn
}

func newPair(t *testing.T, d *Dialer, ln net.Listener) pair {
	near, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	far, err := ln.Accept()
	convey.So(err, convey.ShouldBeNil)
	return pair{near, far.(*net.TCPConn)}
}

// fallSilent drops all that arrives at either end, acknowledgements included.
func (p pair) fallSilent() {
	for _, conn := range []*net.TCPConn{p.far, p.near.(*limitedConn).TCPConn} {
		raw, err := conn.SyscallConn()
		convey.So(err, convey.ShouldBeNil)
		drop := unix.SockFilter{Code: unix.BPF_RET}
		var failed error
		convey.So(raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
		}), convey.ShouldBeNil)
		convey.So(failed, convey.ShouldBeNil)
	}
}

// readEnd returns how long reading from a connection took, and its error.
func readEnd(conn net.Conn) (took time.Duration, err error) {
	began := time.Now()
	_, err = conn.Read(make([]byte, 1))
	return time.Since(began), err
}

// TestSilentConnections guards against calls that wait for SilenceLimit, one after the other, on
// connections that fell silent while new ones come up, and against connections that are given up
// for another reason.
func TestSilentConnections(t *testing.T) {
	convey.Convey("Given connections of one dialer", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		var told atomic.Pointer[string]
		d := NewDialer(time.Second, OnSilence(func(address string) { told.Store(&address) }))
		used, idle, sound := newPair(t, d, ln), newPair(t, d, ln), newPair(t, d, ln)
		defer func() {
			for _, p := range []pair{used, idle, sound} {
				_, _ = p.near.Close(), p.far.Close()
			}
		}()
		send := func(p pair) {
			_, err := p.near.Write([]byte("x"))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.Convey("that fall silent while new ones come up: the one in use ends, the idle one is probed at once, sound ones live on", func() {
			used.fallSilent()
			idle.fallSilent()
			send(used)
			took, err := readEnd(used.near)
			convey.So(err, convey.ShouldEqual, ErrSilent)
			convey.So(took, convey.ShouldBeBetween, silentAfter-resendMargin, SilenceLimit/2)
			convey.So(*told.Load(), convey.ShouldEqual, ln.Addr().String())
			took, _ = readEnd(idle.near)
			convey.So(took, convey.ShouldBeLessThan, checkTime+probeInterval)
			convey.So(sound.near.SetReadDeadline(time.Now().Add(checkTime)), convey.ShouldBeNil)
			_, err = readEnd(sound.near)
			convey.So(errors.Is(err, os.ErrDeadlineExceeded), convey.ShouldBeTrue)
		})
		convey.Convey("that fall silent while no new one comes up end after SilenceLimit", func() {
			convey.So(ln.Close(), convey.ShouldBeNil)
			used.fallSilent()
			send(used)
			took, err := readEnd(used.near)
			convey.So(err, convey.ShouldNotEqual, ErrSilent)
			convey.So(took, convey.ShouldBeGreaterThan, SilenceLimit-resendMargin)
			convey.So(told.Load(), convey.ShouldBeNil)
		})
		convey.Convey("whose other end does not read what was sent are not silent", func() {
			convey.So(used.near.SetWriteDeadline(time.Now().Add(SilenceLimit)), convey.ShouldBeNil)
			_, err := used.near.Write(make([]byte, 64<<20))
			convey.So(errors.Is(err, os.ErrDeadlineExceeded), convey.ShouldBeTrue)
			convey.So(told.Load(), convey.ShouldBeNil)
		})
	})
}
