package gateway

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/delivery"
)

// recheckInterval is how long after a check that nobody could answer the path to a silent target
// is checked again.
const recheckInterval = time.Second

// OnSilence implements delivery.Paths.
func (p *targetPaths) OnSilence(t delivery.Target, lost func()) (release func()) {
	key := &lost
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.onSilence[t.ID] == nil {
		p.onSilence[t.ID] = map[*func()]bool{}
	}
	p.onSilence[t.ID][key] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.onSilence[t.ID], key)
		if len(p.onSilence[t.ID]) == 0 {
			delete(p.onSilence, t.ID)
		}
	}
}

// check finds out whether the path to a silent target is broken. Calls that wait for the
// target then end if they may be sent again. If the instance refuses the connection, nothing
// on the path is lost, and the open connections may live.
func (p *targetPaths) check(ctx context.Context, t delivery.Target) {
	err := p.probe(ctx, t)
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if !p.reachedByMember(ctx, t) {
		time.AfterFunc(recheckInterval, func() { p.checkDue(ctx, t) })
		return
	}
	lost := p.waitingCalls(t)
	p.log.Info().Str("target", t.ID).Int("calls", len(lost)).Msg("paths: path to target is silent, sending calls again")
	for _, end := range lost {
		(*end)()
	}
}

// waitingCalls returns the calls to end for a path that loses what is sent.
func (p *targetPaths) waitingCalls(t delivery.Target) []*func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.onSilence[t.ID]))
}

// scheduleCheck arranges that the path to a target is checked if the target leaves what was
// sent without an answer. The caller must hold the lock.
func (p *targetPaths) scheduleCheck(t delivery.Target) {
	in, waiting := p.table.CheckIn(p.now(), t.ID)
	if !waiting || p.running == nil || p.checks[t.ID] {
		return
	}
	p.checks[t.ID] = true
	ctx := p.running
	time.AfterFunc(in, func() { p.checkDue(ctx, t) })
}

// checkDue runs a scheduled check, or schedules it again if it is not due yet.
func (p *targetPaths) checkDue(ctx context.Context, t delivery.Target) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	delete(p.checks, t.ID)
	in, waiting := p.table.CheckIn(p.now(), t.ID)
	if in > 0 {
		p.scheduleCheck(t)
	}
	p.mu.Unlock()
	if waiting && in == 0 {
		p.check(ctx, t)
	}
}
