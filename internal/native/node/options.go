package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/native/routing"
)

// options is what a node is created with besides its settings.
type options struct {
	log            zerolog.Logger
	now            func() time.Time
	policy         routing.Policy
	withoutRefusal bool
	// stall is the longest silence of an engine's stream; 0 for the default of
	// the package delivery.
	stall time.Duration
}

// Option changes a Node under construction.
type Option func(*options)

// WithLogger sets the log; it is silent by default.
func WithLogger(log zerolog.Logger) Option { return func(o *options) { o.log = log } }

// WithClock sets the clock, which must be monotonic; time.Now by default.
func WithClock(now func() time.Time) Option { return func(o *options) { o.now = now } }

// WithPolicy sets how targets are chosen, for experiments.
func WithPolicy(p routing.Policy) Option { return func(o *options) { o.policy = p } }

// WithoutRefusal holds work until its deadline instead of refusing it early, for
// experiments.
func WithoutRefusal() Option { return func(o *options) { o.withoutRefusal = true } }

// WithStall sets the longest silence of an engine's stream, after which the
// stream counts as lost.
func WithStall(d time.Duration) Option { return func(o *options) { o.stall = d } }

func newOptions(opts []Option) options {
	o := options{log: zerolog.Nop(), now: time.Now, policy: routing.Balanced{}}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
