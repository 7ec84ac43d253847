package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// spareAfter is how long a target may stay idle before it is a spare one again: three
// half-lives of what was learnt of its speed, of which an eighth is left then, and less
// than targets keep an idle connection open.
const spareAfter = 3 * slowdownHalfLife

// pool holds the targets of the service, and the usable ones by data centre and by what
// they do.
//
// Most targets of a large service are spare: its load needs a few of them, and those are
// used again before any other (candidates). An event then costs what the service's load
// is and not how many targets it has (BenchmarkFleetService).
//
// It owns which list a target is in; whoever changes what that depends on calls sort.
type pool struct {
	// targets are all, in the order in which they were first listed.
	targets []*target
	byLife  map[directory.Incarnation]*target
	// newest is the newest life of each identity.
	newest map[string]*target
	// unusable are those that get no batch.
	unusable targetList
	// places are the usable targets of each data centre, in the order in which the data
	// centres were first listed.
	places  []*place
	byPlace map[string]*place
	// examined counts the targets that decisions looked at: what events cost.
	examined int
}

// place holds the usable targets of one data centre.
type place struct {
	// spare targets are idle, and nothing is known of them: they are inspected before
	// their first batch, and hold no result. Those that are being inspected are asked.
	spare, asked targetList
	// idle targets have no batch, busy ones have one, which may be stuck.
	idle, busy targetList
}

// targetList is a set of targets in no particular order; a target is in one at most.
type targetList struct{ targets []*target }

func (l *targetList) add(t *target) {
	t.list, t.index = l, len(l.targets)
	l.targets = append(l.targets, t)
}

func (l *targetList) remove(t *target) {
	last := len(l.targets) - 1
	l.targets[t.index] = l.targets[last]
	l.targets[t.index].index = t.index
	l.targets[last] = nil
	l.targets = l.targets[:last]
	t.list = nil
}

func newPool() *pool {
	return &pool{byLife: map[directory.Incarnation]*target{}, newest: map[string]*target{}, byPlace: map[string]*place{}}
}

// add takes in a target. One that started again under its identity is another: the
// results of its earlier life are gone.
func (p *pool) add(t *target) {
	t.order = len(p.targets)
	if earlier := p.newest[t.ID]; earlier != nil {
		earlier.memory.lose()
	}
	p.newest[t.ID] = t
	p.byLife[t.Incarnation()] = t
	p.targets = append(p.targets, t)
	p.sort(t)
}

// prune drops the targets of which nothing matters any more.
func (p *pool) prune() {
	kept := p.targets[:0]
	for _, t := range p.targets {
		if !t.forgettable() {
			t.order = len(kept)
			kept = append(kept, t)
			continue
		}
		t.list.remove(t)
		delete(p.byLife, t.Incarnation())
		if p.newest[t.ID] == t {
			delete(p.newest, t.ID)
		}
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// sort puts a target into the list where it belongs now.
func (p *pool) sort(t *target) {
	list := p.listOf(t)
	if t.list == list {
		return
	}
	if t.list != nil {
		t.list.remove(t)
	}
	list.add(t)
}

func (p *pool) listOf(t *target) *targetList {
	if !t.usable {
		return &p.unusable
	}
	place := p.placeOf(t.DataCentre)
	switch {
	case t.running != nil:
		return &place.busy
	case t.inspection.answered:
		return &place.idle
	case t.inspection.running:
		return &place.asked
	}
	return &place.spare
}

// placeOf returns the targets of a data centre.
func (p *pool) placeOf(dataCentre string) *place {
	found := p.byPlace[dataCentre]
	if found == nil {
		found = &place{}
		p.byPlace[dataCentre] = found
		p.places = append(p.places, found)
	}
	return found
}

// known returns the usable targets that are neither spare nor asked, in lists.
func (p *pool) known() []*targetList {
	lists := make([]*targetList, 0, 2*len(p.places))
	for _, place := range p.places {
		lists = append(lists, &place.idle, &place.busy)
	}
	return lists
}

// unknown counts the usable targets that are spare or asked.
func (p *pool) unknown() int {
	n := 0
	for _, place := range p.places {
		n += place.unknown()
	}
	return n
}

func (p *place) unknown() int { return len(p.spare.targets) + len(p.asked.targets) }

// rest makes spare what has been idle for spareAfter: what is known of it has aged, and
// another coordinator may have used it meanwhile.
func (p *pool) rest(now time.Time) {
	for _, place := range p.places {
		p.examined += len(place.idle.targets)
		for i := len(place.idle.targets) - 1; i >= 0; i-- {
			if t := place.idle.targets[i]; t.rested(now) {
				t.inspection, t.slowdown = inspection{}, newSlowdown()
				p.sort(t)
			}
		}
	}
}

// catalogRate is how many items a second n targets can compute at the catalog's speed.
func catalogRate(spec *catalog.Batch, n int) float64 {
	return float64(n*spec.MaxItems) / planned(spec, spec.MaxItems).Seconds()
}
