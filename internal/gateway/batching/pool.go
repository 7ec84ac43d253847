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
// It owns which list a target is in; whoever changes what that depends on calls reclassify.
type pool struct {
	// targets are all, in the order in which they were first listed.
	targets []*target
	byLife  map[directory.Life]*target
	// latestByID is the newest life of each identity.
	latestByID map[string]*target
	// unusable are those that get no batch.
	unusable targetList
	// dataCentres are the usable targets of each data centre, in the order in which the data
	// centres were first listed.
	dataCentres  []*dataCentreTargets
	byDataCentre map[string]*dataCentreTargets
	// examined counts the targets that decisions looked at: what events cost.
	examined int
}

// dataCentreTargets holds the usable targets of one data centre.
type dataCentreTargets struct {
	// spare targets are idle, and nothing is known of them: they are inspected before
	// their first batch, and hold no result. Those that are being inspected are in inspecting.
	spare, inspecting targetList
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
	return &pool{byLife: map[directory.Life]*target{}, latestByID: map[string]*target{}, byDataCentre: map[string]*dataCentreTargets{}}
}

// add takes in a target. One that started again under its identity is another: the
// results of its earlier life are gone.
func (p *pool) add(t *target) {
	t.seq = len(p.targets)
	if earlier := p.latestByID[t.ID]; earlier != nil {
		earlier.memory.dropAll()
	}
	p.latestByID[t.ID] = t
	p.byLife[t.Life()] = t
	p.targets = append(p.targets, t)
	p.reclassify(t)
}

// prune drops the targets of which nothing matters any more.
func (p *pool) prune() {
	kept := p.targets[:0]
	for _, t := range p.targets {
		if !t.removable() {
			t.seq = len(kept)
			kept = append(kept, t)
			continue
		}
		t.list.remove(t)
		delete(p.byLife, t.Life())
		if p.latestByID[t.ID] == t {
			delete(p.latestByID, t.ID)
		}
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// reclassify puts a target into the list where it belongs now.
func (p *pool) reclassify(t *target) {
	list := p.listFor(t)
	if t.list == list {
		return
	}
	if t.list != nil {
		t.list.remove(t)
	}
	list.add(t)
}

func (p *pool) listFor(t *target) *targetList {
	if !t.usable {
		return &p.unusable
	}
	dc := p.inDataCentre(t.DataCentre)
	switch {
	case t.running != nil:
		return &dc.busy
	case t.inspection.completed:
		return &dc.idle
	case t.inspection.running:
		return &dc.inspecting
	}
	return &dc.spare
}

// inDataCentre returns the targets of a data centre.
func (p *pool) inDataCentre(dataCentre string) *dataCentreTargets {
	found := p.byDataCentre[dataCentre]
	if found == nil {
		found = &dataCentreTargets{}
		p.byDataCentre[dataCentre] = found
		p.dataCentres = append(p.dataCentres, found)
	}
	return found
}

// inspectedLists returns the usable targets that are neither spare nor being inspected, in lists.
func (p *pool) inspectedLists() []*targetList {
	lists := make([]*targetList, 0, 2*len(p.dataCentres))
	for _, dc := range p.dataCentres {
		lists = append(lists, &dc.idle, &dc.busy)
	}
	return lists
}

// uninspected counts the usable targets that are spare or being inspected.
func (p *pool) uninspected() int {
	n := 0
	for _, dc := range p.dataCentres {
		n += dc.uninspected()
	}
	return n
}

func (dc *dataCentreTargets) uninspected() int {
	return len(dc.spare.targets) + len(dc.inspecting.targets)
}

// expireIdle makes spare what has been idle for spareAfter: what is known of it has aged, and
// another coordinator may have used it meanwhile.
func (p *pool) expireIdle(now time.Time) {
	for _, dc := range p.dataCentres {
		p.examined += len(dc.idle.targets)
		for i := len(dc.idle.targets) - 1; i >= 0; i-- {
			if t := dc.idle.targets[i]; t.idleExpired(now) {
				t.inspection, t.slowdown = inspection{}, newSlowdown()
				p.reclassify(t)
			}
		}
	}
}

// nominalRate is how many items a second n targets can compute at the catalog's speed.
func nominalRate(spec *catalog.Batch, n int) float64 {
	return float64(n*spec.MaxItems) / nominalDuration(spec, spec.MaxItems).Seconds()
}
