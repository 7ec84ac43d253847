package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// targetStats holds this node's statistics of targets. It is safe for concurrent use.
type targetStats struct {
	now    func() time.Time
	margin warmup.Margin

	mu    sync.Mutex
	table *placement.TargetTable
	// limits are the request rate limits of cold targets, by service.
	limits map[string]*warmup.Limiter
	// isolated are the targets that have a suspected request of this node at the moment.
	isolated map[string]bool
}

func newTargetStats(now func() time.Time, margin warmup.Margin) *targetStats {
	return &targetStats{now: now, margin: margin, table: placement.NewTargetTable(), limits: make(map[string]*warmup.Limiter), isolated: make(map[string]bool)}
}

// limitsOf returns the limits of a service; the caller must hold the mutex.
func (t *targetStats) limitsOf(service *catalog.Service) *warmup.Limiter {
	limits := t.limits[service.Name]
	if limits == nil {
		limits = warmup.NewLimiter()
		t.limits[service.Name] = limits
	}
	limits.SetBound(t.margin.Bound(service.WarmUp))
	return limits
}

// choose chooses an engine by the shared parts of a prompt, or the least loaded target of
// a plain service.
func (t *targetStats) choose(service *catalog.Service, list []directory.Target, q placement.Query) (directory.Target, bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	q.Limiter = t.limitsOf(service)
	if service.Engine {
		return t.table.ByPrefix(now, list, q)
	}
	return t.table.LeastLoaded(now, list, q)
}

// ejected returns the IDs of the targets that are temporarily not used.
func (t *targetStats) ejected(now time.Time, d *directory.Directory) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Ejected(now, d)
}

// isolatedTargets returns the targets that have a suspected request of this node at the
// moment.
func (t *targetStats) isolatedTargets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.isolated))
}

// isolate keeps other suspected requests of this node away from a target. It returns false
// if the target already has one.
func (t *targetStats) isolate(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated[id] {
		return false
	}
	t.isolated[id] = true
	return true
}

func (t *targetStats) endIsolation(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.isolated, id)
}

func (t *targetStats) sent(l directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordStart(l)
}

// attemptResult is the result of an attempt at a target.
type attemptResult struct {
	target directory.Incarnation
	// load is the load that the target reported; nil for none.
	load *placement.Load
	// service is the name of the service, empty for engines, and slowdown what the target
	// reported; 0 for none.
	service  string
	slowdown float64
	// answered is true if the target answered.
	answered bool
	// took is the time to the response header or to the failure.
	took time.Duration
	// fault is true if a failure counts against the target, unreachable if the target did
	// not accept a connection.
	fault, unreachable bool
}

func (t *targetStats) ended(e attemptResult) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.load != nil {
		t.table.RecordLoad(now, e.target, *e.load)
	}
	if e.answered && !e.fault && e.service != "" {
		t.table.RecordSpeed(now, e.service, e.target, e.took, e.slowdown)
	}
	t.table.RecordEnd(now, e.target, e.took, e.fault)
	if e.unreachable {
		t.table.Eject(now, e.target)
	}
}

func (t *targetStats) speeds() []targetspeed.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Speeds(t.now())
}

func (t *targetStats) prune(d *directory.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Prune(d)
	for _, limits := range t.limits {
		limits.Prune(t.now(), d)
	}
}
