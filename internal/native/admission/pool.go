package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// pool holds the targets of one pool and the work that waits for them.
type pool struct {
	spec *bundle.Pool
	// all holds every target of the pool, those that this node prefers first.
	all []*target
	// allSlots counts the slots of all.
	allSlots int
	// targets is the part of all that this node uses; see subset.go.
	targets []*target
	// queues holds the held work by organisation; see hold.go.
	queues map[string]*queue
	held   int
	// heldWork is the expected time of all held work.
	heldWork time.Duration
	// served is the largest served of any queue that got a grant.
	served float64
	// busyAt is when work was last held, or all slots reported taken; see shed.go.
	busyAt  time.Time
	retries retryBudget
	// turn counts the choices, for routing.RoundRobin.
	turn uint64
	// retired is the number of the bundle that no longer names the pool; 0
	// while it is in force.
	retired int
	// scratch and indexes are reused by choose.
	scratch []routing.Candidate
	indexes []int
}

func newPool(spec *bundle.Pool) *pool {
	return &pool{spec: spec, queues: make(map[string]*queue), retries: newRetryBudget()}
}

// slots counts the slots of the targets in use that are in service.
func (p *pool) slots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if t.inService(now) {
			n += t.spec.Slots
		}
	}
	return n
}

// inService counts the targets in use that are in service.
func (p *pool) inService(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if t.inService(now) {
			n++
		}
	}
	return n
}

// share returns this node's part of the pool's slots: of all of them, as far as
// the targets in use are in service, divided among the nodes.
func (p *pool) share(now time.Time, nodes int) float64 {
	used := slotsOf(p.targets)
	if used == 0 {
		return 0
	}
	inService := float64(p.slots(now)) / float64(used)
	return inService * float64(p.allSlots) / float64(nodes)
}

func slotsOf(targets []*target) int {
	n := 0
	for _, t := range targets {
		n += t.spec.Slots
	}
	return n
}

// load returns the share of the slots in service that this node's calls take, from
// 0 to 1; 1 when there are no such slots.
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
