package lab

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// defaultNodes is enough for a majority to outlive one.
	defaultNodes = 3
	// plenty is a limit of an organisation, in calls at once and requests a second,
	// and plentyTokens one in tokens a second, that no load of the harnesses
	// reaches.
	plenty       = 100_000
	plentyTokens = 100 * plenty
)

// Option changes a lab under construction.
type Option func(*config)

type config struct {
	nodes       int
	speeds      map[bundle.Kind]standin.Speed
	log         zerolog.Logger
	nodeOptions []node.Option
	reportLag   time.Duration
	slots       int
	lateBy      time.Duration
	change      func(*settings.Settings)
	edit        func(*bundle.Bundle)
	unlimited   bool
	targetTLS   *tls.Config
}

// WithNodes sets the number of nodes; defaultNodes by default.
func WithNodes(n int) Option { return func(c *config) { c.nodes = n } }

// WithSpeed sets how long the targets of a kind work.
func WithSpeed(k bundle.Kind, s standin.Speed) Option {
	return func(c *config) { c.speeds[k] = s }
}

// WithLogger sets the nodes' log.
func WithLogger(log zerolog.Logger) Option { return func(c *config) { c.log = log } }

// WithNodeOptions adds options to every node.
func WithNodeOptions(opts ...node.Option) Option {
	return func(c *config) { c.nodeOptions = append(c.nodeOptions, opts...) }
}

// WithReportLag makes load reports lag.
func WithReportLag(d time.Duration) Option { return func(c *config) { c.reportLag = d } }

// WithSlots overrides the slots of every target.
func WithSlots(n int) Option { return func(c *config) { c.slots = n } }

// WithLateBy sets the delay of targets that answer late.
func WithLateBy(d time.Duration) Option { return func(c *config) { c.lateBy = d } }

// WithBundle edits the bundle before it is published.
func WithBundle(edit func(*bundle.Bundle)) Option { return func(c *config) { c.edit = edit } }

// WithoutLimits lifts the limits of every organisation out of the way of a load.
func WithoutLimits() Option { return func(c *config) { c.unlimited = true } }

// WithSettings changes the settings of every node.
func WithSettings(change func(*settings.Settings)) Option {
	return func(c *config) { c.change = change }
}

// WithTargetTLS lets the targets speak TLS.
func WithTargetTLS(cfg *tls.Config) Option { return func(c *config) { c.targetTLS = cfg } }

func newConfig(opts []Option) config {
	cfg := config{nodes: defaultNodes, speeds: defaultSpeeds(), log: zerolog.Nop(), lateBy: time.Second}
	for _, opt := range opts {
		opt(&cfg)
	}
	return cfg
}

// defaultSpeeds are short, so that tests are quick.
func defaultSpeeds() map[bundle.Kind]standin.Speed {
	return map[bundle.Kind]standin.Speed{
		bundle.KindEncoder:   {Base: time.Millisecond},
		bundle.KindRetriever: {Base: time.Millisecond},
		bundle.KindReranker:  {Base: time.Millisecond},
		bundle.KindService:   {Base: time.Millisecond},
		bundle.KindEngine:    {Base: 2 * time.Millisecond, PerToken: time.Millisecond},
	}
}

// editBundle carries out what the options ask of the bundle.
func (c *config) editBundle(b *bundle.Bundle) {
	if c.unlimited {
		for i := range b.Organisations {
			b.Organisations[i].Limits = bundle.Limits{Concurrency: plenty, RequestsPerSecond: plenty, TokensPerSecond: plentyTokens}
		}
	}
	if c.edit != nil {
		c.edit(b)
	}
}
