package gateway

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/tcpconn"
)

// A tunnel is a connection to a target through another member. The node that needs it asks the
// member with an HTTP request that names the target; the member connects to the target directly,
// never through a third member, and answers 101. Then the bytes of the node pass to the target as
// they are. Those of the target come in frames of a length, 4 bytes in network order, and as many
// bytes. A frame of length 0 is the end of the target's connection. A tunnel that ends without it
// was broken off, so that an answer without a length never seems complete.
//
// A node that asks for it by wire.HeaderTunnelCount, and whose member answers with the same, gets
// 8 bytes more after the last frame: how many bytes the member wrote to the target, in network
// order. If the node has sent more, the target closed before it got them.
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
	// countBytes is the size of the count after the last frame.
	countBytes = 8
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

// tunnelConn is the end of a tunnel at the node that asked for it.
type tunnelConn struct {
	net.Conn
	r *bufio.Reader
	// left is how many bytes of the current frame are unread.
	left int
	// counts is whether the member counts what it writes to the target.
	counts bool
	writes tcpconn.Writes
	// end is the error at the end of the target's connection; nil before. The member keeps its own
	// open for a while.
	end atomic.Pointer[error]
}

// Write implements net.Conn.
func (c *tunnelConn) Write(b []byte) (int, error) {
	if c.end.Load() != nil {
		return 0, net.ErrClosed
	}
	return c.writes.Write(c.Conn, b)
}

// Read implements net.Conn. It returns io.EOF only at the end of the target's connection, if the
// target had got all that was sent, and every time from then on.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if end := c.end.Load(); end != nil {
		return 0, *end
	}
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.r, header[:]); err != nil {
			return 0, brokenOff(err)
		}
		length := binary.BigEndian.Uint32(header[:])
		if length == 0 {
			err := c.readEnd()
			c.end.Store(&err)
			return 0, err
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

// readEnd reads what follows the last frame, and returns the error of the end: io.EOF if the target
// had got all that was sent, as far as the member counts it.
func (c *tunnelConn) readEnd() error {
	if !c.counts {
		return io.EOF
	}
	var count [countBytes]byte
	if _, err := io.ReadFull(c.r, count[:]); err != nil {
		return brokenOff(err)
	}
	sent, ok := c.writes.Settle()
	if !ok || uint64(sent) != binary.BigEndian.Uint64(count[:]) {
		return tcpconn.ErrUnread
	}
	return io.EOF
}

// brokenOff returns the error of a tunnel that ended within or before a frame.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Errors of a member that gave no tunnel.
var (
	// errMemberSilent: the member did not answer.
	errMemberSilent = errors.New("the member did not answer")
	// errNoTunnels: the member gives no tunnels now.
	errNoTunnels = errors.New("the member gives no tunnels")
	// errUnsupported: the member is of a version that does not know the message.
	errUnsupported = errors.New("the member does not know the message")
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
