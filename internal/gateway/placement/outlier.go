package placement

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/backoff"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// ejectionThreshold is the failure rate, from 0 to 1, at which a target is ejected. Given
// failureWeight and statsHalfLife, a target without earlier failures is ejected after two
// consecutive failures within 0.78 s, or after three that are a second apart. A single
// failure, such as a connection reset, does not eject a target.
const ejectionThreshold = 0.6

// ejectionBackoff is the duration of an ejection: 1 s for the first one, then 2 s and 4 s
// for as long as probes fail. Each probe costs one request an attempt. A target that has
// recovered is used again within 4 s.
var ejectionBackoff = backoff.Doubling{First: time.Second, Max: 4 * time.Second}

// outlier implements outlier detection: it determines whether a failing target is ejected.
//
// A target is ejected if its failure rate reaches ejectionThreshold, or immediately if a
// failure proves that it is down (TargetTable.Eject). After the ejection one call probes
// the target, while all other calls go elsewhere until the probe has ended. A success
// resets the state. A failure ejects the target again for twice as long (ejectionBackoff),
// even if the call was sent before the ejection.
//
// Only the results of this node's own calls are considered. Nodes do not share them because
// a target may be unreachable from a single node. An ejected target is still used if no other
// is left (see tier), and such a call counts as a probe too. An unnecessary ejection costs
// the capacity of the target for a second; a missing ejection costs an attempt for each
// request that is sent to the target.
type outlier struct {
	// ejectedUntil is the end of the last ejection. It is zero if the target has not been
	// ejected since the last success.
	ejectedUntil time.Time
	// ejections is the number of ejections since the last success.
	ejections int
	// probing reports whether a call to the ejected target is in progress.
	probing bool
}

// sent records that a call is sent to the target.
func (o *outlier) sent() {
	if !o.ejectedUntil.IsZero() {
		o.probing = true
	}
}

// ended records the end of a call. failureRate is the failure rate including this call.
func (o *outlier) ended(now time.Time, failed bool, failureRate float64) {
	if !failed {
		*o = outlier{}
		return
	}
	o.probing = false
	if failureRate < ejectionThreshold && o.ejections == 0 {
		return
	}
	o.ejectedUntil = now.Add(ejectionBackoff.After(o.ejections))
	o.ejections++
}

// ejected reports whether the target is ejected, which includes the duration of a probe.
func (o *outlier) ejected(now time.Time) bool {
	return !o.ejectedUntil.IsZero() && (o.probing || now.Before(o.ejectedUntil))
}

// Eject ejects a target immediately after a failure that proves that it is down.
func (t *TargetTable) Eject(now time.Time, l directory.Incarnation) {
	s := t.statsOf(l)
	s.failureRate = 1
	s.updatedAt = now
	s.outlier.ended(now, true, s.failureRate)
}

// Ejected returns the sorted IDs of the targets in d, of all services, that are currently
// ejected. It only iterates over the targets that this node has called, which are few
// compared to the thousands in the directory.
func (t *TargetTable) Ejected(now time.Time, d *directory.Directory) []string {
	var list []string
	for target, s := range t.targets {
		if s.outlier.ejected(now) && d.IsCurrent(target) {
			list = append(list, target.ID)
		}
	}
	slices.Sort(list)
	return list
}
