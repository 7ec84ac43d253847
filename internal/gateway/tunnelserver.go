package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// maxTunnels bounds the tunnels that a member serves at once, each of which takes two
	// descriptors.
	maxTunnels = 256
	// tunnelDialTimeout bounds connecting to a target for another member, which asks others at
	// the same time.
	tunnelDialTimeout = 150 * time.Millisecond
	// tunnelCloseTimeout bounds waiting for a node to close a tunnel whose target has closed
	// its connection.
	tunnelCloseTimeout = 2 * time.Second
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
	counts := countsTunnel(r.Header)
	if err := acceptTunnel(node, counts); err != nil {
		s.log.Debug().Err(err).Msg("paths: accepting a tunnel failed")
		return
	}
	joinTunnel(node, buffered, target, counts)
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
	ctx, cancel := context.WithTimeoutCause(r.Context(), tunnelDialTimeout, errTargetSilent)
	defer cancel()
	conn, err := s.paths.Direct(ctx, dt)
	switch {
	case err == nil:
		return conn, 0
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, statusTargetRefused
	}
	return nil, statusTargetSilent
}

// acceptTunnel answers the request for a tunnel, which may ask for a count, on a connection that was
// taken over.
func acceptTunnel(node net.Conn, counts bool) error {
	// The deadlines of the server do not apply to a tunnel.
	if err := node.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if tcp, ok := node.(*net.TCPConn); ok {
		if err := tcp.SetKeepAliveConfig(tcpconn.KeepAlive()); err != nil {
			return err
		}
	}
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeTunnel + "\r\n"
	if counts {
		head += wire.HeaderTunnelCount + ": 1\r\n"
	}
	_, err := io.WriteString(node, head+"\r\n")
	return err
}

// joinTunnel passes bytes between a node and a target until one of them closes. An error of
// either ends both: the node sees that the tunnel was broken off. counts is whether the node asked
// for a count.
func joinTunnel(node net.Conn, fromNode io.Reader, target net.Conn, counts bool) {
	done := make(chan struct{})
	var sent tcpconn.Writes
	go func() {
		defer close(done)
		_, _ = io.Copy(writerFunc(func(b []byte) (int, error) { return sent.Write(target, b) }), struct{ io.Reader }{fromNode})
		// The node wants nothing more, so that the target can stop working.
		_ = target.Close()
	}()
	if writeTarget(node, target, &sent, counts) != nil {
		_ = node.Close()
	} else {
		// Closing at once could reset the connection before the node has read everything.
		_ = node.SetReadDeadline(time.Now().Add(tunnelCloseTimeout))
	}
	<-done
}

// writerFunc implements io.Writer.
type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// writeTarget writes what a target sends as frames and, at the end of its connection, the last frame,
// with the count of what was sent to it if the node asked for that. It fails if the target did not
// take all that was sent.
func writeTarget(w io.Writer, target io.Reader, sent *tcpconn.Writes, counts bool) error {
	if err := writeFrames(w, target); err != nil {
		return err
	}
	count, ok := sent.Settle()
	if !ok {
		return tcpconn.ErrUnread
	}
	end := make([]byte, frameHeader, frameHeader+countBytes)
	if counts {
		end = binary.BigEndian.AppendUint64(end, uint64(count))
	}
	_, err := w.Write(end)
	return err
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
			return nil
		}
		if err != nil {
			return err
		}
	}
}
