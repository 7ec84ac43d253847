package backpressure

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/message"
)

// Config is what a Keeper is made of.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// Changed gets the number of targets with a limit when that may have changed. It must
	// not call the keeper.
	Changed func(limited int)
}

// Keeper is a table of targets that is safe for concurrent use and logs what changes.
type Keeper struct {
	cfg Config

	mu    sync.Mutex
	table *table
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper(cfg Config) *Keeper { return &Keeper{cfg: cfg, table: newTable()} }

// Heard takes in what a target said in an answer to this node.
func (k *Keeper) Heard(target directory.Life, s Signal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	before := k.table.limit(target)
	k.table.heard(target, limitReport{Limit: s.Limit, at: now})
	if s.Limit != before {
		k.changed(target, "")
	}
}

// changed logs the limit of a target and counts those that there are; the caller holds
// the lock.
func (k *Keeper) changed(target directory.Life, from string) {
	line := k.cfg.Log.Info().Str("target", target.String()).Str("from", from)
	if l := k.table.limit(target); l.Set {
		line.Float64("perSecond", l.PerSecond).Msg("backpressure: target names a limit")
	} else {
		line.Msg("backpressure: target names no limit any more")
	}
	k.cfg.Changed(k.table.limited())
}

// Limits lists the targets with a limit.
func (k *Keeper) Limits() []message.TargetLimit {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.messages(k.cfg.Now())
}

// Prune forgets lives of targets that have ended.
func (k *Keeper) Prune(d *directory.Directory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.prune(d)
	k.cfg.Changed(k.table.limited())
}
