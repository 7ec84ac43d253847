package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// targets is what this node has measured of targets, safe for concurrent use.
type targets struct {
	now func() time.Time

	mu    sync.Mutex
	table *placement.TargetTable
}

func newTargets(now func() time.Time) *targets {
	return &targets{now: now, table: placement.NewTargetTable()}
}

// choose chooses an engine by the shared parts of a prompt, or a target for a request
// without one.
func (t *targets) choose(engine bool, list []directory.Target, q placement.Query) (directory.Target, bool) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if engine {
		return t.table.ByPrefix(now, list, q)
	}
	return t.table.LeastLoaded(now, list, q)
}

// ejected returns the identities of the targets that are not used for now.
func (t *targets) ejected(now time.Time, list []directory.Target) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Ejected(now, list)
}

func (t *targets) sent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Sent(id)
}

// attemptEnd is how an attempt at a target ended.
type attemptEnd struct {
	target string
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
		t.table.Report(now, e.target, *e.load)
	}
	t.table.Ended(now, e.target, e.took, e.fault)
	if e.unreachable {
		t.table.Eject(now, e.target)
	}
}

func (t *targets) prune(d *directory.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Prune(d)
}
