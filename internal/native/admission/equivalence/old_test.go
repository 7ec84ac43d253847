package equivalence_test

// This file is the admission core as it was before it was parted along its rules.

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

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

const (
	// learnRate is the weight of a new observation in the moving means.
	learnRate = 0.1
	// sizeClasses bounds the classes of work size, one for each power of two.
	sizeClasses = 33
)

// estimator learns how long stages take, by the class of their work size.
type estimator struct {
	stages map[stageKey]*stageTimes
}

type stageKey struct {
	pipeline string
	stage    string
}

type stageTimes struct {
	classes [sizeClasses]movingMean
}

// movingMean is an exponentially weighted mean, in seconds.
type movingMean struct {
	seen bool
	mean float64
}

func (m *movingMean) add(x float64) {
	if !m.seen {
		m.seen = true
		m.mean = x
		return
	}
	m.mean += learnRate * (x - m.mean)
}

func newEstimator() *estimator {
	return &estimator{stages: make(map[stageKey]*stageTimes)}
}

func sizeClass(size int) int { return min(bits.Len(uint(max(size, 0))), sizeClasses-1) }

// learn takes in the time of one successful attempt.
func (e *estimator) learn(p *bundle.PipelinePlan, stage, size int, took time.Duration) {
	key := stageKey{p.Name, p.Stages[stage].Name}
	t := e.stages[key]
	if t == nil {
		t = &stageTimes{}
		e.stages[key] = t
	}
	t.classes[sizeClass(size)].add(took.Seconds())
}

// estimate returns the expected time of a stage: the mean of its size class,
// else of the nearest class known, and never below the bundle's minimum.
func (e *estimator) estimate(p *bundle.PipelinePlan, stage, size int) time.Duration {
	spec := p.Stages[stage]
	least := time.Duration(spec.MinimumMs) * time.Millisecond
	t := e.stages[stageKey{p.Name, spec.Name}]
	if t == nil {
		return least
	}
	return max(least, t.nearest(sizeClass(size)))
}

func (t *stageTimes) nearest(class int) time.Duration {
	for d := range sizeClasses {
		for _, c := range [2]int{class - d, class + d} {
			if c >= 0 && c < sizeClasses && t.classes[c].seen {
				return time.Duration(t.classes[c].mean * float64(time.Second))
			}
		}
	}
	return 0
}

// Event is what can happen to the core.
type Event interface{ isEvent() }

// Open asks to let a request in; Admit or Refuse answers it.
type Open struct {
	ID           uint64
	Organisation string
	// Bundle is the number of the bundle that governs the request.
	Bundle   int
	Pipeline *bundle.PipelinePlan
	Deadline time.Time
	// Size is the length of the input in bytes.
	Size int
	// Tokens is the most tokens that the request may generate.
	Tokens int
}

// Close ends an admitted request.
type Close struct{ ID uint64 }

// Submit asks for a target for one attempt of a stage; Grant or Refuse answers
// it, now or later.
type Submit struct {
	ID           uint64
	Organisation string
	Pipeline     *bundle.PipelinePlan
	Stage        int
	Deadline     time.Time
	// Size is the work of the stage: input bytes, or the most tokens of an
	// engine.
	Size int
	// Prefix is the routing hash of the text that an engine starts with; 0 for
	// none.
	Prefix uint64
	// Exclude names targets to avoid while there are others.
	Exclude []string
	// Retry says what the attempt draws from the pool's budget of retries.
	Retry Retry
}

// Retry is the kind of an attempt.
type Retry int

const (
	// First is the first attempt of a stage.
	First Retry = iota
	// AfterProof follows an attempt that provably did not run.
	AfterProof
	// AfterLoss follows an attempt that may have run.
	AfterLoss
)

// Withdraw takes back a Submit that was not answered, or gives back a grant
// that was not used.
type Withdraw struct{ ID uint64 }

// Ended reports the end of a granted attempt; Err is nil when it succeeded.
type Ended struct {
	ID   uint64
	Err  *verdict.Error
	Took time.Duration
}

// Report is a target's load report, or news that it is leaving.
type Report struct {
	Target      string
	Incarnation string
	Running     int
	Waiting     int
	Leaving     bool
	// Age is how old the report was when it came.
	Age time.Duration
}

// Mark is news, from whomever, that one incarnation of a target is leaving.
type Mark struct {
	Target      string
	Incarnation string
}

// Nodes tells how many nodes share the targets, this one included.
type Nodes struct{ Count int }

// Install puts a bundle in force.
type Install struct{ Plan *bundle.Plan }

// Tick lets time pass.
type Tick struct{}

func (Open) isEvent()     {}
func (Close) isEvent()    {}
func (Submit) isEvent()   {}
func (Withdraw) isEvent() {}
func (Ended) isEvent()    {}
func (Report) isEvent()   {}
func (Mark) isEvent()     {}
func (Nodes) isEvent()    {}
func (Install) isEvent()  {}
func (Tick) isEvent()     {}

// Effect is what a shell must carry out.
type Effect interface{ isEffect() }

// Admit lets a request in.
type Admit struct{ ID uint64 }

// Grant gives an attempt its target.
type Grant struct {
	ID     uint64
	Target bundle.Target
	Pool   *bundle.Pool
	// Patience is how long an attempt may take before another target is the
	// better bet.
	Patience time.Duration
}

// Refuse answers an Open or Submit for good; nothing ran.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
}

func (Admit) isEffect()  {}
func (Grant) isEffect()  {}
func (Refuse) isEffect() {}

// limitRetry is when to come back after a concurrency limit.
const limitRetry = 200 * time.Millisecond

// organisation is what one organisation uses at this node.
type organisation struct {
	spec     *bundle.Organisation
	requests *rate.Limiter
	tokens   *rate.Limiter
	inFlight int
}

func newOrganisation(spec *bundle.Organisation) *organisation {
	l := spec.Limits
	return &organisation{
		spec:     spec,
		requests: rate.NewLimiter(rate.Limit(l.RequestsPerSecond), burstOf(l.RequestsPerSecond)),
		tokens:   rate.NewLimiter(rate.Limit(l.TokensPerSecond), burstOf(l.TokensPerSecond)),
	}
}

// burstOf allows one second's worth at once.
func burstOf(perSecond float64) int { return max(1, int(perSecond)) }

// update changes the limits and keeps what is in flight.
func (o *organisation) update(now time.Time, spec *bundle.Organisation) {
	o.spec = spec
	l := spec.Limits
	setRate(now, o.requests, l.RequestsPerSecond)
	setRate(now, o.tokens, l.TokensPerSecond)
}

func setRate(now time.Time, l *rate.Limiter, perSecond float64) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burstOf(perSecond))
}

// take lets a request in or says when to come back. A request over several
// limits takes from none.
func (o *organisation) take(now time.Time, tokens int) *verdict.Error {
	if o.inFlight >= o.spec.Limits.Concurrency {
		return o.refusal("concurrency", limitRetry)
	}
	tokens = min(tokens, o.tokens.Burst())
	if wait := waitFor(now, o.tokens, tokens); wait > 0 {
		return o.refusal("tokensPerSecond", wait)
	}
	if wait := waitFor(now, o.requests, 1); wait > 0 {
		return o.refusal("requestsPerSecond", wait)
	}
	o.tokens.AllowN(now, tokens)
	o.requests.AllowN(now, 1)
	o.inFlight++
	return nil
}

// waitFor returns how long until n are there, without taking them.
func waitFor(now time.Time, l *rate.Limiter, n int) time.Duration {
	missing := float64(n) - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

func (o *organisation) refusal(limit string, wait time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLimit, "organisation %s is at its limit of %s", o.spec.Name, limit).
		WithRetryAfter(wait)
}

const (
	// retryShare is how many retries a first attempt pays for when the pool is
	// idle; the share shrinks to nothing as the pool fills.
	retryShare = 0.2
	// proofPrice is what a retry after a proof of not-run takes of the budget.
	proofPrice = 0.2
	// subset is how many targets of a pool a node uses while they are well.
	subset = 32
	// retryBank is the most retries saved up.
	retryBank = 10
	// fairAllowance is how much more work an organisation with a weight of 1 may
	// have had than the least served one and still go first, in items of the mean
	// size held.
	fairAllowance = 4
	// maxEjectedShare is the largest share of a pool that may be ejected.
	maxEjectedShare = 0.5
)

// pool holds the targets of one pool and the work that waits for them.
type pool struct {
	spec *bundle.Pool
	// all holds every target of the pool, those that this node prefers first.
	all []*target
	// allSlots counts the slots of all.
	allSlots int
	// targets is the part of all that this node uses; see widen.
	targets []*target
	queues  map[string]*queue
	held    int
	// heldWork is the expected time of all held work.
	heldWork time.Duration
	// busyAt is when work was last held, or all slots reported taken.
	busyAt time.Time
	// virtual is the largest virtual time of any queue that was served.
	virtual float64
	// retries and proven are the budgets of retries after a loss and after a proof
	// of not-run.
	retries, proven float64
	turn            uint64
	// retired is the number of the bundle that no longer names the pool; 0
	// while it is in force.
	retired int
	scratch []routing.Candidate
	indexes []int
}

// queue holds one organisation's work, the least slack first.
type queue struct {
	organisation string
	weight       float64
	// virtual is the weighted work that the organisation has had.
	virtual float64
	items   itemHeap
}

// item is one Submit that waits or runs.
type item struct {
	Submit
	expected time.Duration
	// latest is the latest start from which the request can still be whole in
	// time.
	latest time.Time
	index  int
	pool   *pool
	target *target
}

func newPool(spec *bundle.Pool) *pool {
	return &pool{spec: spec, queues: make(map[string]*queue), retries: retryBank, proven: retryBank}
}

// slots counts the slots of the targets that may get work.
func (p *pool) slots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if !t.leaving && !t.ejected(now) {
			n += t.spec.Slots
		}
	}
	return n
}

// share returns this node's part of the pool's slots: of all of them, as far as
// the targets that it uses are usable, divided among the nodes.
func (p *pool) share(now time.Time, nodes int) float64 {
	used := slotsOf(p.targets)
	if used == 0 {
		return 0
	}
	usable := float64(p.slots(now)) / float64(used)
	return usable * float64(p.allSlots) / float64(nodes)
}

func slotsOf(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += t.spec.Slots
	}
	return n
}

// widen lets the node use more targets while fewer than half of those that it
// uses are usable. A node uses few of a large pool's targets, so that its
// connections, reports and decisions do not grow with the pool.
func (p *pool) widen(now time.Time) {
	for len(p.targets) < len(p.all) && 2*p.usable(now) < min(subset, len(p.all)) {
		p.targets = p.all[:min(len(p.all), 2*max(1, len(p.targets)))]
	}
}

// usable counts the targets in use that may get work.
func (p *pool) usable(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if !t.leaving && !t.ejected(now) {
			n++
		}
	}
	return n
}

// load returns the share of the slots that this node's calls take.
func (p *pool) load(now time.Time) float64 {
	slots := p.slots(now)
	if slots == 0 {
		return 1
	}
	busy := 0
	for _, t := range p.targets {
		busy += t.inFlight
	}
	return min(1, float64(busy)/float64(slots))
}

// mayEject says whether one more target may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	ejected := 1
	for _, t := range p.targets {
		if t.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(p.targets))
}

// earnRetry lets a first attempt pay into the budgets of retries.
func (p *pool) earnRetry(now time.Time) {
	earned := retryShare * (1 - p.load(now))
	p.retries = min(retryBank, p.retries+earned)
	p.proven = min(retryBank, p.proven+earned)
}

// takeRetry pays for a retry. One after a proof of not-run has cost the target
// next to nothing; it is cheap, and losses do not use up its budget: the targets
// that are left of a pool can take what others refuse because they leave.
func (p *pool) takeRetry(kind Retry) bool {
	budget, price := &p.retries, 1.0
	if kind == AfterProof {
		budget, price = &p.proven, proofPrice
	}
	if *budget < price {
		return false
	}
	*budget -= price
	return true
}

// choose returns a free target for the item, or nil. Excluded targets are
// taken only where no other target may get work.
func (p *pool) choose(now time.Time, it *item, c *Config, rng *rand.Rand) *target {
	if !p.fill(now, it.Exclude, c.DataCentre) {
		p.fill(now, nil, c.DataCentre)
	}
	p.turn++
	q := routing.Query{Prefix: it.Prefix, Turn: p.turn}
	i := routing.Choose(c.Policy, p.scratch, q, rng)
	if i < 0 {
		return nil
	}
	return p.targets[p.indexes[i]]
}

// fill lists the usable targets outside exclude and says whether there are any.
func (p *pool) fill(now time.Time, exclude []string, dataCentre string) bool {
	p.scratch = p.scratch[:0]
	p.indexes = p.indexes[:0]
	for i, t := range p.targets {
		if t.usable(now) && !slices.Contains(exclude, t.spec.Name) {
			p.scratch = append(p.scratch, t.candidate(now, dataCentre))
			p.indexes = append(p.indexes, i)
		}
	}
	return len(p.scratch) > 0
}

// hold puts the item into its organisation's queue.
func (p *pool) hold(now time.Time, it *item, weight float64) {
	p.busyAt = now
	q := p.queues[it.Organisation]
	if q == nil {
		q = &queue{organisation: it.Organisation}
		p.queues[it.Organisation] = q
	}
	q.weight = weight
	if len(q.items) == 0 {
		q.virtual = max(q.virtual, p.virtual)
	}
	heap.Push(&q.items, it)
	p.held++
	p.heldWork += it.expected
}

// remove takes a held item out of its queue.
func (p *pool) remove(now time.Time, it *item) {
	p.busyAt = now
	q := p.queues[it.Organisation]
	heap.Remove(&q.items, it.index)
	p.held--
	p.heldWork -= it.expected
	if len(q.items) == 0 && q.virtual <= p.virtual {
		delete(p.queues, it.Organisation)
	}
}

// next returns the queue to serve: among the organisations that have not had
// much more than the least served one for their weight, the one whose first item
// has the least slack. Short waits go by slack alone; over longer ones no
// organisation gets ahead of its weight.
func (p *pool) next() *queue {
	least := math.Inf(1)
	for _, q := range p.queues {
		if len(q.items) > 0 {
			least = min(least, q.virtual)
		}
	}
	allowed := least + fairAllowance*(p.heldWork/time.Duration(max(1, p.held))).Seconds()
	var first *queue
	for _, q := range p.queues {
		if len(q.items) == 0 || q.virtual > allowed {
			continue
		}
		if first == nil || q.before(first) {
			first = q
		}
	}
	return first
}

// before orders queues by the latest start of their first items.
func (q *queue) before(other *queue) bool {
	a, b := q.items[0].latest, other.items[0].latest
	if a.Equal(b) {
		return q.organisation < other.organisation
	}
	return a.Before(b)
}

// charge counts work that an organisation has got.
func (p *pool) charge(q *queue, work time.Duration) {
	p.virtual = max(p.virtual, q.virtual)
	q.virtual += work.Seconds() / q.weight
}

// wait predicts how long new work of an organisation would be held: the work
// ahead of it in its own queue at the organisation's share of the slots, and
// never longer than all held work takes. The other nodes take their
// parts of the slots.
func (p *pool) wait(now time.Time, nodes int, organisation string, weight float64, latest time.Time) time.Duration {
	slots := p.share(now, nodes)
	if slots == 0 || p.held == 0 {
		return 0
	}
	var ahead time.Duration
	weights := weight
	for name, q := range p.queues {
		if name != organisation {
			if len(q.items) > 0 {
				weights += q.weight
			}
			continue
		}
		for _, it := range q.items {
			if !it.latest.After(latest) {
				ahead += it.expected
			}
		}
	}
	all := time.Duration(float64(p.heldWork) / slots)
	own := time.Duration(float64(ahead) * weights / weight / slots)
	return min(all, own)
}

// back returns when the first ejected target may be tried again; zero when no
// target can come back without news.
func (p *pool) back(now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		if t.leaving || !t.ejected(now) {
			continue
		}
		if first.IsZero() || t.ejectedUntil.Before(first) {
			first = t.ejectedUntil
		}
	}
	return first
}

// itemHeap orders items by their latest start.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

const (
	// rateWindow is the time over which arrival rates are averaged.
	rateWindow = 2 * time.Second
	// minimumAge keeps the first arrivals of a class from looking like a flood.
	minimumAge = 200 * time.Millisecond
	// replanInterval is how often the shares of the classes are worked out.
	replanInterval = 100 * time.Millisecond
	// shedFor is how long requests are shed after work was last held. Without it
	// every pause of the queue would let the whole load in again.
	shedFor = time.Second
	// headroom is the part of a congested pool's slots that is planned for, so
	// that what is let in does not wait long.
	headroom = 1.1
	// forgetRate is the rate, in requests a second, below which a class is forgotten.
	forgetRate = 0.01
)

// shedder decides which requests are refused while a pool is congested. Refusing
// whoever comes last would keep long work and lose short work; the shedder works
// out, from the rates of arrival of each class of requests, which classes the
// slots can carry: each organisation first gets its weighted share, its cheapest
// classes first, and what is left goes to the cheapest classes of all. Cheap is
// little work at the congested pool and little cost, as the bundle weighs them.
type shedder struct {
	classes map[classKey]*class
	planned time.Time
	// nodes is how many nodes share the targets.
	nodes int
}

// classKey names a class: one organisation's requests of a pipeline and size.
type classKey struct {
	organisation string
	pipeline     string
	size         int
}

// class is what is known of one class.
type class struct {
	key  classKey
	spec *bundle.PipelinePlan
	// bytes is the size of its latest request.
	bytes int
	// sum is the decayed count of arrivals at time seen.
	sum  float64
	seen time.Time
	// born is when the class was first seen.
	born time.Time
	// share is the part of its requests that are let in while its pools are
	// congested; credit saves up fractions of a request.
	share  float64
	credit float64
}

func newShedder() *shedder {
	return &shedder{classes: make(map[classKey]*class), nodes: 1}
}

// arrive counts a request and returns its class.
func (s *shedder) arrive(now time.Time, e Open) *class {
	key := classKey{e.Organisation, e.Pipeline.Name, sizeClass(e.Size)}
	c := s.classes[key]
	if c == nil {
		c = &class{key: key, share: 1, seen: now, born: now}
		s.classes[key] = c
	}
	c.spec = e.Pipeline
	c.bytes = e.Size
	c.sum = 1 + c.sum*math.Exp(-now.Sub(c.seen).Seconds()/rateWindow.Seconds())
	c.seen = now
	return c
}

// rateAt returns the rate at time now. A sum that has decayed for less than its
// window has seen only part of it; the rate makes up for that.
func (c *class) rateAt(now time.Time) float64 {
	window := rateWindow.Seconds()
	decayed := c.sum * math.Exp(-now.Sub(c.seen).Seconds()/window)
	age := max(now.Sub(c.born), minimumAge).Seconds()
	return decayed / (window * (1 - math.Exp(-age/window)))
}

// admits spends the class's credit for one request.
func (c *class) admits() bool {
	c.credit = min(2, c.credit+c.share)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// shed says whether a request is refused because one of its pools is congested
// and its class has had its share.
func (c *Core) shed(now time.Time, e Open) bool {
	k := c.shedder.arrive(now, e)
	if c.cfg.NeverRefuse || !c.congested(now, e.Pipeline) {
		return false
	}
	if now.Sub(c.shedder.planned) >= replanInterval {
		c.replan(now)
	}
	return !k.admits()
}

// congested says whether work was held lately for any pool of the pipeline.
func (c *Core) congested(now time.Time, p *bundle.PipelinePlan) bool {
	for _, s := range p.Stages {
		if pl := c.pools[s.Pool]; pl != nil && pl.congested(now) {
			return true
		}
	}
	return false
}

// congested says whether work was held for the pool lately, or its targets
// reported to be full.
func (p *pool) congested(now time.Time) bool {
	return p.held > 0 || now.Sub(p.busyAt) < shedFor
}

// noteLoad takes in that a target has reported: work may wait at the targets
// and not here, when other nodes send as much as this one.
func (p *pool) noteLoad(now time.Time) {
	load := 0.0
	for _, t := range p.targets {
		load += t.candidate(now, "").Load()
	}
	if load >= float64(p.slots(now)) {
		p.busyAt = now
	}
}

// demand is one class's demand on one pool.
type demand struct {
	class *class
	// work is the slot time of one request, rate the requests a second.
	work float64
	rate float64
	// price orders the classes: the lowest is served first.
	price float64
	// granted is the rate that gets through.
	granted float64
}

func (d demand) total() float64 { return d.work * d.rate }

// replan works out the share of each class.
func (c *Core) replan(now time.Time) {
	c.shedder.planned = now
	for key, k := range c.shedder.classes {
		k.share = 1
		if k.rateAt(now) < forgetRate {
			delete(c.shedder.classes, key)
		}
	}
	for _, name := range sortedKeys(c.pools) {
		c.replanPool(now, c.pools[name])
	}
}

func (c *Core) replanPool(now time.Time, p *pool) {
	if !p.congested(now) {
		return
	}
	demands := c.demandsOn(now, p)
	room := headroom * p.share(now, c.shedder.nodes)
	c.grantShares(demands, room)
	for _, d := range demands {
		if d.rate > 0 {
			d.class.share = min(d.class.share, d.granted/d.rate)
		}
	}
}

// demandsOn lists the demands on a pool, the lowest price first.
func (c *Core) demandsOn(now time.Time, p *pool) []*demand {
	var list []*demand
	works, costs := 0.0, 0.0
	for _, k := range c.shedder.classes {
		if w := c.workAt(k, p.spec.Name); w > 0 {
			list = append(list, &demand{class: k, work: w, rate: k.rateAt(now)})
			works += w
			costs += costOf(k.spec)
		}
	}
	o := c.plan.Bundle().Objective
	for _, d := range list {
		n := float64(len(list))
		d.price = o.AttainmentWeight * d.work * n / works
		if costs > 0 {
			d.price += o.CostWeight * costOf(d.class.spec) * n / costs
		}
	}
	slices.SortFunc(list, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.class.key.organisation, b.class.key.organisation),
			cmp.Compare(a.class.key.pipeline, b.class.key.pipeline), cmp.Compare(a.class.key.size, b.class.key.size))
	})
	return list
}

// workAt returns the slot time in seconds of one request at a pool.
func (c *Core) workAt(k *class, pool string) float64 {
	sum := 0.0
	for i, s := range k.spec.Stages {
		if s.Pool == pool {
			sum += c.times.estimate(k.spec, i, workSize(k.spec, i, k.bytes)).Seconds()
		}
	}
	return sum
}

// costOf is what one request of a pipeline spends at most.
func costOf(p *bundle.PipelinePlan) float64 {
	sum := 0.0
	for _, s := range p.Stages {
		sum += s.Cost.PerCall + s.Cost.PerToken*float64(s.MaxTokens)
	}
	return sum
}

// grantShares gives out room, in slots: to each organisation its weighted share
// first, then what is left to all.
func (c *Core) grantShares(demands []*demand, room float64) {
	weights := 0.0
	byOrganisation := make(map[string][]*demand)
	for _, d := range demands {
		name := d.class.key.organisation
		if byOrganisation[name] == nil {
			weights += c.weight(name)
		}
		byOrganisation[name] = append(byOrganisation[name], d)
	}
	left := room
	for name, list := range byOrganisation {
		left -= giveOut(list, room*c.weight(name)/weights)
	}
	giveOut(demands, left)
}

// giveOut grants demands in order until the room is used, and returns what was.
func giveOut(demands []*demand, room float64) float64 {
	used := 0.0
	for _, d := range demands {
		more := min(d.total()-d.granted*d.work, room-used)
		if more <= 0 {
			continue
		}
		d.granted += more / d.work
		used += more
	}
	return used
}

const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 3
	ejectionBase    = 500 * time.Millisecond
	ejectionMax     = 30 * time.Second
	// maxDoublings keeps the shift of the back-off in range.
	maxDoublings = 6
)

// target is what the core knows of one target.
type target struct {
	spec bundle.Target
	hash uint64
	pool *pool

	inFlight int
	granted  time.Time
	// looked is when a report of the target was last asked for.
	looked      time.Time
	incarnation string
	leaving     bool
	// marks holds the incarnations that are known to be leaving.
	marks map[string]bool

	reported   bool
	reportedAt time.Time
	foreign    int

	failures     int
	ejections    int
	ejectedUntil time.Time
	// probing is true after an ejection until a call succeeds; one call at a
	// time tries the target then.
	probing  bool
	slowness movingMean
}

// usable says whether the target may get work at all.
func (t *target) usable(now time.Time) bool {
	if t.leaving || t.ejected(now) {
		return false
	}
	return !t.probing || t.inFlight == 0
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// mark takes in news that an incarnation is leaving. It holds for that
// incarnation whatever older news says later. A target whose incarnation is not
// known yet counts as leaving until its own word names another one.
func (t *target) mark(incarnation string) {
	if t.marks == nil {
		t.marks = make(map[string]bool)
	}
	t.marks[incarnation] = true
	if t.incarnation == "" || t.incarnation == incarnation {
		t.leaving = true
	}
}

// report takes in the target's own word.
func (t *target) report(now time.Time, r Report) {
	if t.incarnation != "" && t.incarnation != r.Incarnation {
		t.pardon()
	}
	t.incarnation = r.Incarnation
	t.leaving = t.marks[r.Incarnation]
	if r.Leaving {
		t.mark(r.Incarnation)
	}
	t.reported = true
	t.reportedAt = now.Add(-r.Age)
	t.foreign = max(0, r.Running+r.Waiting-t.inFlight)
}

// pardon ends an ejection: a new incarnation is not blamed for the old one. It is
// still tried with one call at a time first.
func (t *target) pardon() {
	t.failures = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
}

// ended takes in the end of a call and says whether the target is ejected.
func (t *target) ended(now time.Time, err *verdict.Error, mayEject bool) bool {
	if err == nil {
		t.failures = 0
		t.ejections = 0
		t.probing = false
		return false
	}
	if !blamesTarget(err) {
		return false
	}
	t.failures++
	if !mayEject || (t.failures < failuresToEject && !t.probing) {
		return false
	}
	t.eject(now)
	return true
}

func (t *target) eject(now time.Time) {
	back := min(ejectionBase<<min(t.ejections, maxDoublings), ejectionMax)
	t.ejections++
	t.failures = 0
	t.probing = true
	t.ejectedUntil = now.Add(back)
}

// blamesTarget says whether a failure speaks against the target. A target's
// refusal and the end of the caller's patience do not.
func blamesTarget(err *verdict.Error) bool {
	switch err.Reason() {
	case verdict.ReasonDial, verdict.ReasonConnection, verdict.ReasonTargetError,
		verdict.ReasonIdentity, verdict.ReasonCut, verdict.ReasonStalled:
		return true
	}
	return false
}

// candidate is the target as routing sees it.
func (t *target) candidate(now time.Time, dataCentre string) routing.Candidate {
	c := routing.Candidate{
		Name:      t.spec.Name,
		Hash:      t.hash,
		Local:     t.spec.DataCentre == dataCentre,
		Slots:     t.spec.Slots,
		InFlight:  t.inFlight,
		Foreign:   t.foreign,
		ReportAge: -1,
		Idle:      now.Sub(t.granted),
		Slowness:  1,
	}
	if t.reported {
		c.ReportAge = now.Sub(t.reportedAt)
	}
	if t.slowness.seen {
		c.Slowness = t.slowness.mean
	}
	return c
}
