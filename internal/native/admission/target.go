package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// target is what the core knows of one target.
type target struct {
	health
	spec bundle.Target
	hash uint64
	pool *pool

	// inFlight counts this node's calls.
	inFlight int
	// granted is when it last got a call.
	granted time.Time
	// incarnation is that of its last report; empty before the first.
	incarnation string
	leaving     bool
	// marks holds the incarnations that are known to be leaving.
	marks map[string]bool

	// reportAskedAt is when its report was last asked for; see read.go.
	reportAskedAt time.Time
	reported      bool
	// reportedAt is when its last report was true, at the target.
	reportedAt time.Time
	// foreign is the load of others at that time, in calls.
	foreign int
	// slowness is the mean of its times over the expected ones.
	slowness movingMean
}

// inService says whether the target is neither leaving nor ejected.
func (t *target) inService(now time.Time) bool {
	return !t.leaving && !t.ejected(now)
}

// usable says whether the target may get a call now: it is in service, and no
// probe is under way.
func (t *target) usable(now time.Time) bool {
	if !t.inService(now) {
		return false
	}
	return !t.probing || t.inFlight == 0
}

// report records the target's own load report.
func (t *target) report(now time.Time, r Report) {
	if t.incarnation != "" && t.incarnation != r.Incarnation {
		t.health = t.withIncarnation()
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
