package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Rule: which requests are shed while a pool is congested.
//
// A pool is congested while work is held for it, for shedFor after, and for shedFor
// after a load report by which all slots in service are taken. Then requests are
// admitted by shares of their classes: a class is one organisation's requests of one
// pipeline and size class (estimate.go). The shares are worked out at most every
// replanInterval, pool by pool; a class gets the least of the shares of its pools.
//
// Inputs, in the order in which they count: each organisation's weighted share of
// this node's part of the pool's slots, its cheapest classes first; what is left, to
// the cheapest classes of all. A class asks for its rate of arrival (over about
// rateWindow) times the expected slot time of one request at the pool. Cheap is
// little slot time and little cost, weighted as the bundle's objective says. Without
// an earlier arrival a class has a share of 1.
//
// Why so: refusing whoever comes last keeps long work and loses short work
// (docs/decisions/0008-holding-and-refusing.md; the rounds of docs/MEASUREMENTS.md
// give attainment with and without). Shedding too much leaves slots free; shedding
// too little admits work that is then held until it is late.
const (
	// rateWindow is the time over which arrival rates are averaged.
	rateWindow = 2 * time.Second
	// minimumAge keeps the first arrivals of a class from looking like a flood. With the
	// correction of rates for the age of a class attainment was 96.3 and 80.3 % at 1.2 and
	// 2.0 load, without 94.2 and 77.4 %.
	minimumAge = 200 * time.Millisecond
	// replanInterval is how often the shares of the classes are worked out. A shed request
	// may be retried after it.
	replanInterval = 100 * time.Millisecond
	// shedFor is how long requests are shed after work was last held. Without it every
	// pause of the queue would admit the whole load. It brings nothing by itself.
	shedFor = time.Second
	// headroom is the part of a congested pool's slots that is planned for. Attainment was
	// 98.1, 91.6 and 79.6 % at 0.9, 1.2 and 2.0 load, with 0.95 97.1, 91.2 and 79.7 %.
	headroom = 1.1
	// forgetRate is the rate, in requests a second, below which a class is forgotten. It
	// bounds memory.
	forgetRate = 0.01
	// maxCredit is the most requests that a class saves up.
	maxCredit = 2
)

// shedder holds the classes of requests and their shares.
type shedder struct {
	classes map[classKey]*class
	// planned is when the shares were last worked out.
	planned time.Time
	// nodes is how many nodes share the targets, this one included.
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
	// share is the part of its requests that is admitted while its pools are
	// congested, from 0 to 1; credit saves up fractions of a request.
	share  float64
	credit float64
}

// arrive counts the arrival of a request and returns its class.
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

// rateAt returns the rate at time now, in requests a second. The sum of a class that
// is younger than the window has counted only part of it; the rate corrects for that.
func (c *class) rateAt(now time.Time) float64 {
	window := rateWindow.Seconds()
	decayed := c.sum * math.Exp(-now.Sub(c.seen).Seconds()/window)
	age := max(now.Sub(c.born), minimumAge).Seconds()
	return decayed / (window * (1 - math.Exp(-age/window)))
}

// admits spends the class's credit for one request.
func (c *class) admits() bool {
	c.credit = min(maxCredit, c.credit+c.share)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// shed says whether a request is refused because one of its pools is congested and
// its class has used its share. It counts the arrival in any case.
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

// congested says whether work was held for the pool lately, or its targets were
// reported full.
func (p *pool) congested(now time.Time) bool {
	return p.held > 0 || now.Sub(p.busyAt) < shedFor
}

// noteLoad counts the pool as busy when its targets seem full after a report: work
// may wait at the targets and not here, when other nodes send as much as this one.
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
	// work is the slot time of one request, in seconds.
	work float64
	// rate is the requests a second.
	rate float64
	// price orders the classes: the lowest is served first.
	price float64
	// granted is the part of rate that gets slots, in requests a second.
	granted float64
}

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
	capacity := headroom * p.share(now, c.shedder.nodes)
	c.grantShares(demands, capacity)
	for _, d := range demands {
		if d.rate > 0 {
			d.class.share = min(d.class.share, d.granted/d.rate)
		}
	}
}

// demandsOn lists the demands on a pool, the lowest price first.
func (c *Core) demandsOn(now time.Time, p *pool) []*demand {
	var list []*demand
	for _, k := range c.shedder.classes {
		if w := c.workAt(k, p.spec.Name); w > 0 {
			list = append(list, &demand{class: k, work: w, rate: k.rateAt(now)})
		}
	}
	setPrices(list, c.plan.Bundle().Objective)
	slices.SortFunc(list, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.class.key.organisation, b.class.key.organisation),
			cmp.Compare(a.class.key.pipeline, b.class.key.pipeline), cmp.Compare(a.class.key.size, b.class.key.size))
	})
	return list
}

// setPrices weighs each demand's slot time and cost, both over their means.
func setPrices(list []*demand, objective bundle.Objective) {
	works, costs := 0.0, 0.0
	for _, d := range list {
		works += d.work
		costs += costOf(d.class.spec)
	}
	n := float64(len(list))
	for _, d := range list {
		d.price = objective.AttainmentWeight * d.work * n / works
		if costs > 0 {
			d.price += objective.CostWeight * costOf(d.class.spec) * n / costs
		}
	}
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

// costOf is what one request of a pipeline spends at most, in the unit of the
// bundle.
func costOf(p *bundle.PipelinePlan) float64 {
	sum := 0.0
	for _, s := range p.Stages {
		sum += s.Cost.PerCall + s.Cost.PerToken*float64(s.MaxTokens)
	}
	return sum
}

// grantShares allocates capacity, in slots: to each organisation its weighted share
// first, then what is left to all.
func (c *Core) grantShares(demands []*demand, capacity float64) {
	weights := 0.0
	byOrganisation := make(map[string][]*demand)
	for _, d := range demands {
		name := d.class.key.organisation
		if byOrganisation[name] == nil {
			weights += c.weight(name)
		}
		byOrganisation[name] = append(byOrganisation[name], d)
	}
	left := capacity
	for name, list := range byOrganisation {
		left -= allocate(list, capacity*c.weight(name)/weights)
	}
	allocate(demands, left)
}

// allocate grants demands in order until the capacity is used, and returns the slots
// that were.
func allocate(demands []*demand, capacity float64) float64 {
	used := 0.0
	for _, d := range demands {
		more := min(d.work*d.rate-d.granted*d.work, capacity-used)
		if more <= 0 {
			continue
		}
		d.granted += more / d.work
		used += more
	}
	return used
}
