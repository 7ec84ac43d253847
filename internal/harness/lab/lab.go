// Package lab stands in for a whole deployment of the native interface: it starts a
// stand-in for every target of a bundle, the platform's services and real nodes
// on loopback, all in one process. The demonstration, the fault matrix, the
// comparison of policies and tests use it.
//
// Left out: the network between machines, TLS unless a test asks for it, keys
// kept apart (one approver signs everything), and real targets. It relies on the
// package standin; a stand-in or node that does not start ends Start with its
// error, and Close ends everything that was started.
package lab

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	loopback = "127.0.0.1:0"
	approver = "lab"
	// readyPoll is how often Poll looks.
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
}

// Start starts the deployment of a bundle, whose addresses it replaces, and
// waits until every node serves or ctx ends.
func Start(ctx context.Context, text []byte, opts ...Option) (*Lab, error) {
	cfg := newConfig(opts)
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

func (l *Lab) start(ctx context.Context, b bundle.Bundle) error {
	l.cfg.editBundle(&b)
	if err := l.startTargets(&b); err != nil {
		return err
	}
	signed, err := l.sign(b)
	if err != nil {
		return err
	}
	l.Plan = signed.Plan
	if err := l.startPlatform(signed.signed); err != nil {
		return err
	}
	if err := l.startNodes(); err != nil {
		return err
	}
	return l.waitReady(ctx)
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

// SignedBundle is a bundle that is ready to be published.
type SignedBundle struct {
	// Plan is the bundle's.
	Plan   *bundle.Plan
	signed []byte
}

// sign returns the signed bundle.
func (l *Lab) sign(b bundle.Bundle) (*SignedBundle, error) {
	// Steps between bundles are made of lines, as operators write them.
	text, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return nil, err
	}
	plan, err := bundle.Parse("lab", text)
	if err != nil {
		return nil, err
	}
	signed, err := json.Marshal(bundle.Signed{Text: string(text)}.WithSignature(bundle.Sign(approver, l.key, text)))
	if err != nil {
		return nil, err
	}
	return &SignedBundle{Plan: plan, signed: signed}, nil
}

// SignNext signs the bundle that follows the one of a plan, after change.
func (l *Lab) SignNext(plan *bundle.Plan, change func(*bundle.Bundle)) (*SignedBundle, error) {
	b := plan.Bundle()
	b.Number++
	b.Previous = plan.Digest()
	change(&b)
	return l.sign(b)
}

// PublishSigned puts a signed bundle into the configuration service.
func (l *Lab) PublishSigned(s *SignedBundle) {
	l.Plan = s.Plan
	l.Configuration.Put(s.signed)
}

// Publish signs the next number of the bundle after change and puts it into
// the configuration service.
func (l *Lab) Publish(change func(*bundle.Bundle)) error {
	s, err := l.SignNext(l.Plan, change)
	if err != nil {
		return err
	}
	l.PublishSigned(s)
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
	go func() { _ = l.platform.Serve(ln) }() // ends with Close
	return nil
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
		_ = resp.Body.Close() // nothing of it was read
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

// Runs returns what the stand-ins of a pool ran, target by target.
func (l *Lab) Runs(pool string) []standin.Run {
	var runs []standin.Run
	for _, t := range l.Pool(pool) {
		runs = append(runs, t.Runs()...)
	}
	return runs
}

// Close ends everything.
func (l *Lab) Close() {
	l.cancel()
	for _, m := range l.Nodes {
		m.Kill()
	}
	l.running.Wait()
	for _, t := range l.Targets {
		t.Crash()
	}
	if l.platform != nil {
		_ = l.platform.Close() // the process drops its connections anyway
	}
}
