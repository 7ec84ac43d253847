// Package admission decides when work is let in, held back, sent to a target or
// refused. It does no input or output, starts no goroutine and reads no clock:
// Step takes the time and an event and returns the effects to carry out. The
// core is owned by one goroutine or lock.
package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxHeld bounds the work held for one pool.
	maxHeld = 4096
	// minimumRetryAfter is the shortest time after which to come back.
	minimumRetryAfter = 50 * time.Millisecond
	// idleWorth is what a look at a target of an idle pool is worth beside one of
	// a pool whose slots are all taken, which adds 1.
	idleWorth = 0.02
	// patienceFactor is how many times the expected time an attempt may take.
	patienceFactor = 8
	// minimumPatience keeps short stages from being given up for a hiccup.
	minimumPatience = 250 * time.Millisecond
	// retrySpread widens a retry time by up to this share, so that callers that
	// were refused together do not come back together.
	retrySpread = 0.5
)

// Config is what a core is created with.
type Config struct {
	// DataCentre is the node's own.
	DataCentre string
	// Policy chooses targets; Balanced when nil.
	Policy routing.Policy
	// Seed makes the random choices repeatable.
	Seed uint64
	// NeverRefuse turns early refusal off; work is then held until its deadline,
	// the earliest deadline first. It serves baselines.
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
	times         *estimator
	shedder       *shedder
}

// openRequest is a request that was let in and is not closed.
type openRequest struct {
	organisation *organisation
	// bundle is the number of the bundle that governs it.
	bundle int
}

// New returns a core with no bundle in force; it refuses all work until Install.
func New(cfg Config) *Core {
	if cfg.Policy == nil {
		cfg.Policy = routing.Balanced{}
	}
	return &Core{
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:         make(map[string]*pool),
		targets:       make(map[string]*target),
		organisations: make(map[string]*organisation),
		open:          make(map[uint64]openRequest),
		items:         make(map[uint64]*item),
		times:         newEstimator(),
		shedder:       newShedder(),
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
		if t := c.targets[e.Target]; t != nil {
			t.mark(e.Incarnation)
			t.pool.widen(now)
		}
	case Nodes:
		c.shedder.nodes = max(1, e.Count)
	case Install:
		return c.install(now, e)
	case Tick:
		return c.dispatchAll(now)
	}
	return nil
}

// Held returns how much work is held.
func (c *Core) Held() int {
	n := 0
	for _, p := range c.pools {
		n += p.held
	}
	return n
}

// InFlight returns how many requests are let in and not closed.
func (c *Core) InFlight() int { return len(c.open) }

// NextTick returns when held work must be looked at again; zero for never.
func (c *Core) NextTick(now time.Time) time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, p := range c.pools {
		if p.held == 0 {
			continue
		}
		sooner(p.back(now))
		for _, q := range p.queues {
			if len(q.items) > 0 {
				sooner(q.items[0].latest)
			}
		}
	}
	return next
}

func (c *Core) openRequest(now time.Time, e Open) []Effect {
	org := c.organisations[e.Organisation]
	if org == nil {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonUnauthorised, "no organisation %q in the bundle in force", e.Organisation))
	}
	if c.shed(now, e) {
		return refuse(e.ID, c.overload(replanInterval))
	}
	if late := c.tooLate(now, e); late != nil {
		return refuse(e.ID, late)
	}
	if err := org.take(now, e.Tokens); err != nil {
		return refuse(e.ID, c.spread(err))
	}
	c.open[e.ID] = openRequest{organisation: org, bundle: e.Bundle}
	return []Effect{Admit{ID: e.ID}}
}

// tooLate refuses a request whose stages cannot all end in time as things stand.
func (c *Core) tooLate(now time.Time, e Open) *verdict.Error {
	if c.cfg.NeverRefuse {
		return nil
	}
	need := c.whole(now, e.Organisation, e.Pipeline, e.Size, e.Deadline)
	if !now.Add(need).After(e.Deadline) {
		return nil
	}
	return c.overload(need - e.Deadline.Sub(now))
}

// whole predicts the time of all stages of a pipeline, waits included.
func (c *Core) whole(now time.Time, organisation string, p *bundle.PipelinePlan, size int, deadline time.Time) time.Duration {
	tails := c.tails(now, organisation, p, size, deadline)
	var longest time.Duration
	for _, i := range p.Order {
		longest = max(longest, tails[i])
	}
	return longest
}

// tails predicts, for each stage, the time from its submission to the end of
// the pipeline.
func (c *Core) tails(now time.Time, organisation string, p *bundle.PipelinePlan, size int, deadline time.Time) []time.Duration {
	tails := make([]time.Duration, len(p.Stages))
	for k := len(p.Order) - 1; k >= 0; k-- {
		i := p.Order[k]
		tails[i] = c.times.estimate(p, i, workSize(p, i, size)) + c.after(p, i, tails)
		if pl := c.pools[p.Stages[i].Pool]; pl != nil {
			tails[i] += pl.wait(now, c.shedder.nodes, organisation, c.weight(organisation), deadline.Add(-tails[i]))
		}
	}
	return tails
}

// after returns the longest tail among the stages that need stage i.
func (c *Core) after(p *bundle.PipelinePlan, i int, tails []time.Duration) time.Duration {
	var longest time.Duration
	for j, s := range p.Stages {
		if slices.Contains(s.Needs, p.Stages[i].Name) {
			longest = max(longest, tails[j])
		}
	}
	return longest
}

// workSize is the work of a stage for a request with size bytes of input.
func workSize(p *bundle.PipelinePlan, stage, size int) int {
	if tokens := p.Stages[stage].MaxTokens; tokens > 0 {
		return tokens
	}
	return size
}

func (c *Core) weight(organisation string) float64 {
	if org := c.organisations[organisation]; org != nil {
		return float64(org.spec.Weight)
	}
	return 1
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

// dropRetired forgets pools that left the bundle once no open request began
// before they did.
func (c *Core) dropRetired() {
	for name, p := range c.pools {
		if p.retired != 0 && !c.openBefore(p.retired) {
			delete(c.pools, name)
		}
	}
}

func (c *Core) openBefore(number int) bool {
	for _, r := range c.open {
		if r.bundle < number {
			return true
		}
	}
	return false
}

func (c *Core) submit(now time.Time, e Submit) []Effect {
	p := c.pools[e.Pipeline.Stages[e.Stage].Pool]
	if p == nil {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "the pool is not in the bundle in force"))
	}
	if e.Retry != First && !p.takeRetry(e.Retry) {
		return refuse(e.ID, verdict.New(verdict.NotRun, verdict.ReasonRetryExhausted, "the pool's budget of retries is spent"))
	}
	if e.Retry == First {
		p.earnRetry(now)
	}
	it := c.newItem(now, e)
	it.pool = p
	if err := c.hopeless(now, p, it); err != nil {
		return refuse(e.ID, err)
	}
	c.items[e.ID] = it
	if p.held == 0 {
		if t := p.choose(now, it, &c.cfg, c.rng); t != nil {
			return []Effect{c.grant(now, p, it, t)}
		}
	}
	p.hold(now, it, c.weight(e.Organisation))
	return c.dispatch(now, p)
}

func (c *Core) newItem(now time.Time, e Submit) *item {
	it := &item{Submit: e, index: -1}
	it.expected = c.times.estimate(e.Pipeline, e.Stage, e.Size)
	if c.cfg.NeverRefuse {
		it.latest = e.Deadline
		return it
	}
	tails := c.tails(now, e.Organisation, e.Pipeline, e.Size, e.Deadline)
	it.latest = e.Deadline.Add(-it.expected - c.after(e.Pipeline, e.Stage, tails))
	return it
}

// hopeless refuses work that cannot start in time as things stand.
func (c *Core) hopeless(now time.Time, p *pool, it *item) *verdict.Error {
	if p.held >= maxHeld {
		return c.overload(p.heldWork / time.Duration(max(1, p.slots(now))))
	}
	if p.slots(now) == 0 {
		if back := p.back(now); back.IsZero() || back.After(it.latest) {
			return c.noTarget(now, p, back)
		}
	}
	if c.cfg.NeverRefuse {
		return nil
	}
	wait := p.wait(now, c.shedder.nodes, it.Organisation, c.weight(it.Organisation), it.latest)
	if start := now.Add(wait); start.After(it.latest) {
		return c.overload(start.Sub(it.latest))
	}
	return nil
}

func (c *Core) overload(excess time.Duration) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonOverload, "the answer could not be whole by its deadline").
		WithRetryAfter(max(excess, minimumRetryAfter))
	return c.spread(err)
}

func (c *Core) noTarget(now time.Time, p *pool, back time.Time) *verdict.Error {
	err := verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "no target of pool %s may get work", p.spec.Name)
	if back.IsZero() {
		return c.spread(err.WithRetryAfter(time.Second))
	}
	return c.spread(err.WithRetryAfter(max(back.Sub(now), minimumRetryAfter)))
}

// spread lengthens a retry time at random.
func (c *Core) spread(err *verdict.Error) *verdict.Error {
	d := err.RetryAfter()
	return err.WithRetryAfter(d + time.Duration(c.rng.Float64()*retrySpread*float64(d)))
}

func (c *Core) grant(now time.Time, p *pool, it *item, t *target) Grant {
	it.target = t
	t.granted = now
	t.inFlight++
	patience := max(patienceFactor*it.expected, minimumPatience)
	return Grant{ID: it.ID, Target: t.spec, Pool: p.spec, Patience: patience}
}

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

func (c *Core) ended(now time.Time, e Ended) []Effect {
	it := c.items[e.ID]
	if it == nil || it.target == nil {
		return nil
	}
	delete(c.items, e.ID)
	t := it.target
	t.inFlight--
	if e.Err == nil {
		if it.expected > 0 {
			t.slowness.add(e.Took.Seconds() / it.expected.Seconds())
		}
		c.times.learn(it.Pipeline, it.Stage, it.Size, e.Took)
	}
	if e.Err != nil && e.Err.Reason() == verdict.ReasonRefused {
		t.looked = time.Time{}
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

func (c *Core) dispatchAll(now time.Time) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(c.pools) {
		effects = append(effects, c.dispatch(now, c.pools[name])...)
	}
	return effects
}

// dispatch gives held work its targets, fairly between organisations and the
// least slack first, and refuses what can no longer be whole in time.
func (c *Core) dispatch(now time.Time, p *pool) []Effect {
	effects := c.refuseLate(now, p)
	for p.held > 0 {
		q := p.next()
		it := q.items[0]
		t := p.choose(now, it, &c.cfg, c.rng)
		if t == nil {
			break
		}
		p.charge(q, max(it.expected, time.Millisecond))
		p.remove(now, it)
		effects = append(effects, c.grant(now, p, it, t))
	}
	return effects
}

func (c *Core) refuseLate(now time.Time, p *pool) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(p.queues) {
		q := p.queues[name]
		for len(q.items) > 0 && !now.Before(q.items[0].latest) {
			it := q.items[0]
			p.remove(now, it)
			delete(c.items, it.ID)
			effects = append(effects, Refuse{ID: it.ID, Err: c.overload(p.heldWork / time.Duration(max(1, p.slots(now))))})
		}
	}
	return effects
}

// install puts a bundle in force. Requests that began under an earlier one
// keep its pools until they end.
func (c *Core) install(now time.Time, e Install) []Effect {
	c.plan = e.Plan
	b := e.Plan.Bundle()
	c.installOrganisations(now, b.Organisations)
	c.installPools(b.Pools)
	return c.dispatchAll(now)
}

func (c *Core) installOrganisations(now time.Time, specs []bundle.Organisation) {
	next := make(map[string]*organisation, len(specs))
	for i := range specs {
		org := c.organisations[specs[i].Name]
		if org == nil {
			org = newOrganisation(&specs[i])
		} else {
			org.update(now, &specs[i])
		}
		next[specs[i].Name] = org
	}
	c.organisations = next
}

func (c *Core) installPools(specs []bundle.Pool) {
	pools := make(map[string]*pool, len(specs))
	targets := make(map[string]*target, len(c.targets))
	for i := range specs {
		spec := &specs[i]
		p := c.pools[spec.Name]
		if p == nil {
			p = newPool(spec)
		}
		p.spec = spec
		p.retired = 0
		p.all = c.installTargets(p, targets)
		p.allSlots = slotsOf(p.all)
		p.targets = p.all[:min(subset, len(p.all))]
		pools[spec.Name] = p
	}
	for name, p := range c.pools {
		if pools[name] != nil {
			continue
		}
		if p.retired == 0 {
			p.retired = c.plan.Number()
		}
		pools[name] = p
	}
	c.pools = pools
	c.targets = targets
	c.dropRetired()
}

// installTargets keeps what is known of targets that stay at their address.
func (c *Core) installTargets(p *pool, all map[string]*target) []*target {
	list := make([]*target, 0, len(p.spec.Targets))
	for _, spec := range p.spec.Targets {
		t := c.targets[spec.Name]
		if t == nil || t.spec.Address != spec.Address {
			t = &target{hash: routing.Hash(spec.Name)}
		}
		t.spec = spec
		t.pool = p
		all[spec.Name] = t
		list = append(list, t)
	}
	slices.SortStableFunc(list, c.byPreference)
	return list
}

// byPreference orders targets for this node: those of its data centre first, each
// part by rendezvous hashing, so that nodes spread over all targets.
func (c *Core) byPreference(a, b *target) int {
	return cmp.Compare(c.preference(b), c.preference(a))
}

func (c *Core) preference(t *target) uint64 {
	w := routing.Weight(c.cfg.Seed, t.hash)
	if t.spec.DataCentre == c.cfg.DataCentre {
		return w | 1<<63
	}
	return w
}

// NextReport returns the target whose load report is worth reading most, and
// false when there is none: the older the last look and the busier its pool, the
// more. A refusal makes a target worth a look at once, since it may be leaving.
func (c *Core) NextReport(now time.Time) (bundle.Target, bool) {
	var best *target
	worth := 0.0
	for _, name := range sortedKeys(c.pools) {
		p := c.pools[name]
		load := p.load(now)
		for _, t := range p.targets {
			busy := idleWorth + load*load
			if t.ejected(now) {
				busy = 1 // a new incarnation ends an ejection
			}
			if w := busy * now.Sub(t.looked).Seconds(); best == nil || w > worth {
				best, worth = t, w
			}
		}
	}
	if best == nil {
		return bundle.Target{}, false
	}
	best.looked = now
	return best.spec, true
}

// Targets describes every target, in the order of their names.
func (c *Core) Targets(now time.Time) []message.TargetState {
	states := make([]message.TargetState, 0, len(c.targets))
	for _, name := range sortedKeys(c.targets) {
		t := c.targets[name]
		s := message.TargetState{
			Target: name, Pool: t.pool.spec.Name, DataCentre: t.spec.DataCentre,
			InFlight: t.inFlight, Slots: t.spec.Slots, Ejected: t.ejected(now), Leaving: t.leaving, ReportAgeMs: -1,
		}
		if t.reported {
			s.ReportAgeMs = int(now.Sub(t.reportedAt).Milliseconds())
		}
		states = append(states, s)
	}
	return states
}

// Organisations describes every organisation, in the order of their names.
func (c *Core) Organisations() []message.OrganisationState {
	states := make([]message.OrganisationState, 0, len(c.organisations))
	for _, name := range sortedKeys(c.organisations) {
		org := c.organisations[name]
		states = append(states, message.OrganisationState{
			Organisation: name, InFlight: org.inFlight, Concurrency: org.spec.Limits.Concurrency,
		})
	}
	return states
}

func refuse(id uint64, err *verdict.Error) []Effect { return []Effect{Refuse{ID: id, Err: err}} }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
