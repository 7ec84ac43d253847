package batching

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// spareAfter is how long a target is idle before it becomes spare again: three half-lives
// of its slowdown, of which an eighth is left by then, and less than targets keep an idle
// connection open.
const spareAfter = 3 * slowdownHalfLife

// pool holds the targets of a service, and its usable ones by data centre and activity.
//
// Most targets of a large service are spare: its load needs only some of them, and those
// are reused before any other (candidates). So the cost of an event depends on the load
// of the service and not on its number of targets (BenchmarkFleetService).
//
// The pool decides which list a target is in. Call reclassify after any change to the
// state that this depends on.
type pool struct {
	// targets holds all targets, in the order in which they were first listed.
	targets       []*target
	byIncarnation map[directory.Incarnation]*target
	// latestByID holds the newest incarnation of each target ID.
	latestByID map[string]*target
	// unusable holds the targets that get no batch.
	unusable targetList
	// dataCentres holds the usable targets of each data centre, in the order in which the
	// data centres were first seen.
	dataCentres  []*dataCentreTargets
	byDataCentre map[string]*dataCentreTargets
	// examined counts the targets that were looked at to make decisions, as a measure of
	// the cost of events.
	examined int
}

// dataCentreTargets holds the usable targets of one data centre.
type dataCentreTargets struct {
	// spare targets are idle, hold no result and have to be inspected before their first
	// batch; inspecting holds those whose first inspection is in progress.
	spare, inspecting targetList
	// idle targets have no batch; busy ones have one, which may be stuck.
	idle, busy targetList
}

// targetList is an unordered set of targets. A target is in at most one list.
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
	return &pool{byIncarnation: map[directory.Incarnation]*target{}, latestByID: map[string]*target{}, byDataCentre: map[string]*dataCentreTargets{}}
}

// add adds a target. A target that restarted under the same ID is a new one; the results
// of its earlier incarnation are lost.
func (p *pool) add(t *target) {
	t.seq = len(p.targets)
	if earlier := p.latestByID[t.ID]; earlier != nil {
		earlier.memory.dropAll()
	}
	p.latestByID[t.ID] = t
	p.byIncarnation[t.Incarnation()] = t
	p.targets = append(p.targets, t)
	p.reclassify(t)
}

// prune drops the targets that are no longer needed.
func (p *pool) prune() {
	kept := p.targets[:0]
	for _, t := range p.targets {
		if !t.removable() {
			t.seq = len(kept)
			kept = append(kept, t)
			continue
		}
		t.list.remove(t)
		delete(p.byIncarnation, t.Incarnation())
		if p.latestByID[t.ID] == t {
			delete(p.latestByID, t.ID)
		}
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// reclassify moves a target into the list that matches its state.
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

// inDataCentre returns the usable targets of a data centre, after adding an empty entry
// for it if there is none.
func (p *pool) inDataCentre(dataCentre string) *dataCentreTargets {
	found := p.byDataCentre[dataCentre]
	if found == nil {
		found = &dataCentreTargets{}
		p.byDataCentre[dataCentre] = found
		p.dataCentres = append(p.dataCentres, found)
	}
	return found
}

// inspectedLists returns the lists of usable targets that are neither spare nor being
// inspected for the first time.
func (p *pool) inspectedLists() []*targetList {
	lists := make([]*targetList, 0, 2*len(p.dataCentres))
	for _, dc := range p.dataCentres {
		lists = append(lists, &dc.idle, &dc.busy)
	}
	return lists
}

// uninspected counts the usable targets that are spare or being inspected for the first
// time.
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

// expireIdle makes targets spare that have been idle for spareAfter: their state is
// outdated, and another coordinator may have used them in the meantime.
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

// nominalRate returns the throughput of n targets at the speed in the catalog, in items
// per second.
func nominalRate(spec *catalog.Batch, n int) float64 {
	return float64(n*spec.MaxItems) / nominalDuration(spec, spec.MaxItems).Seconds()
}
