package gateway

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
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
	// ended is set at the end of the target's connection. The member keeps its own open for a while.
	ended bool
}

// Read implements net.Conn. It returns io.EOF only at the end of the target's connection, and every
// time from then on.
func (c *tunnelConn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var header [frameHeader]byte
		if _, err := io.ReadFull(c.r, header[:]); err != nil {
			return 0, brokenOff(err)
		}
		length := binary.BigEndian.Uint32(header[:])
		if length == 0 {
			c.ended = true
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
