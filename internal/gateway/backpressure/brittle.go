package backpressure

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// A brittle target crashes if it has to refuse more requests in a second than it names, for want
// of room, from all nodes together. Each node bounds the refusals that it can cause: a request
// that is not known to be accepted reserves one, and a refusal spends it. A request to a target
// that has just reported free slots reserves none.
const (
	// usedRefusals is the fraction of the refusals that the nodes use together, so that nodes
	// that disagree about how many they are do not exceed them.
	usedRefusals = 0.6
	// acceptedAfter is how long after its sending a request without an answer counts as
	// accepted: a target refuses as soon as it has read a request. A refusal that comes later is
	// paid for before the next request.
	acceptedAfter = 50 * time.Millisecond
	// maxLoadAge is how long a reported load counts.
	maxLoadAge = 500 * time.Millisecond
)

// Brittleness is what a brittle target reports.
type Brittleness struct {
	// Set reports whether the target is brittle.
	Set bool
	// RefusalsPerSecond is how many requests it can refuse in a second, from all nodes together.
	RefusalsPerSecond float64
}

// Load is the load that a target reports, in requests.
type Load struct {
	// Taken are the requests that run or wait, Slots those that can run at once; 0 for unknown.
	Taken, Slots int
}

// brittle is what a node knows of a brittle target.
type brittle struct {
	Brittleness
	// confirmedAt is when the target last reported it.
	confirmedAt time.Time
	// refusals holds the refusals that this node may cause now.
	refusals *rate.Limiter
	// pending are when the requests were sent that are not known to be accepted, oldest first.
	pending []time.Time
	// load is the last one that the target reported, at loadAt. sent counts the requests that this
	// node has sent since.
	load   Load
	loadAt time.Time
	sent   int
}

// newBrittle returns the state of a target that became brittle, where this node may cause one
// refusal: a target says that it is brittle some seconds before it crashes for one.
func newBrittle() *brittle { return &brittle{refusals: rate.NewLimiter(0, 1)} }

// share divides the refusals among nodes. Each may save up half of what it gets in a second, at
// least one: the sum over a second stays within the target's bound as long as that is at least
// twice the number of nodes, or not all nodes cause their saved refusal in one second.
func (b *brittle) share(now time.Time, nodes int) {
	perSecond := usedRefusals * b.RefusalsPerSecond / float64(max(nodes, 1))
	if limit := rate.Limit(perSecond); b.refusals.Limit() != limit {
		b.refusals.SetLimitAt(now, limit)
		b.refusals.SetBurstAt(now, max(1, saturate.Int(perSecond/2)))
	}
}

// allows reports whether the target may get a request from this node.
func (b *brittle) allows(now time.Time, nodes int) bool {
	b.share(now, nodes)
	b.accept(now)
	reserved := len(b.pending) + 1
	if b.hasRoom(now, nodes) {
		reserved = len(b.pending)
	}
	return b.refusals.TokensAt(now) >= float64(reserved)
}

// hasRoom reports whether the target reported free slots lately, of which this node's part is not
// used up.
func (b *brittle) hasRoom(now time.Time, nodes int) bool {
	free := b.load.Slots - b.load.Taken
	return now.Sub(b.loadAt) <= maxLoadAge && b.sent*max(nodes, 1) < free
}

// accept drops the pending requests that must have been accepted.
func (b *brittle) accept(now time.Time) {
	for len(b.pending) > 0 && now.Sub(b.pending[0]) > acceptedAfter {
		b.pending = b.pending[1:]
	}
}

// send records a request to the target.
func (b *brittle) send(now time.Time) {
	b.pending = append(b.pending, now)
	b.sent++
}

// answered records an answer of the target to a request of this node.
func (b *brittle) answered(now time.Time, s Signal) {
	if len(b.pending) > 0 {
		b.pending = b.pending[1:]
	}
	if s.NoRoom {
		b.refusals.ReserveN(now, 1)
	}
	if s.Load.Slots > 0 {
		b.load, b.loadAt, b.sent = s.Load, now, len(b.pending)
	}
	b.Brittleness, b.confirmedAt = s.Brittle, now
}
