package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// givenShare is the part of a limit that is given out. Nodes that disagree about who
	// does it, as while a member comes or goes, then exceed the limit by a fifth.
	givenShare = 0.6
	// perGiver is how much of a limit one node gives out at most, in requests a second:
	// few nodes of a large fleet have more for one target.
	perGiver = 2
	// giverBurst is how many requests a node may give out at once.
	giverBurst = 1
	// minPerSecond is the least rate that a node gives out, so that the end of a limit of 0
	// is noticed.
	minPerSecond = 0.1
	// endedFor is how long the end of a limit is remembered, for members that did not hear
	// of it.
	endedFor = 10 * time.Second
)

// report is what a target said of its limit, and when.
type report struct {
	Limit
	at time.Time
}

// entry is what is known of one life of a target.
type entry struct {
	report
	// bucket holds what this node may give out.
	bucket *rate.Limiter
}

// table holds the newest report of each life that has a limit, or had one lately. It is not
// safe for concurrent use.
type table struct{ entries map[directory.Life]*entry }

func newTable() *table { return &table{entries: map[directory.Life]*entry{}} }

// merge takes in a report unless a newer one is known, and says whether the limit changed.
func (t *table) merge(target directory.Life, r report) bool {
	e := t.entries[target]
	if e == nil {
		e = &entry{bucket: newBucket(r.at)}
		t.entries[target] = e
	}
	if !r.at.After(e.at) {
		return false
	}
	changed := r.Limit != e.Limit
	e.report = r
	return changed
}

// newBucket returns an empty bucket: a target that names a limit has had too much.
func newBucket(now time.Time) *rate.Limiter {
	b := rate.NewLimiter(minPerSecond, giverBurst)
	b.AllowN(now, giverBurst)
	return b
}

// givers is how many nodes give out the requests of a target.
func (l Limit) givers() int { return max(int(l.PerSecond/perGiver), 1) }

// given is how many requests a second are given out by one of several nodes.
func (l Limit) given(givers int) float64 {
	return max(givenShare*l.PerSecond/float64(givers), minPerSecond)
}

// limit returns the limit of a target.
func (t *table) limit(target directory.Life) Limit {
	if e := t.entries[target]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// ends says whether an answer without a limit ends the target's: answers may overtake each
// other, so that only one to a request sent after the target last named its limit does.
func (t *table) ends(target directory.Life, sent time.Time) bool {
	e := t.entries[target]
	return e != nil && e.Set && sent.After(e.at)
}

// allows says whether a target may get a request: it has no limit, or this node gives out
// its requests and its bucket has a token.
func (t *table) allows(now time.Time, target directory.Life, giver giver) bool {
	e := t.entries[target]
	if e == nil || !e.Set {
		return true
	}
	perSecond, gives := giver(target, e.Limit, now.Sub(e.at))
	if each := rate.Limit(perSecond); e.bucket.Limit() != each {
		e.bucket.SetLimitAt(now, each)
	}
	return gives && e.bucket.TokensAt(now) >= 1
}

// sent takes a token for a request that a target gets.
func (t *table) sent(now time.Time, target directory.Life) {
	if e := t.entries[target]; e != nil && e.Set {
		e.bucket.AllowN(now, 1)
	}
}

// limited returns the targets with a limit, in no order.
func (t *table) limited() []directory.Life {
	var list []directory.Life
	for target, e := range t.entries {
		if e.Set {
			list = append(list, target)
		}
	}
	return list
}

// newest returns the targets with the newest reports, at most n of them.
func (t *table) newest(n int) []directory.Life {
	list := slices.Collect(maps.Keys(t.entries))
	slices.SortFunc(list, func(a, b directory.Life) int {
		return cmp.Or(t.entries[b].at.Compare(t.entries[a].at), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

// prune forgets limits that ended endedFor ago.
func (t *table) prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ directory.Life, e *entry) bool { return !e.Set && now.Sub(e.at) > endedFor })
}

// pruneLives forgets lives of targets that have ended.
func (t *table) pruneLives(d *directory.Directory) {
	maps.DeleteFunc(t.entries, func(target directory.Life, _ *entry) bool { return !d.Lives(target) })
}
