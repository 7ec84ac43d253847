package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

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
