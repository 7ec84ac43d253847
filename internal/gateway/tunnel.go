package gateway

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// A tunnel is a connection to a target through another member. The node that needs it asks the
// member with an HTTP request that names the target; the member connects to the target directly,
// never through a third member, and answers 101. Then the bytes of the node pass to the target as
// they are. Those of the target come in frames of a length, 4 bytes in network order, and as many
// bytes. A frame of length 0 is the end of the target's connection. A tunnel that ends without it
// was broken off, so that an answer without a length never seems complete.
//
// One tunnel carries one call. A member that leaves takes no new tunnels and waits for those
// in use.
const (
	// upgradeTunnel is the protocol named by the request for a tunnel.
	upgradeTunnel = "honeydyke-tunnel"
	paramTarget   = "target"
	// frameHeader is the size of a frame's length, maxFrame the most bytes in a frame.
	frameHeader = 4
	maxFrame    = 16 << 10
	// maxTunnels bounds the tunnels that a member serves at once, each of which takes two
	// descriptors.
	maxTunnels = 256
	// tunnelCloseTimeout bounds waiting for a node to close a tunnel whose target has closed
	// its connection.
	tunnelCloseTimeout = 2 * time.Second
)

// Answers to a request for a tunnel besides 101. A member of an earlier version answers 404.
const (
	// statusTargetRefused and statusTargetSilent: the member could not connect to the target.
	statusTargetRefused = http.StatusBadGateway
	statusTargetSilent  = http.StatusGatewayTimeout
	// statusUnknownTarget: the member's view has no such target.
	statusUnknownTarget = http.StatusGone
	// statusPathBroken: the member does not reach the target directly either.
	statusPathBroken = http.StatusFailedDependency
	// statusNoTunnel: the member is leaving, or has too many tunnels.
	statusNoTunnel = http.StatusServiceUnavailable
)

// tunnelServer serves tunnels to other members.
type tunnelServer struct {
	log      zerolog.Logger
	views    *viewKeeper
	paths    *targetPaths
	shutdown *shutdownState
	metrics  *metrics
	// open counts the tunnels in use.
	open atomic.Int64
}

func (s *tunnelServer) idle() bool { return s.open.Load() == 0 }

func (s *tunnelServer) serve(w http.ResponseWriter, r *http.Request) {
	if s.open.Add(1) > maxTunnels || s.shutdown.begun() {
		s.open.Add(-1)
		w.WriteHeader(statusNoTunnel)
		return
	}
	defer s.open.Add(-1)
	target, status := s.connect(r)
	if target == nil {
		w.WriteHeader(status)
		return
	}
	defer target.Close()
	node, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		s.log.Error().Err(err).Msg("paths: taking over a member's connection failed")
		return
	}
	defer node.Close()
	s.metrics.recordTunnel()
	if err := acceptTunnel(node); err != nil {
		s.log.Debug().Err(err).Msg("paths: accepting a tunnel failed")
		return
	}
	joinTunnel(node, buffered, target)
}

// connect connects to the target that a request names, or returns the status of the answer.
func (s *tunnelServer) connect(r *http.Request) (net.Conn, int) {
	t, known := s.views.load().Directory.Target(r.FormValue(paramTarget))
	if !known {
		return nil, statusUnknownTarget
	}
	dt := delivery.Target{ID: t.ID, Address: t.Address}
	if s.paths.Broken(dt) {
		return nil, statusPathBroken
	}
	conn, err := s.paths.Direct(r.Context(), dt)
	switch {
	case err == nil:
		return conn, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, statusTargetRefused
	}
	return nil, statusTargetSilent
}

// acceptTunnel answers the request for a tunnel on a connection that was taken over.
func acceptTunnel(node net.Conn) error {
	// The deadlines of the server do not apply to a tunnel.
	if err := node.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if tcp, ok := node.(*net.TCPConn); ok {
		if err := tcp.SetKeepAliveConfig(tcpconn.KeepAlive()); err != nil {
			return err
		}
	}
	_, err := io.WriteString(node, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+upgradeTunnel+"\r\n\r\n")
	return err
}

// joinTunnel passes bytes between a node and a target until one of them closes. An error of
// either ends both: the node sees that the tunnel was broken off.
func joinTunnel(node net.Conn, fromNode io.Reader, target net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(target, fromNode)
		// The node wants nothing more, so that the target can stop working.
		_ = target.Close()
	}()
	if writeFrames(node, target) != nil {
		_ = node.Close()
	} else {
		// Closing at once could reset the connection before the node has read everything.
		_ = node.SetReadDeadline(time.Now().Add(tunnelCloseTimeout))
	}
	<-done
}

// writeFrames writes what a target sends as frames, up to the end of its connection.
func writeFrames(w io.Writer, target io.Reader) error {
	buf := make([]byte, frameHeader+maxFrame)
	for {
		n, err := target.Read(buf[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, err := w.Write(buf[:frameHeader+n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = w.Write(make([]byte, frameHeader))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// tunnelConn is the end of a tunnel at the node that asked for it.
type tunnelConn struct {
	net.Conn
	r *bufio.Reader
	// left is how many bytes of the current frame are unread.
	left int
}

// Read implements net.Conn. It returns io.EOF only at the end of the target's connection.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.r, header[:]); err != nil {
			return 0, brokenOff(err)
		}
		length := binary.BigEndian.Uint32(header[:])
		if length == 0 {
			return 0, io.EOF
		}
		if length > maxFrame {
			return 0, errors.Errorf("tunnel frame of %d bytes", length)
		}
		c.left = int(length)
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, brokenOff(err)
}

// brokenOff returns the error of a tunnel that ended within or before a frame.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// dialTunnel asks a member for a tunnel to a target.
func dialTunnel(ctx context.Context, member, target string) (net.Conn, error) {
	conn, err := tcpconn.Dialer(peerDialTimeout).DialContext(ctx, "tcp", member)
	if err != nil {
		return nil, errMemberSilent
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r, status, err := requestTunnel(conn, member, target)
	if err != nil {
		_ = conn.Close()
		return nil, errMemberSilent
	}
	if err := tunnelError(status); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tunnelConn{Conn: conn, r: r}, nil
}

// requestTunnel sends the request for a tunnel and returns the status of the answer, with the
// reader of what follows it.
func requestTunnel(conn net.Conn, member, target string) (*bufio.Reader, int, error) {
	query := url.Values{paramTarget: {target}}.Encode()
	req, err := http.NewRequest(http.MethodGet, "http://"+member+wire.PathTunnel+"?"+query, nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", upgradeTunnel)
	if err := req.Write(conn); err != nil {
		return nil, 0, err
	}
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, 0, err
	}
	return r, resp.StatusCode, nil
}

// Errors of a member that gave no tunnel.
var (
	// errMemberSilent: the member did not answer.
	errMemberSilent = errors.New("the member did not answer")
	// errNoTunnels: the member gives no tunnels now.
	errNoTunnels = errors.New("the member gives no tunnels")
	// errUnsupported: the member is of a version without tunnels.
	errUnsupported = errors.New("the member does not know tunnels")
	// errUnknownTarget: the member does not know the target.
	errUnknownTarget = errors.New("the member does not know the target")
	// errPathBroken: the member does not reach the target directly.
	errPathBroken = errors.New("the member does not reach the target")
	// errTargetRefused and errTargetSilent: the member could not connect to the target.
	errTargetRefused = errors.New("the target refused the member")
	errTargetSilent  = errors.New("the target did not answer the member")
)

// tunnelError returns the error that an answer to a request for a tunnel means.
func tunnelError(status int) error {
	switch status {
	case http.StatusSwitchingProtocols:
		return nil
	case statusTargetRefused:
		return errTargetRefused
	case statusTargetSilent:
		return errTargetSilent
	case statusUnknownTarget:
		return errUnknownTarget
	case statusPathBroken:
		return errPathBroken
	case http.StatusNotFound:
		return errUnsupported
	}
	return errNoTunnels
}
