package admission

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: when a target is ejected, and when it is probed.
//
// A target is ejected after failuresToEject failures in a row that speak against
// it, unless that would eject more than maxEjectedShare of the targets in use of
// its pool. It gets no work for the time of ejectionBackoff, which doubles with each
// ejection since its last success. Then it is probed: one attempt at a time, until
// one succeeds; a failure ejects it at once. A new incarnation ends the ejection and
// is probed too.
//
// Inputs: the results of this node's own attempts, of any age, since the target's
// last success; and how many targets of the pool are ejected now. Nodes do not
// exchange failures. Without attempts nothing is ejected.
//
// Why so: docs/decisions/0007-routing.md. A target ejected without need takes slots
// from the pool; one that is not ejected costs each attempt sent to it a retry.
const (
	// failuresToEject is how many failures in a row eject a target.
	failuresToEject = 3
	// maxEjectedShare is the largest share of a pool's targets in use that may be ejected,
	// so that failures of the node's own side do not close the whole pool.
	maxEjectedShare = 0.5
)

// ejectionBackoff gives the length of an ejection by the ejections before it.
var ejectionBackoff = backoff.Doubling{First: 500 * time.Millisecond, Max: 30 * time.Second}

// health is what this node's attempts say of a target. It is immutable.
type health struct {
	// failures counts the failures in a row that speak against the target.
	failures int
	// ejections counts the ejections since the last success.
	ejections int
	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
	// probing is true from an ejection until an attempt succeeds.
	probing bool
}

// withSuccess returns the health after an attempt that succeeded.
func (h health) withSuccess() health {
	return health{ejectedUntil: h.ejectedUntil}
}

// withFailure returns the health after a failure that speaks against the target,
// and whether it is ejected by it. mayEject is false when the pool has ejected its
// largest share.
func (h health) withFailure(now time.Time, mayEject bool) (next health, ejected bool) {
	h.failures++
	if !mayEject || (h.failures < failuresToEject && !h.probing) {
		return h, false
	}
	until := now.Add(ejectionBackoff.After(h.ejections))
	return health{ejections: h.ejections + 1, ejectedUntil: until, probing: true}, true
}

// withIncarnation returns the health of a new incarnation: it is not blamed for the
// failures of the last one, and is probed if that one was ejected.
func (h health) withIncarnation() health {
	return health{probing: h.probing}
}

// ejected says whether the target is ejected now.
func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// ended counts the end of an attempt and says whether the target is ejected by it.
func (t *target) ended(now time.Time, err *verdict.Error, mayEject bool) bool {
	if err == nil {
		t.health = t.withSuccess()
		return false
	}
	if !speaksAgainstTarget(err) {
		return false
	}
	next, ejected := t.withFailure(now, mayEject)
	t.health = next
	return ejected
}

// speaksAgainstTarget says whether a failure is the target's. Its refusals are not,
// nor is the end of the caller's request or deadline.
func speaksAgainstTarget(err *verdict.Error) bool {
	switch err.Reason() {
	case verdict.ReasonDial, verdict.ReasonConnection, verdict.ReasonTargetError,
		verdict.ReasonIdentity, verdict.ReasonCut, verdict.ReasonStalled:
		return true
	}
	return false
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

// firstProbe returns when the first ejected target is probed; zero when none is
// ejected that is not leaving.
func (p *pool) firstProbe(now time.Time) time.Time {
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
