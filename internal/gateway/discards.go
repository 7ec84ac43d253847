package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// discardDelay gathers results for one call that discards them. With 8 ms worth was
	// lower by 0.003, within its standard error; longer holds memory that items wait for.
	discardDelay = 25 * time.Millisecond
	// discardTimeout bounds that call. A target that does not answer drops the results
	// itself when they expire.
	discardTimeout = time.Second
)

// discardQueue gathers results to discard, by the life of their target. Its coordinator owns it.
type discardQueue struct {
	log      zerolog.Logger
	targets  Targets
	byTarget map[directory.Life]*batching.Discard
	// scheduled says whether the coordinator is going to receive flushDiscards.
	scheduled bool
}

// add gathers results, and says whether flushDiscards is to be scheduled.
func (d *discardQueue) add(e batching.Discard) (schedule bool) {
	p := d.byTarget[e.Target.Life()]
	if p == nil {
		p = &batching.Discard{Target: e.Target}
		d.byTarget[e.Target.Life()] = p
	}
	p.Handles = append(p.Handles, e.Handles...)
	schedule = !d.scheduled
	d.scheduled = true
	return schedule
}

// take removes and returns what is gathered for a target; nil for nothing.
func (d *discardQueue) take(target directory.Life) *batching.Discard {
	p := d.byTarget[target]
	delete(d.byTarget, target)
	return p
}

// flush discards all that is gathered.
func (d *discardQueue) flush() {
	d.scheduled = false
	for id, p := range d.byTarget {
		delete(d.byTarget, id)
		go d.send(p)
	}
}

// send discards results at their target. A target that cannot be reached drops them
// itself when they expire.
func (d *discardQueue) send(p *batching.Discard) {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	if err := d.targets.Release(ctx, p.Target, p.Handles); err != nil {
		d.log.Debug().Str("target", p.Target.ID).Int("results", len(p.Handles)).Err(err).Msg("items: results were not discarded")
	}
}
