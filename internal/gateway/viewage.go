package gateway

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

const (
	// maxConfirmedAge is the age up to which a view counts as confirmed. Streams that begin with it
	// are within what streamorigin allows for without a report of this node (viewLag, 3 s), with 0.2 s
	// until they are sent.
	maxConfirmedAge = 2800 * time.Millisecond
	// reportedFor is how long a greater age is reported after it ended, since not every report
	// reaches every member.
	reportedFor = 5 * time.Second
	// unreportedAge is the age of the view of a member of an earlier version, which reports none: such
	// members assume it of each other (viewLag in streamorigin).
	unreportedAge = 3 * time.Second
	// reportLag is how much a view may age between two reports.
	reportLag = gossipInterval + gossipTimeout + triggerDelay
)

// ceilMs returns a duration in milliseconds, rounded up.
func ceilMs(d time.Duration) int { return int((d + time.Millisecond - 1).Milliseconds()) }

// viewAge records since when the view may be behind the source. The zero value is a view that was
// never confirmed.
type viewAge struct {
	mu sync.Mutex
	// confirmedAt is a time at which the view had all that the source knew; zero for never.
	confirmedAt time.Time
	past        membership.ViewAges
}

// confirm records that the view had all that the source knew at a time.
func (a *viewAge) confirm(now, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !at.After(a.confirmedAt) {
		return
	}
	if !a.confirmedAt.IsZero() {
		a.past.Put(now, now.Sub(a.confirmedAt))
	}
	a.confirmedAt = at
}

// confirmByMember records what the direct answer of a member to a message that was sent at a time says:
// a view that is not older than the member's was confirmed as lately as that.
func (a *viewAge) confirmByMember(now, sent time.Time, m message.GossipMember, version, revision int64) {
	if int64(m.Version) > version || int64(m.Revision) > revision {
		return
	}
	switch {
	case m.ViewAgeMs > 0:
		a.confirm(now, sent.Add(-time.Duration(m.ViewAgeMs)*time.Millisecond))
	case m.Version > 0:
		a.confirm(now, sent.Add(-unreportedAge))
	}
}

// current returns for how long the view has not been confirmed.
func (a *viewAge) current(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmedAt.IsZero() {
		return maxOriginKeep
	}
	return now.Sub(a.confirmedAt)
}

// everConfirmed reports whether the view was ever confirmed.
func (a *viewAge) everConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.confirmedAt.IsZero()
}

// worst returns the greatest age of the view since a time.
func (a *viewAge) worst(now, since time.Time) time.Duration {
	age := a.current(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(age, a.past.Worst(since))
}

// reported returns the age to report to members: the present one, or a greater one of a moment ago with
// which streams may have begun. It is 0 before the first confirmation: a node that starts may report
// while its first view comes into force, and begins streams only once members know of them (MayBegin).
func (a *viewAge) reported(now time.Time) time.Duration {
	if !a.everConfirmed() {
		return 0
	}
	if worst := a.worst(now, now.Add(-reportedFor)); worst > maxConfirmedAge {
		return worst
	}
	return a.current(now)
}
