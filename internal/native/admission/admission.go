// Package admission decides, for one native node, which requests are admitted,
// which attempts of their stages wait, which target each attempt gets, and what is
// refused.
//
// It owns what the node knows of its targets (calls in flight, load reports,
// ejections, leaving marks), the work that is held, what each organisation uses
// and the learned times of stages. Nothing of it outlives the process.
//
// It relies on its caller for time and events: it does no input or output, starts
// no goroutine and reads no clock. Step takes the time, which must not go back,
// and an event, and returns the effects to carry out in order. A Core is owned by
// one goroutine or lock (docs/decisions/0002-lock-around-admission.md).
//
// When what it relies on fails:
//
//   - without load reports, targets count as loaded by this node's calls alone;
//   - without a bundle, every request is refused as unauthorised;
//   - without ticks, held work waits for the next end or report of its pool;
//   - without the number of nodes, the node plans as if it were alone.
//
// Each rule has its file: organisation.go (limits of organisations), shed.go
// (shedding), estimate.go (service times), fit.go (what fits its deadline),
// hold.go (order of held work), retrybudget.go, timeout.go (of attempts),
// choose.go (target of an attempt), subset.go (targets in use), eject.go (ejection
// and probing), leaving.go (leaving targets), read.go (which load report to read)
// and install.go (bundles). refusal.go builds the answers of refused work.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Config is what a core is created with.
type Config struct {
	// DataCentre is the node's own.
	DataCentre string
	// Policy chooses targets; nil for that of the product, routing.Balanced.
	Policy routing.Policy
	// Seed makes the random choices repeatable and fixes which targets of a large
	// pool the node prefers.
	Seed uint64
	// NeverRefuse turns early refusal off; work is then held until its deadline,
	// the earliest deadline first. It serves the baselines of experiments.
	NeverRefuse bool
}

// Core is the state of admission at one node.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	plan          *bundle.Plan
	pools         map[string]*pool
	targets       map[string]*target
	organisations map[string]*organisation
	open          map[uint64]openRequest
	items         map[uint64]*item
	times         estimator
	shedder       *shedder
}

// openRequest is a request that was admitted and is not closed.
type openRequest struct {
	organisation *organisation
	// bundle is the number of the bundle that governs it.
	bundle int
}

// New returns a core with no bundle in force; it refuses all work until Install.
func New(cfg Config) *Core {
	return &Core{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:         make(map[string]*pool),
		targets:       make(map[string]*target),
		organisations: make(map[string]*organisation),
		open:          make(map[uint64]openRequest),
		items:         make(map[uint64]*item),
		times:         make(estimator),
		shedder:       &shedder{classes: make(map[classKey]*class), nodes: 1},
	}
}

// Step applies one event at time now and returns the effects in order.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	switch e := ev.(type) {
	case Open:
		return c.openRequest(now, e)
	case Close:
		c.closeRequest(e)
	case Submit:
		return c.submit(now, e)
	case Withdraw:
		return c.withdraw(now, e)
	case Ended:
		return c.ended(now, e)
	case Report:
		return c.report(now, e)
	case Mark:
		c.mark(now, e)
	case Nodes:
		c.shedder.nodes = max(1, e.Count)
	case Install:
		return c.install(now, e)
	case Tick:
		return c.dispatchAll(now)
	}
	return nil
}

// openRequest admits a request or refuses it. The checks count in this order: its
// organisation is in the bundle, it is not shed, its stages fit the deadline, its
// organisation is within its limits.
func (c *Core) openRequest(now time.Time, e Open) []Effect {
	org := c.organisations[e.Organisation]
	if org == nil {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "no organisation %q in the bundle in force", e.Organisation))
	}
	if c.shed(now, e) {
		return refuse(e.ID, c.overload(replanInterval))
	}
	if excess := c.excess(now, e); excess > 0 {
		return refuse(e.ID, c.overload(excess))
	}
	if err := org.take(now, e.Tokens); err != nil {
		return refuse(e.ID, c.jitter(err))
	}
	c.open[e.ID] = openRequest{organisation: org, bundle: e.Bundle}
	return []Effect{Admit{ID: e.ID}}
}

func (c *Core) closeRequest(e Close) {
	r, known := c.open[e.ID]
	if !known {
		return
	}
	delete(c.open, e.ID)
	r.organisation.inFlight--
	c.dropRetired()
}

// submit grants an attempt its target, holds it or refuses it. The checks count in
// this order: its pool is known, the budget of retries pays for it, it can start in
// time.
func (c *Core) submit(now time.Time, e Submit) []Effect {
	p := c.pools[e.Pipeline.Stages[e.Stage].Pool]
	if p == nil {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "the pool is not in the bundle in force"))
	}
	if !p.retries.admit(e.Retry, p.load(now)) {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonRetryExhausted, "the pool's budget of retries is spent"))
	}
	it := c.newItem(now, p, e)
	if err := c.refusalFor(now, p, it); err != nil {
		return refuse(e.ID, err)
	}
	c.items[e.ID] = it
	if p.held == 0 {
		if t := p.choose(now, it, &c.cfg, c.rng); t != nil {
			return []Effect{c.grant(now, it, t)}
		}
	}
	p.hold(now, it, c.weight(e.Organisation))
	return c.dispatch(now, p)
}

func (c *Core) newItem(now time.Time, p *pool, e Submit) *item {
	it := &item{Submit: e, index: -1, pool: p}
	it.expected = c.times.estimate(e.Pipeline, e.Stage, e.Size)
	it.latestStart = c.latestStart(now, it)
	return it
}

func (c *Core) grant(now time.Time, it *item, t *target) Grant {
	it.target = t
	t.granted = now
	t.inFlight++
	return Grant{ID: it.ID, Target: t.spec, Pool: it.pool.spec, Timeout: attemptTimeout(it.expected)}
}

// withdraw drops held work, or releases the slot of a grant that was not used.
func (c *Core) withdraw(now time.Time, e Withdraw) []Effect {
	it := c.items[e.ID]
	if it == nil {
		return nil
	}
	delete(c.items, e.ID)
	if it.target == nil {
		it.pool.remove(now, it)
		return nil
	}
	it.target.inFlight--
	return c.dispatch(now, it.target.pool)
}

// ended releases the slot of an attempt and learns from its result.
func (c *Core) ended(now time.Time, e Ended) []Effect {
	it := c.items[e.ID]
	if it == nil || it.target == nil {
		return nil
	}
	delete(c.items, e.ID)
	t := it.target
	t.inFlight--
	if e.Err == nil {
		c.learn(it, t, e.Took)
	}
	if e.Err != nil && e.Err.Reason() == verdict.ReasonRefused {
		t.reportAskedAt = time.Time{} // read its report next: it may be leaving
	}
	if t.ended(now, e.Err, t.pool.mayEject(now)) {
		t.pool.widen(now)
	}
	return c.dispatch(now, t.pool)
}

func (c *Core) report(now time.Time, e Report) []Effect {
	t := c.targets[e.Target]
	if t == nil {
		return nil
	}
	t.report(now, e)
	t.pool.widen(now)
	t.pool.noteLoad(now)
	return c.dispatch(now, t.pool)
}

func (c *Core) mark(now time.Time, e Mark) {
	t := c.targets[e.Target]
	if t == nil {
		return
	}
	t.mark(e.Incarnation)
	t.pool.widen(now)
}

func (c *Core) dispatchAll(now time.Time) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(c.pools) {
		effects = append(effects, c.dispatch(now, c.pools[name])...)
	}
	return effects
}

// dispatch refuses the held work of a pool that can no longer start in time, and
// gives the rest targets in the order of next while there are free ones.
func (c *Core) dispatch(now time.Time, p *pool) []Effect {
	effects := c.refuseLate(now, p)
	for p.held > 0 {
		q := p.next()
		it := q.items[0]
		t := p.choose(now, it, &c.cfg, c.rng)
		if t == nil {
			break
		}
		p.charge(q, it.expected)
		p.remove(now, it)
		effects = append(effects, c.grant(now, it, t))
	}
	return effects
}

// weight returns the organisation's weight in the bundle; 1 for one that is no
// longer in it and whose requests still run.
func (c *Core) weight(organisation string) float64 {
	if org := c.organisations[organisation]; org != nil {
		return float64(org.spec.Weight)
	}
	return 1
}

func refuse(id uint64, err *verdict.Error) []Effect { return []Effect{Refuse{ID: id, Err: err}} }

// sortedKeys is asked at each decision's end: slices.Sorted grows its result, which
// costs an allocation for each doubling.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
