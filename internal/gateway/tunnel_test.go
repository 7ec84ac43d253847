package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// tunnelMember is a member that serves tunnels to one target.
type tunnelMember struct {
	*tunnelServer
	http    *httptest.Server
	targets net.Listener
}

// tunnelTarget is the identity of the target of a tunnelMember.
const tunnelTarget = "t-1"

func newTunnelMember(t *testing.T) *tunnelMember {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	views := newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {})
	views.current.Store(&view.View{Directory: directory.New(directory.Target{ID: tunnelTarget, Address: ln.Addr().String()})})
	m := newMetrics()
	paths := newTargetPaths(time.Now, zerolog.Nop(), m, tcpconn.NewDialer(time.Second).DialContext, newTunnelClient(time.Now, newMembers(time.Now, "self", 1, nil, 0)), views)
	s := &tunnelServer{log: zerolog.Nop(), views: views, paths: paths, shutdown: &shutdownState{}, metrics: m}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathTunnel, s.serve)
	member := &tunnelMember{tunnelServer: s, http: httptest.NewServer(mux), targets: ln}
	t.Cleanup(func() {
		member.http.Close()
		_ = ln.Close()
	})
	return member
}

func (m *tunnelMember) address() string { return strings.TrimPrefix(m.http.URL, "http://") }

// open opens a tunnel and returns both ends.
func (m *tunnelMember) open(t *testing.T) (node, target net.Conn) {
	node, err := dialTunnel(t.Context(), m.address(), tunnelTarget)
	convey.So(err, convey.ShouldBeNil)
	target, err = m.targets.Accept()
	convey.So(err, convey.ShouldBeNil)
	for _, c := range []net.Conn{node, target} {
		convey.So(c.SetDeadline(time.Now().Add(5*time.Second)), convey.ShouldBeNil)
		t.Cleanup(func() { _ = c.Close() })
	}
	return node, target
}

// shouldRead holds what can be read from a connection up to its end, and the error there.
func shouldRead(r io.Reader, text string, end error) {
	got, err := io.ReadAll(r)
	convey.So(string(got), convey.ShouldEqual, text)
	convey.So(err, convey.ShouldEqual, end)
}

// TestTunnel guards against answers that seem complete although their tunnel was broken off,
// and against targets that work on for a node that has gone.
func TestTunnel(t *testing.T) {
	convey.Convey("Given a tunnel", t, func() {
		m := newTunnelMember(t)
		node, target := m.open(t)
		_, err := io.WriteString(node, "request")
		convey.So(err, convey.ShouldBeNil)
		request := make([]byte, len("request"))
		_, err = io.ReadFull(target, request)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(request), convey.ShouldEqual, "request")
		long := strings.Repeat("x", 3*maxFrame)
		convey.Convey("the node reads all that the target sent, and its end", func() {
			go func() {
				_, _ = io.WriteString(target, long)
				_ = target.Close()
			}()
			shouldRead(node, long, nil)
		})
		convey.Convey("the end of the member is not the end of the answer", func() {
			_, err := io.WriteString(target, "part")
			convey.So(err, convey.ShouldBeNil)
			buf := make([]byte, len("part"))
			_, err = io.ReadFull(node, buf)
			convey.So(err, convey.ShouldBeNil)
			// The process of the member ends: its connections close as they are.
			convey.So(node.(*tunnelConn).Conn.(interface{ CloseRead() error }).CloseRead(), convey.ShouldBeNil)
			shouldRead(node, "", io.ErrUnexpectedEOF)
		})
		convey.Convey("a connection that the target resets is not the end of the answer", func() {
			convey.So(target.(*net.TCPConn).SetLinger(0), convey.ShouldBeNil)
			convey.So(target.Close(), convey.ShouldBeNil)
			_, err := io.ReadAll(node)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("the target's connection ends with the node's", func() {
			convey.So(m.idle(), convey.ShouldBeFalse)
			convey.So(node.Close(), convey.ShouldBeNil)
			shouldRead(target, "", nil)
			for end := time.Now().Add(time.Second); !m.idle() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			convey.So(m.idle(), convey.ShouldBeTrue)
		})
	})
}

// TestEndOfATunnel guards against calls that wait until a member closes a tunnel whose target closed within
// the head of an answer: a reader of lines asks again for what follows the end.
func TestEndOfATunnel(t *testing.T) {
	convey.Convey("The end of the target's connection stays its end while the member keeps the tunnel open", t, func() {
		node, target := newTunnelMember(t).open(t)
		_, err := io.WriteString(target, "HTTP/1.1 200 OK\r\nX-Part: ")
		convey.So(err, convey.ShouldBeNil)
		convey.So(target.Close(), convey.ShouldBeNil)
		convey.So(node.SetReadDeadline(time.Now().Add(tunnelCloseTimeout/2)), convey.ShouldBeNil)
		shouldRead(node, "HTTP/1.1 200 OK\r\nX-Part: ", nil)
		shouldRead(node, "", nil)
	})
}

// TestTunnelRefused guards against tunnels through members that are leaving or that do not
// reach the target themselves: a call is passed on once at most.
func TestTunnelRefused(t *testing.T) {
	refused := func(m *tunnelMember, target string, want error) {
		_, err := dialTunnel(t.Context(), m.address(), target)
		convey.So(err, convey.ShouldEqual, want)
		convey.So(m.idle(), convey.ShouldBeTrue)
	}
	convey.Convey("Given a member", t, func() {
		m := newTunnelMember(t)
		convey.Convey("that does not know the target", func() { refused(m, "other", errUnknownTarget) })
		convey.Convey("that is leaving", func() {
			m.shutdown.begin(time.Now())
			refused(m, tunnelTarget, errNoTunnels)
		})
		convey.Convey("whose own path is broken", func() {
			m.paths.table.Failed(time.Now(), tunnelTarget, io.EOF)
			m.paths.table.Detoured(time.Now(), tunnelTarget)
			refused(m, tunnelTarget, errPathBroken)
		})
		convey.Convey("that the target refuses", func() {
			convey.So(m.targets.Close(), convey.ShouldBeNil)
			refused(m, tunnelTarget, errTargetRefused)
		})
		convey.Convey("with as many tunnels as it serves", func() {
			m.tunnelServer.open.Store(maxTunnels)
			_, err := dialTunnel(t.Context(), m.address(), tunnelTarget)
			convey.So(err, convey.ShouldEqual, errNoTunnels)
		})
	})
	convey.Convey("A member of an earlier version does not know tunnels", t, func() {
		old := httptest.NewServer(http.NewServeMux())
		defer old.Close()
		_, err := dialTunnel(t.Context(), strings.TrimPrefix(old.URL, "http://"), tunnelTarget)
		convey.So(err, convey.ShouldEqual, errUnsupported)
	})
}

// askedMembers is a way to members of which each answers in a given manner.
type askedMembers struct {
	mu     sync.Mutex
	asked  []string
	answer map[string]error
}

func (a *askedMembers) dial(ctx context.Context, member, _ string) (net.Conn, error) {
	a.mu.Lock()
	a.asked = append(a.asked, member)
	err := a.answer[member]
	a.mu.Unlock()
	if err == errMemberSilent {
		<-ctx.Done()
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// list returns the members that were asked since the last call.
func (a *askedMembers) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.asked
	a.asked = nil
	return list
}

// TestMembersAskedForTunnels guards against calls that fail because the first members that
// were asked are cut off too, and against asking members again that gave no tunnel.
func TestMembersAskedForTunnels(t *testing.T) {
	convey.Convey("Given three other members", t, func() {
		now := time.Unix(1000, 0)
		roster := newMembers(func() time.Time { return now }, "self", 1, nil, 0)
		knowMembers(roster, "m1", "m2", "m3")
		order := roster.others(func(string) bool { return true })
		a := &askedMembers{answer: map[string]error{}}
		c := newTunnelClient(func() time.Time { return now }, roster)
		c.dial = a.dial
		connects := func(want error, asked ...string) {
			_, err := c.connect(t.Context(), "t")
			convey.So(errorOf(err), convey.ShouldEqual, want)
			convey.So(a.list(), convey.ShouldResemble, asked)
		}
		convey.Convey("the first one is asked while it gives tunnels", func() {
			connects(nil, order[0])
			connects(nil, order[0])
		})
		convey.Convey("the next one is asked when one gives none, and first from then on", func() {
			a.answer[order[0]] = errPathBroken
			connects(nil, order[0], order[1])
			now = now.Add(noTunnelTime)
			connects(nil, order[1])
		})
		convey.Convey("the next one is asked when one does not answer", func() {
			a.answer[order[0]] = errMemberSilent
			connects(nil, order[0], order[1])
		})
		convey.Convey("one that does not know tunnels is not asked for long", func() {
			a.answer[order[0]] = errUnsupported
			connects(nil, order[0], order[1])
			c.last = ""
			now = now.Add(noTunnelTime)
			connects(nil, order[1])
		})
		for _, late := range []error{errMemberSilent, errTargetSilent} {
			convey.Convey("one is asked after the others for a while: "+late.Error(), func() {
				c.avoid(order[0], "t", late)
				connects(nil, order[1])
				a.answer[order[1]], a.answer[order[2]] = errPathBroken, errPathBroken
				connects(nil, order[1], order[2], order[0])
			})
		}
		convey.Convey("no third one is asked when the target refused two", func() {
			a.answer[order[0]], a.answer[order[1]] = errTargetRefused, errTargetRefused
			connects(errTargetRefused, order[0], order[1])
			connects(nil, order[2])
		})
		convey.Convey("a refusal by the target counts when nobody reaches it", func() {
			for _, m := range order {
				a.answer[m] = errPathBroken
			}
			a.answer[order[1]] = errTargetRefused
			connects(errTargetRefused, order...)
			connects(errNoMember)
		})
	})
}

// knowMembers has a node hear of other members that serve.
func knowMembers(m *members, addresses ...string) {
	var g message.Gossip
	for _, a := range addresses {
		g.Members = append(g.Members, message.GossipMember{Address: a, Incarnation: 1, Beat: 1, Serving: true})
	}
	m.mergeAndReport(g)
}

// errorOf returns the error that an error wraps.
func errorOf(err error) error { return errors.Cause(err) }

// TestTunnelOnTheWire guards against a change of what members of two versions say to each other:
// the request, the answer and the frames are held byte by byte.
func TestTunnelOnTheWire(t *testing.T) {
	const (
		request  = "GET /peer/v1/tunnel?target=t-1 HTTP/1.1\r\nHost: member\r\nUser-Agent: Go-http-client/1.1\r\nConnection: Upgrade\r\n"
		counting = "Honeydyke-Tunnel-Count: 1\r\n"
		upgrade  = "Upgrade: honeydyke-tunnel\r\n"
		answer   = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n" + upgrade
		frames   = "\x00\x00\x00\x02ok\x00\x00\x00\x00"
		count    = "\x00\x00\x00\x00\x00\x00\x00\x00"
	)
	convey.Convey("A node asks for a tunnel as every version understands", t, func() {
		const want = request + counting + upgrade + "\r\n"
		for from, c := range map[string]struct{ answer, frames string }{
			"of an earlier version": {answer + "\r\n", frames},
			"of this version":       {answer + counting + "\r\n", frames + count},
		} {
			convey.Convey("and reads the frames of a member "+from, func() {
				node, member := net.Pipe()
				asked := make(chan string, 1)
				go func() {
					buf := make([]byte, len(want))
					_, _ = io.ReadFull(member, buf)
					asked <- string(buf)
					_, _ = io.WriteString(member, c.answer+c.frames)
				}()
				r, resp, err := requestTunnel(node, "member", tunnelTarget)
				convey.So(err, convey.ShouldBeNil)
				convey.So(<-asked, convey.ShouldEqual, want)
				convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusSwitchingProtocols)
				conn := &tunnelConn{Conn: node, r: r, counts: countsTunnel(resp.Header)}
				shouldRead(conn, "ok", nil)
				shouldRead(conn, "", nil)
			})
		}
	})
	for from, c := range map[string]struct{ request, want string }{
		"of an earlier version": {request + upgrade + "\r\n", answer + "\r\n" + frames},
		"of this version":       {request + counting + upgrade + "\r\n", answer + counting + "\r\n" + frames + count},
	} {
		convey.Convey("A member answers a node "+from+" as that expects", t, func() {
			m := newTunnelMember(t)
			node, err := net.Dial("tcp", m.address())
			convey.So(err, convey.ShouldBeNil)
			defer node.Close()
			_, err = io.WriteString(node, c.request)
			convey.So(err, convey.ShouldBeNil)
			target, err := m.targets.Accept()
			convey.So(err, convey.ShouldBeNil)
			_, err = io.WriteString(target, "ok")
			convey.So(err, convey.ShouldBeNil)
			convey.So(target.Close(), convey.ShouldBeNil)
			shouldRead(node, c.want, nil)
		})
	}
}

// cutTarget is a connection to a target that answers early and then resets it; the reset is reported to
// a write alone.
type cutTarget struct {
	net.Conn
	answer io.Reader
	failed chan struct{}
}

func (c *cutTarget) Write([]byte) (int, error) {
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *cutTarget) Read(b []byte) (int, error) {
	if n, _ := c.answer.Read(b); n > 0 {
		return n, nil
	}
	<-c.failed
	return 0, io.EOF
}

func (c *cutTarget) Close() error { return nil }

// TestTunnelOfACutUpload guards against a part of an answer that seems whole at the other end of a
// tunnel: its target closed before it had got the request, of which only the member's write, or nobody,
// was told.
func TestTunnelOfACutUpload(t *testing.T) {
	// join joins the ends of a tunnel at a member, which reads what the node sends from fromNode, and
	// returns the end at the node.
	join := func(target net.Conn, counts bool, fromNode func(member net.Conn) io.Reader) *tunnelConn {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer ln.Close()
		node, err := net.Dial("tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		member, err := ln.Accept()
		convey.So(err, convey.ShouldBeNil)
		go joinTunnel(member, fromNode(member), target, counts)
		t.Cleanup(func() { _, _ = node.Close(), member.Close() })
		convey.So(node.SetDeadline(time.Now().Add(5*time.Second)), convey.ShouldBeNil)
		return &tunnelConn{Conn: node, r: bufio.NewReader(node), counts: counts}
	}
	for _, counts := range []bool{false, true} {
		convey.Convey(fmt.Sprintf("A write that failed at the member breaks the tunnel off, counts: %v", counts), t, func() {
			node := join(&cutTarget{answer: strings.NewReader("part"), failed: make(chan struct{})}, counts, func(m net.Conn) io.Reader { return m })
			_, err := io.WriteString(node, "request")
			convey.So(err, convey.ShouldBeNil)
			got, err := io.ReadAll(node)
			convey.So(string(got), convey.ShouldEqual, "part")
			convey.So(err, convey.ShouldNotBeNil)
		})
	}
	convey.Convey("So does a target that closes before it has got what is on its way through the member", t, func() {
		near, far := net.Pipe()
		held, release := io.Pipe()
		defer release.Close()
		node := join(near, true, func(net.Conn) io.Reader { return held })
		_, err := io.WriteString(node, "request")
		convey.So(err, convey.ShouldBeNil)
		go func() {
			_, _ = io.WriteString(far, "part")
			_ = far.Close()
		}()
		got, err := io.ReadAll(node)
		convey.So(string(got), convey.ShouldEqual, "part")
		convey.So(err, convey.ShouldEqual, tcpconn.ErrUnread)
		convey.Convey("and nothing more is written to it", func() {
			_, err := io.WriteString(node, "more")
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
