package fairshare

import (
	"container/list"
	"math"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// learningTime is how long a table learns demands before it marks plans. A new coordinator
	// knows the demand only since it became one, and demands of organisations that it has not
	// heard of yet are missing in the level.
	learningTime = timeConstant
	// burst is how much filling a bucket holds. Requests of an organisation do not arrive
	// evenly; with a larger bucket the burst delays the requests of others by as much.
	burst = 500 * time.Millisecond
	// idleTime is after how long without a plan an organisation is dropped. Its demand has
	// decayed to less than a hundredth by then.
	idleTime = 10 * time.Second
	// maxOrganisations bounds the state of a table, to about 0.5 MB.
	maxOrganisations = 2048
	// chargeTime is how long tokens can be given back. A node that refuses a request cancels
	// its plan within milliseconds, and within this time if it had to wait for other
	// coordinators.
	chargeTime = 2 * time.Second
	// maxCharges bounds how many charges can be given back; the oldest is dropped first. It is
	// what chargeTime holds at 2,048 requests per second above the level, about 0.8 MB.
	maxCharges = 4096
)

// Plan is a planned stage of a request.
type Plan struct {
	Request string
	Name    Name
	// Stage is the index of the stage. The stages of a request are planned in this order.
	Stage int
	Items int
}

// Table tracks the organisations of one service. Its times must not decrease.
type Table struct {
	rate          peakRate
	scale         scale
	demands       demands
	organisations map[Name]*organisation
	// byLastPlan holds the organisations, those without a plan for longest first.
	byLastPlan list.List
	charges    charges
}

// organisation is what a table knows of one organisation.
type organisation struct {
	demand     demand
	lastPlan   time.Time
	byLastPlan *list.Element
	// over is whether the organisation asked for more than the level at its last plan.
	over bool
	// tokens is the content of the bucket at filledAt, which is the zero time for a bucket that
	// is full.
	tokens   float64
	filledAt time.Time
}

// NewTable returns a table without organisations.
func NewTable() *Table {
	return &Table{organisations: map[Name]*organisation{}, charges: newCharges()}
}

// ObserveRate sets the service's rate in items per second, as estimated now; 0 for unknown.
func (t *Table) ObserveRate(now time.Time, perSecond float64) { t.rate.observe(now, perSecond) }

// Ask records a planned stage and reports whether it is marked: the service is full, and the
// organisation asks for more than its share and has no tokens left.
//
// A plan needs only a part of a token, so that a plan for many items is not held back for
// ever; the rest is taken from what the bucket fills next. All stages of a request share the
// decision on the first, as a request with one marked stage is held to its share as a whole.
func (t *Table) Ask(now time.Time, p Plan) (overShare bool) {
	t.expire(now)
	o := t.record(now, p)
	level := t.level(now)
	asked := t.scale.perSecond(now, o.demand.weight)
	o.over = !p.Name.Unmarked && asked > level
	t.fill(now, o, asked, level)
	if !o.over {
		o.tokens = max(o.tokens-float64(p.Items), 0)
		return false
	}
	if o.tokens <= 0 && !t.charges.covers(p) {
		return true
	}
	o.tokens -= float64(p.Items)
	t.charges.add(now, p)
	return false
}

// Cancel gives back the tokens that a planned stage has taken, if it took any and its request
// has taken them within chargeTime.
func (t *Table) Cancel(now time.Time, p Plan) {
	t.expire(now)
	items := t.charges.take(p)
	if o := t.organisations[p.Name]; o != nil && o.over {
		o.tokens += float64(items)
	}
}

// State is what a table shows of itself.
type State struct {
	// Level is the share of each organisation in items per second; 0 if the service is not
	// full, or the table still learns.
	Level float64
	// Over are the organisations that ask for more and may be marked, the largest first.
	Over []Demand
}

// Demand is how many items per second an organisation asks for.
type Demand struct {
	Organisation string
	PerSecond    float64
}

// State returns the level and at most n of the organisations over it.
func (t *Table) State(now time.Time, n int) State {
	t.expire(now)
	level := t.level(now)
	if math.IsInf(level, 1) {
		return State{}
	}
	s := State{Level: level}
	t.demands.descend(t.scale.weightOf(now, level), func(d *demand) bool {
		if !d.name.Unmarked {
			s.Over = append(s.Over, Demand{d.name.Organisation, t.scale.perSecond(now, d.weight)})
		}
		return len(s.Over) < n
	})
	return s
}

// level returns the share of each organisation in items per second. It is infinite while the
// service is not full, its rate is unknown, or the table still learns.
func (t *Table) level(now time.Time) float64 {
	rate := t.rate.highest(now)
	if rate <= 0 || len(t.organisations) == 0 || now.Sub(t.scale.since) < learningTime {
		return math.Inf(1)
	}
	return t.scale.perSecond(now, t.demands.level(t.scale.weightOf(now, rate)))
}

// record adds a plan to the demand of its organisation.
func (t *Table) record(now time.Time, p Plan) *organisation {
	o := t.organisations[p.Name]
	if o == nil {
		o = t.add(now, p.Name)
	} else {
		t.demands.remove(&o.demand)
		t.byLastPlan.MoveToBack(o.byLastPlan)
	}
	o.lastPlan = now
	o.demand.weight += t.scale.weight(now, float64(p.Items))
	t.demands.insert(&o.demand)
	return o
}

// add adds an organisation that is not in the demands yet. If the table is full, the least
// active organisation is dropped.
func (t *Table) add(now time.Time, name Name) *organisation {
	if len(t.organisations) == 0 {
		t.scale = scale{epoch: now, since: now}
	}
	if len(t.organisations) >= maxOrganisations {
		t.drop(t.organisations[t.demands.least().name])
	}
	o := &organisation{demand: newDemand(name)}
	o.byLastPlan = t.byLastPlan.PushBack(o)
	t.organisations[name] = o
	return o
}

func (t *Table) drop(o *organisation) {
	t.demands.remove(&o.demand)
	t.byLastPlan.Remove(o.byLastPlan)
	delete(t.organisations, o.demand.name)
}

// expire drops the organisations and charges that are too old, and sets the scale anew when it
// is due.
func (t *Table) expire(now time.Time) {
	for e := t.byLastPlan.Front(); e != nil; e = t.byLastPlan.Front() {
		o, _ := e.Value.(*organisation)
		if now.Sub(o.lastPlan) < idleTime {
			break
		}
		t.drop(o)
	}
	t.charges.expire(now)
	if n := math.Floor(t.scale.halfLives(now)); len(t.organisations) > 0 && n >= maxHalfLives {
		t.demands.rescale(-saturate.Int(n))
		t.scale.epoch = t.scale.epoch.Add(saturate.Duration(n * timeConstant.Seconds() * math.Ln2 * float64(time.Second)))
	}
}

// fill fills the bucket of an organisation that asks for a rate. While the service is not full
// the bucket fills at what the others leave, so that an organisation whose traffic rises
// suddenly has an empty bucket once the service is found to be full. Its traffic has filled the
// queue by then: with a full bucket it kept the queue full, and from 4 s after the rise a small
// organisation was served 1.5 of 2.5 requests per second.
func (t *Table) fill(now time.Time, o *organisation, asked, level float64) {
	rate := t.rate.highest(now)
	if rate <= 0 {
		o.filledAt = time.Time{}
		return
	}
	fills := level
	if math.IsInf(level, 1) {
		fills = max(rate-t.scale.perSecond(now, t.demands.sum())+asked, 0)
	}
	most := fills * burst.Seconds()
	if o.filledAt.IsZero() {
		o.tokens = most
	} else {
		o.tokens = min(o.tokens+fills*now.Sub(o.filledAt).Seconds(), most)
	}
	o.filledAt = now
}
