// Package gateway runs one instance of honeydyke on the users' platform: it
// relays requests by the configuration and the targets that the platform's
// store publishes, and stops without cutting work.
//
// Another program creates a gateway with New and runs it with Run. The gateway
// keeps nothing on disk, starts no process and writes no shared state. The
// implementation is in internal/gateway, the translation of the platform's
// protocol in platform.
package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/boottime"
	"github.com/honeydyke/honeydyke/internal/gateway"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/platform"
)

// ErrNoGateway says that the settings have no gateway section.
var ErrNoGateway = errors.New("the settings have no gateway")

// Gateway is one instance. Its Run serves until the context ends and then stops
// as planned; its Reload takes in changed settings.
type Gateway = gateway.Gateway

// Option changes a Gateway under construction.
type Option func(*options)

// options are those of the gateway's two parts.
type options struct {
	gateway []gateway.Option
	adapter []platform.Option
}

// New returns a gateway that listens on its addresses but serves nothing until
// Run. A port 0 in the settings takes a free port. It fails with
// ErrNoGateway, or when an address cannot be listened on.
func New(cfg *settings.Settings, opts ...Option) (*Gateway, error) {
	if cfg.Gateway == nil {
		return nil, ErrNoGateway
	}
	var o options
	// Both parts go by one clock.
	WithClock(boottime.New().Now)(&o)
	for _, opt := range opts {
		opt(&o)
	}
	return gateway.New(cfg, platform.NewPorts(cfg.Gateway.Store, o.adapter...), o.gateway...)
}

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option {
	return func(o *options) {
		o.gateway = append(o.gateway, gateway.WithLogger(log))
		o.adapter = append(o.adapter, platform.WithLogger(log))
	}
}

// WithTargetDialer sets the function that connects to targets; TCP by default.
func WithTargetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.gateway = append(o.gateway, gateway.WithTargetDialer(dial)) }
}

// WithNetwork listens and connects over another network than TCP.
func WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) {
		o.gateway = append(o.gateway, gateway.WithNetwork(listen, dial))
		o.adapter = append(o.adapter, platform.WithDialer(dial))
	}
}

// WithClock sets the clock, which must be monotonic; by default one that goes on while the
// machine is suspended.
func WithClock(now func() time.Time) Option {
	return func(o *options) {
		o.gateway = append(o.gateway, gateway.WithClock(now))
		o.adapter = append(o.adapter, platform.WithClock(now))
	}
}
