package node

import (
	"io"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// passedHeaders go from the home's answer to the caller.
var passedHeaders = []string{
	"Content-Type", "Content-Length", "Retry-After", headerShouldRetry, wire.HeaderVerdict, wire.HeaderBundle,
}

// forward takes a call to the home of its ticket and the answer back. When the
// home gives none, nobody can say whether the ticket was spent.
func (n *Node) forward(r *http.Request, out *reply, tk ticket.Ticket, method, path string, body []byte) {
	req, err := n.peers.peerRequest(method, tk.Home, path, body)
	if err != nil {
		out.refuse(homeSilent().WithCause(err))
		return
	}
	req.GetBody = nil // nothing to re-send
	req.Header.Set(wire.HeaderIdentity, out.id)
	req.Header.Set(wire.HeaderOrganisation, tk.Organisation)
	req.Header.Set(wire.HeaderTicket, r.Header.Get(wire.HeaderTicket))
	if d := r.Header.Get(wire.HeaderDeadline); d != "" {
		req.Header.Set(wire.HeaderDeadline, d)
	}
	resp, err := n.peers.peers.Do(req.WithContext(r.Context()))
	if err != nil {
		out.refuse(homeSilent().WithCause(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(wire.HeaderIdentity) != out.id {
		out.refuse(homeSilent())
		return
	}
	passAnswer(out.w, resp)
}

func homeSilent() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeSilent, "the home of the ticket does not answer; ask again with the same ticket").
		WithRetryAfter(minimumRetry).WithUnsafeRetry()
}

// passAnswer copies an answer as it comes. One that breaks off is broken off
// here as well, so that the caller cannot take it for whole.
func passAnswer(w http.ResponseWriter, resp *http.Response) {
	for _, name := range passedHeaders {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			_ = rc.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// serveForwarded runs a call that another node brought to the ticket's home.
func (n *Node) serveForwarded(w http.ResponseWriter, r *http.Request) {
	n.counted(func(w http.ResponseWriter, r *http.Request, out *reply) {
		out.undecided = true
		org, tk, err := n.forwarded(r, r.Header.Get(wire.HeaderTicket))
		if err != nil {
			out.refuse(err)
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			out.refuse(err)
			return
		}
		n.spend(r, out, org, tk, body)
	})(w, r)
}

// serveForwardedLook says what became of a ticket whose home this is.
func (n *Node) serveForwardedLook(w http.ResponseWriter, r *http.Request) {
	n.counted(func(_ http.ResponseWriter, r *http.Request, out *reply) {
		token := r.PathValue("ticket")
		out.undecided = true
		_, tk, err := n.forwarded(r, token)
		if err != nil {
			out.refuse(err)
			return
		}
		n.lookAt(out, token, tk)
	})(w, r)
}

// forwarded checks that this incarnation is the ticket's home. A leaving home
// still answers for its tickets, and refuses new runs as not run.
func (n *Node) forwarded(r *http.Request, token string) (*bundle.Organisation, ticket.Ticket, error) {
	tk, err := n.tickets.open(token, r.Header.Get(wire.HeaderOrganisation))
	if err != nil {
		return nil, tk, err
	}
	if !n.tickets.isHome(tk) {
		return nil, tk, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "the incarnation that minted the ticket is gone").
			WithUnsafeRetry()
	}
	plan := n.incarnation.plan.Load()
	if plan == nil || plan.Organisation(tk.Organisation) == nil {
		return nil, tk, verdict.New(verdict.MayHaveRun, verdict.ReasonUnauthorised, "the organisation is not in the bundle in force")
	}
	return plan.Organisation(tk.Organisation), tk, nil
}
