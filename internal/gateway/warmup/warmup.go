// Package warmup limits the request rate of cold targets. A cold target sustains only a few
// requests a second, as configured in the catalog, and fails well above that rate. A target
// is cold after it starts; all targets of a data centre are cold when an evacuation of the
// data centre is undone.
//
// The limit protects against two kinds of load. First, a prompt prefix shared by a third of
// a route's requests sends 30 requests a second to one engine, which may turn cold during
// a burst. Second, engines that return, such as 22 at once, have no queued prompts, so that
// every placement rule prefers them.
//
// The limit applies to the sum of the requests that all nodes send, without shared state.
// It holds because each node applies three rules on its own:
//
//   - Only one member assigns requests to a cold target: the member that places the prompts
//     of the service, or for a plain service the member that rendezvous hashing selects for
//     the target.
//   - That member keeps a token bucket for each cold target, which allows a fraction
//     1/maxAssigners of the limit in any second (Bound.Share). Up to maxAssigners members that
//     each consider themselves responsible stay within the limit together.
//   - A member that has just started, or has lost contact with most other members, assigns
//     no requests (membership.Roster.Settled), because members in this state are the ones
//     that disagree about who is responsible.
//
// A target of a batching service runs one call at a time, sent by the coordinator of the
// service. Its bucket limits calls instead of requests.
//
// If the bucket of a target is empty, the request goes to a warm target, or to a cold one whose
// bucket is not empty. If there is none, the request is refused as not run, with a time after
// which to retry.
//
// The package keeps the buckets of one member. The directory determines which targets are
// cold and until when. The package performs no I/O and does not read the clock.
package warmup

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// maxAssigners is the number of members that may assign requests to a cold target within one
	// second without exceeding the limit. No more than 6 members have done so in TestBoundHolds,
	// in which members start, stop, freeze and are partitioned repeatedly. With a smaller number
	// members that disagree about who is responsible could exceed the limit together; a larger
	// one gives cold targets fewer requests. With 6, a target limited to 20 requests a second
	// gets 3.3 a second from one member.
	maxAssigners = 6
	// burstShare is the fraction of a member's share that may be used at once. The bucket
	// refills at the rate of the rest, so that no second exceeds the share.
	burstShare = 0.25
)

// Bound is the maximum request rate of a cold target, summed over all nodes.
type Bound struct {
	// PerSecond is the rate that the target sustains according to the catalog, in requests
	// a second. 0 means no limit.
	PerSecond float64
	Margin
}

// Margin widens the limits of all services. It comes from the operator's settings.
type Margin struct {
	// Overshoot is a factor applied to PerSecond. Tolerance is added to the product, in
	// requests a second.
	Overshoot, Tolerance float64
}

// Bound returns the limit for cold targets of a service with the given warm-up settings.
func (m Margin) Bound(w catalog.WarmUp) Bound {
	return Bound{PerSecond: w.RequestsPerSecond, Margin: m}
}

// Share returns the maximum number of requests a second that one member may assign to a
// target.
func (b Bound) Share() float64 { return (b.PerSecond*b.Overshoot + b.Tolerance) / maxAssigners }

// newBucket returns a token bucket that allows at most Share requests in any second, or nil
// if Share is less than one.
func (b Bound) newBucket() *rate.Limiter {
	share := b.Share()
	if share < 1 {
		return nil
	}
	burst := max(math.Floor(burstShare*share), 1)
	return rate.NewLimiter(rate.Limit(share-burst), saturate.Int(burst))
}

// Limiter holds the token buckets of one member for the cold targets of one service. Create
// it with NewLimiter. A nil *Limiter imposes no limit. It is not safe for concurrent use.
type Limiter struct {
	bound   Bound
	buckets map[directory.Incarnation]*rate.Limiter
}

// NewLimiter returns a Limiter that imposes no limit until SetBound is called.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[directory.Incarnation]*rate.Limiter)} }

// SetBound sets the limit. If it differs from the previous one, all buckets are replaced by
// full ones.
func (l *Limiter) SetBound(b Bound) {
	if b == l.bound {
		return
	}
	l.bound = b
	clear(l.buckets)
}

// Allows reports whether a target may get a request now. It may if it is warm, if its
// service has no limit, or if its bucket has a token and this member assigns the requests of
// the target. mayAssign reports the latter and is only called for cold targets.
func (l *Limiter) Allows(now time.Time, t directory.Target, mayAssign func() bool) bool {
	if !l.applies(now, t) {
		return true
	}
	bucket := l.bucket(t.Incarnation())
	return bucket != nil && bucket.TokensAt(now) >= 1 && mayAssign()
}

// Take takes a token for a request that is sent to a target.
func (l *Limiter) Take(now time.Time, t directory.Target) {
	if !l.applies(now, t) {
		return
	}
	if bucket := l.bucket(t.Incarnation()); bucket != nil {
		bucket.AllowN(now, 1)
	}
}

// Prune removes the buckets of targets that are warm, have restarted or are no longer listed.
func (l *Limiter) Prune(now time.Time, d *directory.Directory) {
	for target := range l.buckets {
		if t, known := d.Target(target.ID); !known || t.Incarnation() != target || !t.Cold(now) {
			delete(l.buckets, target)
		}
	}
}

// applies reports whether the target is cold and has a limit.
func (l *Limiter) applies(now time.Time, t directory.Target) bool {
	return l != nil && l.bound.PerSecond > 0 && t.Cold(now)
}

// bucket returns the bucket of a target, or nil if the share of a member is too small to
// assign any request.
func (l *Limiter) bucket(target directory.Incarnation) *rate.Limiter {
	bucket, known := l.buckets[target]
	if !known {
		bucket = l.bound.newBucket()
		l.buckets[target] = bucket
	}
	return bucket
}
