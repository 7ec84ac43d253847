package node

import (
	"io"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// forwardBuffer is how much of an answer is copied at a time, in bytes; not
// measured.
const forwardBuffer = 32 << 10

// forwardedHeaders go from the home's answer to the caller.
var forwardedHeaders = []string{
	"Content-Type", "Content-Length", "Retry-After", headerShouldRetry, wire.HeaderVerdict, wire.HeaderBundle,
}

// forward sends a call to the home of its ticket and the answer back. When the
// home gives none, nobody can say whether the ticket was spent; the error says so.
func (s *ticketServer) forward(r *http.Request, out *reply, tk ticket.Ticket, method, path string, body []byte) error {
	resp, err := s.send(r, out.id, tk, method, path, body)
	if err != nil {
		s.log.Info().Str("request", out.id).Str("peer", tk.Home).Err(err).Msg("request: the home of the ticket did not answer")
		return homeSilent().WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read or given up
	if resp.Header.Get(wire.HeaderIdentity) != out.id {
		s.log.Warn().Str("request", out.id).Str("peer", tk.Home).Msg("request: the home of the ticket answered another request")
		return homeSilent()
	}
	copyAnswer(out.w, resp)
	return nil
}

func (s *ticketServer) send(r *http.Request, id string, tk ticket.Ticket, method, path string, body []byte) (*http.Response, error) {
	req, err := s.peers.request(method, tk.Home, path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // net/http must not send the body again by itself
	req.Header.Set(wire.HeaderIdentity, id)
	req.Header.Set(wire.HeaderOrganisation, tk.Organisation)
	req.Header.Set(wire.HeaderTicket, r.Header.Get(wire.HeaderTicket))
	if d := r.Header.Get(wire.HeaderDeadline); d != "" {
		req.Header.Set(wire.HeaderDeadline, d)
	}
	return s.peers.http.Do(req.WithContext(r.Context()))
}

func homeSilent() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeSilent, "the home of the ticket does not answer; ask again with the same ticket").
		WithRetryAfter(minimumRetry).WithUnsafeRetry()
}

// copyAnswer copies an answer as it arrives. One that breaks off is broken off
// here as well, so that the caller cannot take it for whole.
func copyAnswer(w http.ResponseWriter, resp *http.Response) {
	for _, name := range forwardedHeaders {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, forwardBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return // the caller is gone; the home goes on for the ticket
			}
			_ = rc.Flush() // fails only when the caller is gone, which the next Write finds
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
