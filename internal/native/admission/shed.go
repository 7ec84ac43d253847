package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

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
