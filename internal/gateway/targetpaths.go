package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/reachability"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// TargetDialTimeout bounds connecting to a target, which accepts a connection within
	// some milliseconds.
	TargetDialTimeout = 300 * time.Millisecond
	// probeInterval is how often this node tries to connect to targets whose paths are
	// broken.
	probeInterval = 500 * time.Millisecond
	// cutOffProbes is how many targets are probed at a time while none is reachable, and
	// maxProbes how many otherwise: after a cut all paths are probed soon.
	cutOffProbes = 4
	maxProbes    = 32
)

// errDown means that no member reached a target lately.
var errDown = errors.New("members did not reach the target")

// dialFunc connects to an address.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// targetPaths connects to targets, directly or through other members. It implements
// delivery.Paths and owns the table of the paths.
type targetPaths struct {
	now     func() time.Time
	log     zerolog.Logger
	metrics *metrics
	dial    dialFunc
	tunnels *tunnelClient
	views   *viewKeeper
	// runsLate reports whether this node's own work runs late.
	runsLate func() bool

	mu sync.Mutex
	// running ends with the node; nil before run.
	running context.Context
	table   *reachability.Table
	// cutOff is whether the table said so after the last change.
	cutOff bool
	// isolation is done while this node is isolated.
	isolation    context.Context
	setIsolation context.CancelFunc
	// onIsolation is called when an isolation begins or ends.
	onIsolation func()
	// checks holds the targets for which a check is scheduled.
	checks map[string]bool
	// onSilence holds what to call when a path turns out to lose what is sent, by target.
	onSilence map[string]map[*func()]bool
}

func newTargetPaths(now func() time.Time, log zerolog.Logger, m *metrics, dial dialFunc, tunnels *tunnelClient, views *viewKeeper) *targetPaths {
	isolation, setIsolation := context.WithCancel(context.Background())
	return &targetPaths{
		now: now, log: log, metrics: m, dial: dial, tunnels: tunnels, views: views,
		isolation: isolation, setIsolation: setIsolation, onIsolation: func() {}, runsLate: func() bool { return false },
		table: reachability.NewTable(), checks: map[string]bool{}, onSilence: map[string]map[*func()]bool{},
	}
}

// Direct implements delivery.Paths.
func (p *targetPaths) Direct(ctx context.Context, t delivery.Target) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, TargetDialTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, "tcp", t.Address)
	switch {
	case err == nil:
		p.connected(t)
		return &directConn{Conn: conn, paths: p, target: t}, nil
	case ctx.Err() == nil && !p.isOwnDelay(err):
		p.failed(t, err)
	}
	return nil, err
}

// isOwnDelay reports whether a failure to connect says nothing of the path: the time was over while this
// node ran late, which may have noticed the connection too late.
func (p *targetPaths) isOwnDelay(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout() && p.runsLate()
}

// Detour implements delivery.Paths.
func (p *targetPaths) Detour(ctx context.Context, t delivery.Target) (net.Conn, error) {
	if !p.mayDetour(t) {
		return nil, errDown
	}
	askedAt := p.now()
	conn, err := p.tunnels.connect(ctx, t.ID)
	switch {
	case err == nil:
		p.detoured(t)
	case ctx.Err() == nil:
		p.down(t, askedAt)
	}
	return conn, err
}

// Broken implements delivery.Paths.
func (p *targetPaths) Broken(t delivery.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Broken(t.ID)
}

// closeUnused closes a connection on which nothing was sent, so that the error of its end
// says nothing.
func closeUnused(conn net.Conn) { _ = conn.Close() }

// run probes broken paths until ctx is done.
func (p *targetPaths) run(ctx context.Context) {
	p.mu.Lock()
	p.running = ctx
	p.mu.Unlock()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, t := range p.probes() {
				go p.probe(ctx, t)
			}
			if p.mayBeIsolated() {
				go p.findIsolation(ctx)
			}
		}
	}
}

// probes returns the targets to probe now.
func (p *targetPaths) probes() []delivery.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := maxProbes
	if p.cutOff {
		n = cutOffProbes
	}
	d := p.views.load().Directory
	var list []delivery.Target
	for _, id := range p.table.Probes(n) {
		if t, known := d.Target(id); known {
			list = append(list, delivery.Target{ID: t.ID, Address: t.Address})
		}
	}
	return list
}

// probe tries to connect to a target; Direct records the result.
func (p *targetPaths) probe(ctx context.Context, t delivery.Target) error {
	conn, err := p.Direct(ctx, t)
	if err == nil {
		closeUnused(conn)
	}
	return err
}

func (p *targetPaths) connected(t delivery.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if failure, failed := p.table.Connected(now, t.ID); failed {
		p.log.Info().Str("target", t.ID).Str("address", t.Address).Dur("after", now.Sub(failure.Since)).
			Msg("paths: target is reachable again")
		p.changed()
	}
	p.updateIsolation()
}

func (p *targetPaths) failed(t delivery.Target, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Failed(p.now(), t.ID, err) {
		p.log.Warn().Str("target", t.ID).Str("address", t.Address).Err(err).Msg("paths: target cannot be reached from this node")
		p.changed()
	}
}

func (p *targetPaths) detoured(t delivery.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metrics.recordDetour()
	if p.table.Detoured(p.now(), t.ID) {
		p.log.Warn().Str("target", t.ID).Str("address", t.Address).Msg("paths: target is reached through members")
		p.changed()
	}
	p.updateIsolation()
}

func (p *targetPaths) down(t delivery.Target, askedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.table.MayBeIsolated()
	p.table.Down(p.now(), askedAt, t.ID)
	if !before && p.table.MayBeIsolated() && p.running != nil {
		go p.findIsolation(p.running)
	}
}

func (p *targetPaths) mayDetour(t delivery.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.MayDetour(p.now(), t.ID)
}

func (p *targetPaths) sent(t delivery.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Sent(p.now(), t.ID)
	p.scheduleCheck(t)
}

func (p *targetPaths) heard(t delivery.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Heard(p.now(), t.ID)
	p.updateIsolation()
	if p.cutOff {
		p.changed()
	}
}

// changed logs and counts what a change of the table means. The caller must hold the lock.
func (p *targetPaths) changed() {
	failures := p.table.Failures()
	p.metrics.unreachableTargets.Update(float64(len(failures)))
	p.updateIsolation()
	cutOff := p.table.CutOff()
	if cutOff == p.cutOff {
		return
	}
	p.cutOff = cutOff
	if cutOff {
		p.log.Warn().Int("unreachable", len(failures)).Msg("paths: this node is cut off from its targets, calling through members")
		return
	}
	p.log.Info().Int("unreachable", len(failures)).Msg("paths: this node reaches targets again")
}

// prune drops the targets that have left.
func (p *targetPaths) prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Prune(func(id string) bool {
		_, known := d.Target(id)
		return known
	})
	p.changed()
}

// unreachable returns the targets that cannot be reached, for the state dump.
func (p *targetPaths) unreachable() []message.UnreachableTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	list := []message.UnreachableTarget{}
	for _, f := range p.table.Failures() {
		list = append(list, message.UnreachableTarget{
			Target: f.Target, SinceMs: int(now.Sub(f.Since).Milliseconds()), Error: f.Err, ThroughMembers: f.Broken,
		})
	}
	return list
}

// directConn is a direct connection to a target that reports when bytes pass.
type directConn struct {
	net.Conn
	paths  *targetPaths
	target delivery.Target
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.paths.heard(c.target)
	}
	return n, err
}

// Write implements net.Conn.
func (c *directConn) Write(b []byte) (int, error) {
	c.paths.sent(c.target)
	return c.Conn.Write(b)
}
