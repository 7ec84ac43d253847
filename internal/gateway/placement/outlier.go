package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// ejectAt is the average of failures, from 0 to 1, from which on a target is ejected.
// By failureWeight and halfLife a target that did not fail before is ejected by two
// failures in a row within 0.78 s, or by three a second apart; one failure alone, as of
// a connection that was reset, ejects nobody.
const ejectAt = 0.6

// ejection is how long a target is ejected: 1 s after the first ejection, then 2 s and
// 4 s for as long as its probes fail. A probe costs one request an attempt; a target
// that has recovered is back within 4 s.
var ejection = backoff.Doubling{First: time.Second, Max: 4 * time.Second}

// outlier decides whether a target that keeps failing is left unused.
//
// A target is ejected when its average of failures reaches ejectAt, or at once
// when a failure proves that it is down (TargetTable.Eject). When the ejection is
// over, one call probes the target; all others go elsewhere until the probe has
// ended. A success ends the ejection for good; a failure ejects again, for twice
// as long, also that of a call which was sent before the ejection.
//
// Inputs are the outcomes of this node's own calls: nodes do not share them, since
// a target may be down for one node alone. A target is still chosen when no other
// is left (see tier), and such a call counts as a probe too. A wrong ejection
// costs the target's capacity for a second; a missing one costs each request that
// meets the target an attempt.
type outlier struct {
	// until is when the ejection is over; zero for not ejected.
	until time.Time
	// ejections is how often the target was ejected since its last success.
	ejections int
	// probing is true while a call is out to the ejected target.
	probing bool
}

// sent counts a call that is being sent.
func (o *outlier) sent() {
	if !o.until.IsZero() {
		o.probing = true
	}
}

// ended counts the end of a call; failing is the average of failures after it.
func (o *outlier) ended(now time.Time, failed bool, failing float64) {
	if !failed {
		*o = outlier{}
		return
	}
	o.probing = false
	if failing < ejectAt && o.ejections == 0 {
		return
	}
	o.until = now.Add(ejection.After(o.ejections))
	o.ejections++
}

// ejected says whether the target is left unused while there are others.
func (o *outlier) ejected(now time.Time) bool {
	return !o.until.IsZero() && (o.probing || now.Before(o.until))
}

// Eject ejects a target at once, for a failure that proves that it is down.
func (t *TargetTable) Eject(now time.Time, l directory.Incarnation) {
	s := t.of(l)
	s.failing = 1
	s.learntAt = now
	s.outlier.ended(now, true, s.failing)
}

// Ejected returns the identities of the targets of a directory that are ejected now, of
// all services: it looks at those that were called, a few of thousands.
func (t *TargetTable) Ejected(now time.Time, d *directory.Directory) []string {
	var list []string
	for life, s := range t.targets {
		if s.outlier.ejected(now) && d.IsCurrent(life) {
			list = append(list, life.ID)
		}
	}
	slices.Sort(list)
	return list
}
