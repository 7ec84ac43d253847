// Package warmup decides whether a target that is cold may get one more request. A cold
// target bears a few requests a second, as the catalog says, and falls over at well above
// that; it turns cold when it starts, and whole data centres do when they are taken back.
//
// The load that it answers: one prompt part that a third of a route's requests share, 30
// requests a second at one engine, when that engine turns cold in a burst; and 22 engines
// that return empty, at which no prompt waits, so that each rule of placement finds them
// the best.
//
// The bound is on what all nodes send together, and no state is shared. It holds by three
// rules that each node applies alone:
//
//   - Only one member gives out a cold target's requests: the one that places a service's
//     prompts, and for a plain service the one that hashing assigns the target to.
//   - That member keeps a token bucket for each cold target and may use the sharers-th
//     part of the bound (Bound.Share), so that up to sharers members which take themselves
//     for it stay within the bound together.
//   - A member that has just started, or has lost sight of most others, gives out none
//     (membership.Roster.Settled): members in such a state are the ones that disagree.
//
// A stage's target runs one call at a time, whose sender is its coordinator; there the
// buckets bound the calls.
//
// A target whose allowance is used is passed over; the request goes to a warm one. When
// there is none, it is refused as not run with a time to retry after.
//
// The package owns the buckets of one member. It relies on the directory for which targets
// are cold and until when. It does no input or output and reads no clock.
package warmup

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// sharers is how many members may give out a cold target's requests within one second
	// without the bound being exceeded: in 4,500 cases of the model check, in which members
	// start, end, freeze and are cut off from each other in series, there were six at most
	// (TestBoundHolds). A target that bears 10 requests a second, and 20 at most, gets 3.3
	// from one member; more would let disagreeing members exceed the bound.
	sharers = 6
	// burstShare is the part of a member's allowance that may be used at once; the rest
	// comes evenly over the second, so that no second has more than the allowance.
	burstShare = 0.25
)

// Bound is how many requests a second a cold target gets from all nodes together.
type Bound struct {
	// PerSecond is what the target bears, by the catalog; 0 for no bound.
	PerSecond float64
	Margin
}

// Margin widens the bounds of all services, by an operator's settings.
type Margin struct {
	// Overshoot is what PerSecond is multiplied by, and Tolerance what is added to it, in
	// requests a second.
	Overshoot, Tolerance float64
}

// Bound returns the bound of a service's cold targets.
func (m Margin) Bound(w catalog.WarmUp) Bound { return Bound{PerSecond: w.RequestsPerSecond, Margin: m} }

// Share is the most requests that one member may give out for a target in a second.
func (b Bound) Share() float64 { return (b.PerSecond*b.Overshoot + b.Tolerance) / sharers }

// limiter returns a bucket that gives out no more than Share in any second; nil when that
// is less than one.
func (b Bound) limiter() *rate.Limiter {
	share := b.Share()
	if share < 1 {
		return nil
	}
	burst := max(math.Floor(burstShare*share), 1)
	return rate.NewLimiter(rate.Limit(share-burst), int(burst))
}

// Limiter are the buckets of the cold targets of one service at one member. Create it
// with New; a nil one bounds nothing. It is not safe for concurrent use.
type Limiter struct {
	bound   Bound
	buckets map[directory.Incarnation]*rate.Limiter
}

// NewLimiter returns limits without a bound.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[directory.Incarnation]*rate.Limiter)} }

// SetBound sets the bound; another one than before begins with full buckets.
func (l *Limiter) SetBound(b Bound) {
	if b == l.bound {
		return
	}
	l.bound = b
	clear(l.buckets)
}

// Allows says whether a target may get a request now: when it is warm, its service has no
// bound, or its bucket has a token and this member gives out its tokens. The latter is
// asked for cold targets alone.
func (l *Limiter) Allows(now time.Time, t directory.Target, givesOut func() bool) bool {
	if !l.bounds(now, t) {
		return true
	}
	bucket := l.bucket(t.Incarnation())
	return bucket != nil && bucket.TokensAt(now) >= 1 && givesOut()
}

// Take takes a token for a request that a target gets now.
func (l *Limiter) Take(now time.Time, t directory.Target) {
	if !l.bounds(now, t) {
		return
	}
	if bucket := l.bucket(t.Incarnation()); bucket != nil {
		bucket.AllowN(now, 1)
	}
}

// Prune forgets the buckets of targets that are not listed or warm.
func (l *Limiter) Prune(now time.Time, d *directory.Directory) {
	for life := range l.buckets {
		if t, known := d.Target(life.ID); !known || t.Incarnation() != life || !t.Cold(now) {
			delete(l.buckets, life)
		}
	}
}

// bounds says whether the target is cold and has a bound.
func (l *Limiter) bounds(now time.Time, t directory.Target) bool {
	return l != nil && l.bound.PerSecond > 0 && t.Cold(now)
}

// bucket returns the bucket of a target; nil when no member may send it any request.
func (l *Limiter) bucket(life directory.Incarnation) *rate.Limiter {
	bucket, known := l.buckets[life]
	if !known {
		bucket = l.bound.limiter()
		l.buckets[life] = bucket
	}
	return bucket
}
