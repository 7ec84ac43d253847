package delivery

import (
	"context"
	"net"
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
}

// UsePaths connects to the targets of Exchange through p. It must be called before any call
// is sent.
func (c *Client) UsePaths(p Paths) { c.paths = p }

type targetKey struct{}

// withTarget returns a context for a call to a target.
func withTarget(ctx context.Context, t Target) context.Context {
	return context.WithValue(ctx, targetKey{}, t)
}

// connect connects to the target of a call, or to the address of a call without one.
func (c *Client) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if t, ok := ctx.Value(targetKey{}).(Target); ok && c.paths != nil {
		return c.paths.Direct(ctx, t)
	}
	return c.dialer.DialContext(ctx, network, address)
}
