package node

import (
	"context"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// minimumTick is the shortest time between two ticks of the core.
const minimumTick = time.Millisecond

// gate owns the admission core and carries out its effects: it wakes those who
// wait for the core's answers, and applies a Tick when held work is due. A lock,
// not an actor, guards the core, because every attempt of the request path passes
// here (docs/decisions/0002-lock-around-admission.md).
type gate struct {
	now func() time.Time

	mu   sync.Mutex
	core *admission.Core
	// waiting holds a channel of capacity 1 for each event that has no answer yet.
	waiting map[uint64]chan admission.Effect
	// timer fires at the core's next tick; nil when nothing is held.
	timer  *time.Timer
	lastID uint64
}

func newGate(cfg admission.Config, now func() time.Time) *gate {
	return &gate{now: now, core: admission.New(cfg), waiting: make(map[uint64]chan admission.Effect)}
}

// step applies an event and carries out its effects. The lock is held.
func (g *gate) step(ev admission.Event) {
	now := g.now()
	for _, effect := range g.core.Step(now, ev) {
		switch e := effect.(type) {
		case admission.Admit:
			g.answer(e.ID, e)
		case admission.Grant:
			g.answer(e.ID, e)
		case admission.Refuse:
			g.answer(e.ID, e)
		}
	}
	g.schedule(now)
}

// answer wakes who waits for the answer, unless nobody waits any more.
func (g *gate) answer(id uint64, effect admission.Effect) {
	if ch, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ch <- effect
	}
}

// schedule sets the timer for the core's next tick, at least minimumTick from now.
func (g *gate) schedule(now time.Time) {
	next := g.core.NextTick(now)
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if next.IsZero() {
		return
	}
	g.timer = time.AfterFunc(max(next.Sub(now), minimumTick), func() { g.apply(admission.Tick{}) })
}

// apply applies an event that nobody waits for.
func (g *gate) apply(ev admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(ev)
}

// ask applies an event that is answered, and returns its identity and the channel
// of the answer.
func (g *gate) ask(newEvent func(id uint64) admission.Event) (uint64, <-chan admission.Effect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	id := g.lastID
	ch := make(chan admission.Effect, 1)
	g.waiting[id] = ch
	g.step(newEvent(id))
	return id, ch
}

// open admits a request or refuses it; the returned function closes it.
func (g *gate) open(j *job) (func(), error) {
	id, answer := g.ask(func(id uint64) admission.Event {
		return admission.Open{
			ID: id, Organisation: j.organisation.Name, Bundle: j.plan.Number(), Pipeline: j.pipeline, Deadline: j.deadline,
			Size: len(j.input), Tokens: ceilingOf(j.pipeline),
		}
	})
	if refusal, refused := (<-answer).(admission.Refuse); refused {
		return nil, refusal.Err
	}
	return func() { g.apply(admission.Close{ID: id}) }, nil
}

// ceilingOf returns the most tokens that one run of the pipeline generates.
func ceilingOf(p *bundle.PipelinePlan) int {
	n := 0
	for _, s := range p.Stages {
		n += s.MaxTokens
	}
	return n
}

// acquire waits for a target, until ctx ends or admission refuses. The caller must
// end the grant.
func (g *gate) acquire(ctx context.Context, s admission.Submit) (admission.Grant, error) {
	id, answer := g.ask(func(id uint64) admission.Event {
		s.ID = id
		return s
	})
	select {
	case effect := <-answer:
		return granted(effect)
	case <-ctx.Done():
		g.withdraw(id)
		return admission.Grant{}, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the request ended while it was held")
	}
}

// withdraw ends the wait for a target. A grant that crosses it goes back to the
// core, which knows it by the same identity.
func (g *gate) withdraw(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.step(admission.Withdraw{ID: id})
}

// granted returns the grant of an answer, or the error of a refusal.
func granted(effect admission.Effect) (admission.Grant, error) {
	switch e := effect.(type) {
	case admission.Grant:
		return e, nil
	case admission.Refuse:
		return admission.Grant{}, e.Err
	default:
		return admission.Grant{}, verdict.New(verdict.NotRun, verdict.ReasonInternal, "unexpected answer of admission")
	}
}

// end releases a grant with the result of its attempt; err is nil for success.
func (g *gate) end(grant admission.Grant, err *verdict.Error, took time.Duration) {
	g.apply(admission.Ended{ID: grant.ID, Err: err, Took: took})
}

// nextReport returns the target whose load report is worth most.
func (g *gate) nextReport() (bundle.Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.NextReport(g.now())
}

// describe writes what the core holds into the state dump.
func (g *gate) describe(dump *message.StateDump) {
	g.mu.Lock()
	defer g.mu.Unlock()
	dump.InFlight = g.core.InFlight()
	dump.Held = g.core.Held()
	dump.Targets = g.core.Targets(g.now())
	dump.Organisations = g.core.Organisations()
}
