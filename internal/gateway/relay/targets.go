package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// targets is what this node has measured of targets, safe for concurrent use.
type targets struct {
	now    func() time.Time
	margin warmup.Margin

	mu    sync.Mutex
	table *placement.TargetTable
	// limits bound what cold targets get, by service.
	limits map[string]*warmup.Limiter
	// isolated are the targets that have a suspected request of this node.
	isolated map[string]bool
}

func newTargets(now func() time.Time, margin warmup.Margin) *targets {
	return &targets{now: now, margin: margin, table: placement.NewTargetTable(), limits: make(map[string]*warmup.Limiter), isolated: make(map[string]bool)}
}

// limitsOf returns the limits of a service; the caller holds the lock.
func (t *targets) limitsOf(service *catalog.Service) *warmup.Limiter {
	limits := t.limits[service.Name]
	if limits == nil {
		limits = warmup.NewLimiter()
		t.limits[service.Name] = limits
	}
	limits.SetBound(t.margin.Bound(service.WarmUp))
	return limits
}

// choose chooses an engine by the shared parts of a prompt, or a target for a request
// without one.
func (t *targets) choose(service *catalog.Service, list []directory.Target, q placement.Query) (directory.Target, bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	q.Limiter = t.limitsOf(service)
	if service.Engine {
		return t.table.ByPrefix(now, list, q)
	}
	return t.table.LeastLoaded(now, list, q)
}

// ejected returns the identities of the targets that are not used for now.
func (t *targets) ejected(now time.Time, d *directory.Directory) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Ejected(now, d)
}

// withSuspects returns the targets that have a suspected request of this node.
func (t *targets) withSuspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.isolated))
}

// isolate keeps other suspected requests of this node away from a target; false when
// there is one already.
func (t *targets) isolate(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated[id] {
		return false
	}
	t.isolated[id] = true
	return true
}

func (t *targets) endIsolation(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.isolated, id)
}

func (t *targets) sent(l directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordStart(l)
}

// attemptEnd is how an attempt at a target ended.
type attemptEnd struct {
	target directory.Incarnation
	// load is what the target reported of itself; nil for nothing.
	load *placement.Load
	// took is the time to the answer's head, or to the failure.
	took time.Duration
	// fault says that a failure counts against the target, unreachable that it took
	// no connection.
	fault, unreachable bool
}

func (t *targets) ended(e attemptEnd) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.load != nil {
		t.table.RecordLoad(now, e.target, *e.load)
	}
	t.table.RecordEnd(now, e.target, e.took, e.fault)
	if e.unreachable {
		t.table.Eject(now, e.target)
	}
}

func (t *targets) prune(d *directory.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Prune(d)
	for _, limits := range t.limits {
		limits.Prune(t.now(), d)
	}
}
