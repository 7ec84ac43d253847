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
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

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
type Option = gateway.Option

// New returns a gateway that listens on its addresses but serves nothing until
// Run. A port 0 in the settings takes a free port. It fails with
// ErrNoGateway, or when an address cannot be listened on.
func New(cfg *settings.Settings, opts ...Option) (*Gateway, error) {
	if cfg.Gateway == nil {
		return nil, ErrNoGateway
	}
	return gateway.New(cfg, platform.NewPorts(cfg.Gateway.Store), opts...)
}

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option { return gateway.WithLogger(log) }

// WithClock sets the clock, which must be monotonic; time.Now by default.
func WithClock(now func() time.Time) Option { return gateway.WithClock(now) }
