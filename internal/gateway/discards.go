package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// discardDelay is how long discards are collected before they are sent in one call. A
	// shorter delay means more calls; a longer one holds memory that items wait for.
	discardDelay = 25 * time.Millisecond
	// discardTimeout bounds that call. A target that does not answer drops the results when
	// they expire.
	discardTimeout = time.Second
)

// discardQueue collects the results to discard, by the incarnation of their target. It
// belongs to one coordinator.
type discardQueue struct {
	log      zerolog.Logger
	targets  Targets
	byTarget map[directory.Incarnation]*batching.Discard
	// scheduled is set while a flushDiscards message is on its way to the coordinator.
	scheduled bool
}

// add adds results and reports whether flushDiscards must be scheduled.
func (d *discardQueue) add(e batching.Discard) (schedule bool) {
	p := d.byTarget[e.Target.Incarnation()]
	if p == nil {
		p = &batching.Discard{Target: e.Target}
		d.byTarget[e.Target.Incarnation()] = p
	}
	p.Handles = append(p.Handles, e.Handles...)
	schedule = !d.scheduled
	d.scheduled = true
	return schedule
}

// take removes and returns the discards collected for a target; nil if there are none.
func (d *discardQueue) take(target directory.Incarnation) *batching.Discard {
	p := d.byTarget[target]
	delete(d.byTarget, target)
	return p
}

// flush sends all collected discards.
func (d *discardQueue) flush() {
	d.scheduled = false
	for id, p := range d.byTarget {
		delete(d.byTarget, id)
		go d.send(p)
	}
}

// send discards results at their target. An unreachable target drops them when they expire.
func (d *discardQueue) send(p *batching.Discard) {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	if err := d.targets.Release(ctx, p.Target, p.Handles); err != nil {
		d.log.Debug().Str("target", p.Target.ID).Int("results", len(p.Handles)).Err(err).Msg("items: discarding results failed")
	}
}
