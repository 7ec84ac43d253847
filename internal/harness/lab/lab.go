// Package lab starts a whole deployment in one process on loopback: a stand-in
// for every target of a bundle, the platform's services, and nodes. The
// demonstration, the load tool and tests use it.
package lab

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	loopback = "127.0.0.1:0"
	approver = "lab"
	// plenty is a limit of an organisation, in calls and requests a second, that
	// no load of the harnesses reaches: they send some hundreds.
	plenty = 100_000
	// readyPoll is how often Start looks whether all nodes serve.
	readyPoll = 5 * time.Millisecond
)

// Lab is a running deployment.
type Lab struct {
	// Plan is the bundle that was published last.
	Plan *bundle.Plan
	// Targets holds the stand-ins by target name.
	Targets map[string]*standin.Target
	// Scripts holds the script that the targets of each pool share.
	Scripts map[string]*standin.Script
	// Configuration is the configuration service.
	Configuration *standin.Configuration
	// Nodes holds the nodes in the order of their start.
	Nodes []*Member

	cfg      config
	key      ed25519.PrivateKey
	platform *http.Server
	base     string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu        sync.Mutex
	processes []*Process
}

// Member is one node with the means to stop it.
type Member struct {
	*node.Node

	stop  context.CancelFunc
	ended chan struct{}
	err   error
}

// Stop starts a planned stop.
func (m *Member) Stop() { m.stop() }

// Wait waits for the end of the node and returns its error.
func (m *Member) Wait() error {
	<-m.ended
	return m.err
}

// URL returns the address for callers.
func (m *Member) URL() string { return "http://" + m.CallerAddress() }

// Option changes a lab under construction.
type Option func(*config)

type config struct {
	nodes       int
	speeds      map[bundle.Kind]standin.Speed
	log         zerolog.Logger
	nodeOptions []node.Option
	announce    time.Duration
	reportLag   time.Duration
	slots       int
	lateBy      time.Duration
	change      func(*settings.Settings)
	edit        func(*bundle.Bundle)
	unlimited   bool
	targetTLS   *tls.Config
}

// WithNodes sets the number of nodes; 3 by default.
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

// Start starts the deployment of a bundle, whose addresses it replaces, and
// waits until every node serves or ctx ends.
func Start(ctx context.Context, text []byte, opts ...Option) (*Lab, error) {
	cfg := config{nodes: 3, speeds: defaultSpeeds(), log: zerolog.Nop(), announce: time.Millisecond, lateBy: time.Second}
	for _, opt := range opts {
		opt(&cfg)
	}
	plan, err := bundle.Parse("lab", text)
	if err != nil {
		return nil, err
	}
	l := &Lab{cfg: cfg, Targets: make(map[string]*standin.Target), Scripts: make(map[string]*standin.Script)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	_, l.key, err = ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	if err := l.start(ctx, plan.Bundle()); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func defaultSpeeds() map[bundle.Kind]standin.Speed {
	return map[bundle.Kind]standin.Speed{
		bundle.KindEncoder:   {Base: time.Millisecond},
		bundle.KindRetriever: {Base: time.Millisecond},
		bundle.KindReranker:  {Base: time.Millisecond},
		bundle.KindService:   {Base: time.Millisecond},
		bundle.KindEngine:    {Base: 2 * time.Millisecond, PerToken: time.Millisecond},
	}
}

func (l *Lab) start(ctx context.Context, b bundle.Bundle) error {
	l.cfg.editBundle(&b)
	if err := l.startTargets(&b); err != nil {
		return err
	}
	signed, err := l.sign(b)
	if err != nil {
		return err
	}
	if err := l.startPlatform(signed); err != nil {
		return err
	}
	if err := l.startNodes(); err != nil {
		return err
	}
	return l.waitReady(ctx)
}

func (c *config) editBundle(b *bundle.Bundle) {
	if c.unlimited {
		for i := range b.Organisations {
			b.Organisations[i].Limits = bundle.Limits{Concurrency: plenty, RequestsPerSecond: plenty, TokensPerSecond: 100 * plenty}
		}
	}
	if c.edit != nil {
		c.edit(b)
	}
}

// startTargets starts a stand-in for each target and puts its address into b.
func (l *Lab) startTargets(b *bundle.Bundle) error {
	for i := range b.Pools {
		p := &b.Pools[i]
		keys := standin.NewKeyLedger()
		l.Scripts[p.Name] = &standin.Script{}
		for j := range p.Targets {
			t := &p.Targets[j]
			if l.cfg.slots > 0 {
				t.Slots = l.cfg.slots
			}
			s := standin.NewTarget(t.Name, l.targetOptions(p, t, keys)...)
			if err := s.Start(loopback); err != nil {
				return err
			}
			t.Address = s.Address()
			l.Targets[t.Name] = s
		}
	}
	return nil
}

func (l *Lab) targetOptions(p *bundle.Pool, t *bundle.Target, keys *standin.KeyLedger) []standin.TargetOption {
	opts := []standin.TargetOption{
		standin.WithSlots(t.Slots), standin.WithSpeed(l.cfg.speeds[p.Kind]), standin.WithReportLag(l.cfg.reportLag),
		standin.WithScript(l.Scripts[p.Name]), standin.WithLateBy(l.cfg.lateBy),
	}
	if l.cfg.targetTLS != nil {
		opts = append(opts, standin.WithTLS(l.cfg.targetTLS))
	}
	if p.ChecksKeys {
		opts = append(opts, standin.WithKeys(keys))
	}
	return opts
}

func (l *Lab) sign(b bundle.Bundle) ([]byte, error) {
	// Steps between bundles are made of lines, as operators write them.
	text, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return nil, err
	}
	if l.Plan, err = bundle.Parse("lab", text); err != nil {
		return nil, err
	}
	signed := bundle.Signed{Text: string(text)}.WithSignature(bundle.Sign(approver, l.key, text))
	return json.Marshal(signed)
}

// Publish signs the next number of the bundle after change and puts it into
// the configuration service.
func (l *Lab) Publish(change func(*bundle.Bundle)) error {
	b := l.Plan.Bundle()
	b.Number++
	b.Previous = l.Plan.Digest()
	change(&b)
	signed, err := l.sign(b)
	if err != nil {
		return err
	}
	l.Configuration.Put(signed)
	return nil
}

func (l *Lab) startPlatform(signed []byte) error {
	l.Configuration = standin.NewConfiguration(signed)
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	l.base = "http://" + ln.Addr().String()
	l.platform = &http.Server{Handler: standin.PlatformHandler(l.Configuration), ReadHeaderTimeout: time.Second}
	go func() { _ = l.platform.Serve(ln) }()
	return nil
}

// startNodes creates all nodes before it runs them, so that each knows the
// peer addresses of those before it.
func (l *Lab) startNodes() error {
	for range l.cfg.nodes {
		if _, err := l.AddNode(); err != nil {
			return err
		}
	}
	return nil
}

// AddNode starts one more node, which knows the others as its peers.
func (l *Lab) AddNode(more ...node.Option) (*Member, error) {
	cfg := l.settings()
	if l.cfg.change != nil {
		l.cfg.change(cfg)
	}
	opts := append([]node.Option{node.WithLogger(l.cfg.log.With().Int("node", len(l.Nodes)).Logger())}, l.cfg.nodeOptions...)
	opts = append(opts, more...)
	n, err := node.New(cfg, opts...)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(l.ctx)
	m := &Member{Node: n, stop: stop, ended: make(chan struct{})}
	l.Nodes = append(l.Nodes, m)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		m.err = n.Run(ctx)
		close(m.ended)
	}()
	return m, nil
}

// Remove kills a node and forgets it, so that later nodes do not look for it.
func (l *Lab) Remove(m *Member) {
	m.Kill()
	m.Stop()
	l.Nodes = slices.DeleteFunc(l.Nodes, func(other *Member) bool { return other == m })
}

// settings returns the settings of the next node.
func (l *Lab) settings() *settings.Settings {
	var peers []string
	for _, m := range l.Nodes {
		peers = append(peers, m.PeerAddress())
	}
	public := l.key.Public().(ed25519.PublicKey)
	return &settings.Settings{
		DataCentre: l.dataCentre(len(l.Nodes)),
		Listen:     settings.Listen{Callers: loopback, Peers: loopback, Admin: loopback},
		Trust: &settings.Trust{
			Deployment: l.Plan.Name(), Required: 1,
			Approvers: []settings.Approver{{Name: approver, PublicKey: hex.EncodeToString(public)}},
		},
		Keys: &settings.Keys{
			Peer:   strings.Repeat("p", 32),
			Ticket: hex.EncodeToString(l.key.Seed()),
		},
		ConfigurationService: l.base,
		InstanceList:         l.base,
		Peers:                peers,
		Stop:                 &settings.Stop{AnnounceMs: int(l.cfg.announce.Milliseconds())},
	}
}

// dataCentre spreads the nodes over the data centres of the bundle.
func (l *Lab) dataCentre(i int) string {
	var names []string
	seen := make(map[string]bool)
	for _, p := range l.Plan.Bundle().Pools {
		for _, t := range p.Targets {
			if !seen[t.DataCentre] {
				seen[t.DataCentre] = true
				names = append(names, t.DataCentre)
			}
		}
	}
	return names[i%len(names)]
}

func (l *Lab) waitReady(ctx context.Context) error {
	for _, m := range l.Nodes {
		if err := WaitReady(ctx, m.AdminAddress()); err != nil {
			return errors.Wrap(err, "a node does not serve")
		}
	}
	return nil
}

// WaitReady waits until the node with the admin address serves.
func WaitReady(ctx context.Context, admin string) error {
	return Poll(ctx, func() bool {
		resp, err := http.Get("http://" + admin + wire.PathReady)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Poll waits until done is true or ctx ends.
func Poll(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Pool returns the stand-ins of a pool.
func (l *Lab) Pool(name string) []*standin.Target {
	var list []*standin.Target
	for _, t := range l.Plan.Pool(name).Targets {
		list = append(list, l.Targets[t.Name])
	}
	return list
}

// Close ends everything.
func (l *Lab) Close() {
	l.cancel()
	l.mu.Lock()
	for _, p := range l.processes {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	l.mu.Unlock()
	for _, m := range l.Nodes {
		m.Kill()
	}
	l.running.Wait()
	for _, t := range l.Targets {
		t.Crash()
	}
	if l.platform != nil {
		_ = l.platform.Close()
	}
}
