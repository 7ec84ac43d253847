package delivery

import (
	"context"
	"net"
	"net/http"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Target is the target of a call.
type Target struct {
	// ID is the identity of the target's process.
	ID string
	// Address is the target's IP number and port.
	Address string
}

// Paths connects to targets. Its methods are called concurrently.
type Paths interface {
	// Direct connects to a target from this node.
	Direct(ctx context.Context, t Target) (net.Conn, error)
	// Detour connects to a target through another node. Its connection carries one call.
	Detour(ctx context.Context, t Target) (net.Conn, error)
	// Broken reports whether only a detour can reach a target.
	Broken(t Target) bool
	// OnSilence arranges that lost is called once if the direct path to a target turns out to
	// lose what is sent, until release is called.
	OnSilence(t Target, lost func()) (release func())
	// HasEnded reports whether the process of a target has provably ended.
	HasEnded(ctx context.Context, t Target) bool
}

// UsePaths connects to the targets of Exchange through p. It must be called before any call
// is sent.
func (c *Client) UsePaths(p Paths) { c.paths = p }

// Sending describes how Exchange sends a request.
type Sending struct {
	Target Target
	// Identity is unique to the call, and IdentityHeader the name of the header that carries it
	// and that the answer must echo. A call to which the target echoes none has an empty identity,
	// and gets a connection of its own.
	Identity       string
	IdentityHeader string
	// Unused is set if nothing of the answer is used. Calls without an identity that are unused
	// share connections that carry no other calls.
	Unused bool
	// Distinct is set if the caller itself tells copies of earlier answers, by Conn.First, and
	// spoils the connection of any answer of which it cannot tell. Such a call shares connections.
	Distinct bool
	// Permit is asked just before the first byte of the request is written.
	Permit Permit
	// Repeatable is set if the request may be sent again. It is given up before its answer
	// begins if the direct path to the target turns out to lose what is sent, instead of when
	// the connection times out.
	Repeatable bool
}

// exchange sends a request on a direct connection or, if there is none, through a detour: a
// request without a connection has not left.
func (c *Client) exchange(req *http.Request, s Sending) (*http.Response, Conn, *verdict.Error) {
	if c.paths == nil {
		return exchangeBy(c.direct(s), req, s, new(attempt))
	}
	if !c.paths.Broken(s.Target) {
		resp, conn, err := c.exchangeDirectly(req, s)
		if err == nil || err.Reason() != verdict.ReasonDial {
			return resp, conn, err
		}
	}
	return exchangeBy(c.detour, req, s, new(attempt))
}

func (c *Client) exchangeDirectly(req *http.Request, s Sending) (*http.Response, Conn, *verdict.Error) {
	sent := new(attempt)
	if s.Repeatable {
		release := c.paths.OnSilence(s.Target, sent.spoil)
		defer release()
	}
	return exchangeBy(c.direct(s), req, s, sent)
}

// direct returns the HTTP client for a call on a direct connection.
func (c *Client) direct(s Sending) *http.Client {
	switch {
	case s.Identity != "", s.Distinct:
		return c.shared
	case s.Unused:
		return c.unused
	}
	return c.once
}

type targetKey struct{}

// withTarget returns a context for a call to a target.
func withTarget(ctx context.Context, t Target) context.Context {
	return context.WithValue(ctx, targetKey{}, t)
}

// connectDetour connects to the target of a call through another node.
func (c *Client) connectDetour(ctx context.Context, _, _ string) (net.Conn, error) {
	t, _ := ctx.Value(targetKey{}).(Target)
	return c.paths.Detour(ctx, t)
}

// connect connects to the target of a call, or to the address of a call without one.
func (c *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if t, ok := ctx.Value(targetKey{}).(Target); ok && c.paths != nil {
		return c.paths.Direct(ctx, t)
	}
	return c.dialer.DialContext(ctx, network, address)
}
