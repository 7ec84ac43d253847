package quarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	fleetSeeds = flag.Int("fleet.seeds", 3, "how many seeds TestFleetOverSeeds plays of each fleet")
	fleetApart = flag.Bool("fleet.apart", true, "keep suspected requests on different targets")
)

// fleet is a simulation of members with tables of their own, of targets, and of callers.
// Time is simulated; messages take time and are lost.
type fleet struct {
	fleetConfig
	rng    *rand.Rand
	now    time.Time
	events eventQueue
	seq    int

	members []*fleetMember
	targets []*fleetTarget
	bad     map[Digest]*badRequest
	next    Digest

	// innocent counts tries of innocent requests, refused those that were held, and lost
	// those whose target ended.
	innocent, refused, lost int
}

// fleetConfig is what is simulated.
type fleetConfig struct {
	members, targets int
	// perSecond is how many innocent requests come a second, and popular the share of them
	// that are one of popularCount.
	perSecond float64
	popular   float64
	// bad is how many requests end their targets, each sent again so many times at once.
	bad, copies int
	// crashes are the seconds between ends of single targets for other reasons, rack those
	// between ends of a quarter of all; 0 for none.
	crashes, rack time.Duration
	// lost is the share of exchanges that are lost.
	lossOfNews float64
	// restarts is the time between restarts of single members; 0 for none.
	restarts time.Duration
	lasts    time.Duration
}

const popularCount = 20

type fleetMember struct {
	*Table
	address string
	// triggered says that a round of gossip follows soon.
	triggered bool
	compared  time.Time
	// started is when it last began to know nothing; zero for the start of all.
	started time.Time
}

type fleetTarget struct {
	id       string
	life     int
	up       bool
	attempts map[*fleetAttempt]bool
}

// fleetAttempt is a request at a target.
type fleetAttempt struct {
	member  *fleetMember
	digest  Digest
	began   time.Time
	bad     bool
	retries int
	suspect bool
}

// badRequest is what the simulation knows of a request that ends its targets.
type badRequest struct {
	ends  int
	third time.Time
	// late counts its arrivals at targets later than lateAfter after its third end, sent
	// by members that started longer ago than that.
	late int
}

// Bounds of users: later than lateAfter after its third end a request may reach targets
// maxLate more times, sent by members that have been well for as long.
const (
	lateAfter = 3 * time.Second
	maxLate   = 3
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(cfg fleetConfig, seed uint64) *fleet {
	f := &fleet{fleetConfig: cfg, rng: rand.New(rand.NewPCG(seed, 2)), now: start, bad: map[Digest]*badRequest{}, next: 1000}
	for i := range cfg.members {
		m := &fleetMember{Table: NewTable(), address: fmt.Sprint("m", i)}
		f.members = append(f.members, m)
		f.after(f.upTo(500*time.Millisecond), func() { f.gossipLoop(m) })
	}
	for i := range cfg.targets {
		f.targets = append(f.targets, &fleetTarget{id: fmt.Sprint("t", i), up: true, attempts: map[*fleetAttempt]bool{}})
	}
	f.every(func() time.Duration { return time.Duration(f.rng.ExpFloat64() / cfg.perSecond * float64(time.Second)) }, f.innocentRequest)
	for i := range cfg.bad {
		d := Digest(1 + i)
		f.bad[d] = &badRequest{}
		f.after(f.upTo(time.Second), func() { f.badCopies(d) })
	}
	f.everyOnce(cfg.crashes, func() { f.end(f.targets[f.rng.IntN(len(f.targets))]) })
	f.everyOnce(cfg.rack, f.endRack)
	f.everyOnce(cfg.restarts, func() {
		m := f.members[f.rng.IntN(len(f.members))]
		m.Table, m.started = NewTable(), f.now
	})
	return f
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

func (f *fleet) between(a, b time.Duration) time.Duration { return a + f.upTo(b-a) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// every does something again and again.
func (f *fleet) every(pause func() time.Duration, do func()) {
	f.after(pause(), func() {
		do()
		f.every(pause, do)
	})
}

// everyOnce does something at times drawn about a mean; never for 0.
func (f *fleet) everyOnce(mean time.Duration, do func()) {
	if mean > 0 {
		f.every(func() time.Duration { return f.between(mean/2, mean*3/2) }, do)
	}
}

func (f *fleet) run() {
	for end := start.Add(f.lasts); len(f.events) > 0; {
		e := heap.Pop(&f.events).(simEvent)
		if e.at.After(end) {
			return
		}
		f.now = e.at
		e.do()
	}
}

// gossipLoop exchanges with two other members twice a second.
func (f *fleet) gossipLoop(m *fleetMember) {
	f.round(m)
	f.after(500*time.Millisecond, func() { f.gossipLoop(m) })
}

func (f *fleet) round(m *fleetMember) {
	m.Prune(f.now)
	for range 2 {
		if other := f.members[f.rng.IntN(len(f.members))]; other != m && f.rng.Float64() >= f.lossOfNews {
			f.exchange(m, other)
		}
	}
}

// exchange has two members tell each other, each with a way.
func (f *fleet) exchange(m, other *fleetMember) {
	news := m.Recent(f.now)
	f.after(f.between(time.Millisecond, 10*time.Millisecond), func() {
		f.merge(other, news)
		answer, sum := other.Recent(f.now), other.HeldSum()
		f.after(f.between(time.Millisecond, 10*time.Millisecond), func() {
			f.merge(m, answer)
			if sum != 0 && sum != m.HeldSum() && f.now.Sub(m.compared) >= compareInterval {
				m.compared = f.now
				f.merge(m, other.AllHeld())
			}
		})
	})
}

func (f *fleet) merge(m *fleetMember, entries []Entry) {
	if m.Merge(f.now, entries) && slices.ContainsFunc(entries, func(e Entry) bool { return m.holds(e.Digest) }) {
		f.trigger(m)
	}
}

func (m *fleetMember) holds(d Digest) bool {
	_, held := m.Held(d)
	return held
}

// trigger has a member begin a round soon.
func (f *fleet) trigger(m *fleetMember) {
	if m.triggered {
		return
	}
	m.triggered = true
	f.after(50*time.Millisecond, func() {
		m.triggered = false
		f.round(m)
	})
}

// innocentRequest is a new request that does no harm.
func (f *fleet) innocentRequest() {
	d := f.next
	f.next++
	if f.rng.Float64() < f.popular {
		d = Digest(100 + f.rng.IntN(popularCount))
	}
	f.try(&fleetAttempt{digest: d, retries: 1})
}

// badCopies sends a bad request some times at once, and again when a caller has waited.
func (f *fleet) badCopies(d Digest) {
	for range f.copies {
		f.after(f.upTo(50*time.Millisecond), func() { f.try(&fleetAttempt{digest: d, bad: true}) })
	}
	f.after(f.between(400*time.Millisecond, 1500*time.Millisecond), func() { f.badCopies(d) })
}

// try sends a request to a target, unless the member that it came to holds it.
func (f *fleet) try(a *fleetAttempt) {
	a.member = f.members[f.rng.IntN(len(f.members))]
	if !a.bad {
		f.innocent++
	}
	if _, held := a.member.Held(a.digest); held && !f.tries(a) {
		if !a.bad {
			f.refused++
		}
		return
	}
	a.suspect = a.member.Suspected(a.digest)
	t := f.choose(a)
	if t == nil {
		return
	}
	f.noteArrival(a)
	a.began = f.now
	t.attempts[a] = true
	life := t.life
	took := f.between(100*time.Millisecond, 2500*time.Millisecond)
	if a.bad {
		took = f.between(50*time.Millisecond, 600*time.Millisecond)
	}
	f.after(took, func() {
		switch {
		case t.life != life || !t.up:
		case a.bad:
			f.end(t)
		default:
			delete(t.attempts, a)
			a.member.Answered(f.now, a.digest)
		}
	})
}

// tries says whether a held request is sent as its trial, which one member lets through.
func (f *fleet) tries(a *fleetAttempt) bool {
	return a.member.Try(f.now, a.digest, func() bool { return a.member == f.members[int(a.digest)%len(f.members)] })
}

// choose draws a target, for a suspected request one without another where there is one.
func (f *fleet) choose(a *fleetAttempt) *fleetTarget {
	var free, apart []*fleetTarget
	for _, t := range f.targets {
		if !t.up {
			continue
		}
		free = append(free, t)
		if !t.hasSuspect() {
			apart = append(apart, t)
		}
	}
	if a.suspect && *fleetApart && len(apart) > 0 {
		free = apart
	}
	if len(free) == 0 {
		return nil
	}
	return free[f.rng.IntN(len(free))]
}

func (t *fleetTarget) hasSuspect() bool {
	for a := range t.attempts {
		if a.suspect {
			return true
		}
	}
	return false
}

func (f *fleet) noteArrival(a *fleetAttempt) {
	if !a.bad {
		return
	}
	b := f.bad[a.digest]
	if !b.third.IsZero() && f.now.Sub(b.third) > lateAfter && f.now.Sub(a.member.started) > lateAfter {
		b.late++
	}
}

// end ends a target with what it has; it is back after some seconds.
func (f *fleet) end(t *fleetTarget) {
	if !t.up {
		return
	}
	t.up = false
	ended := fmt.Sprint(t.id, "/", t.life)
	seen := map[Digest]bool{}
	// The order of a map differs between runs.
	for _, m := range f.members {
		for a := range t.attempts {
			if a.member == m {
				f.broke(ended, a, seen)
			}
		}
	}
	t.attempts = map[*fleetAttempt]bool{}
	f.after(f.between(4*time.Second, 8*time.Second), func() { t.life, t.up = t.life+1, true })
}

// broke has the member of an attempt note the end of its target, and the caller repeat.
func (f *fleet) broke(target string, a *fleetAttempt, seen map[Digest]bool) {
	c := Crash{Target: target, SentAt: a.began, BrokenAt: f.now, Silent: f.now.Sub(a.began) < 600*time.Millisecond}
	f.after(2*time.Millisecond, func() {
		if a.member.Crashed(f.now, a.digest, c) && a.member.holds(a.digest) {
			f.trigger(a.member)
		}
	})
	if b := f.bad[a.digest]; b != nil && !seen[a.digest] {
		seen[a.digest] = true
		if b.ends++; b.ends == 3 {
			b.third = f.now
		}
	}
	if a.bad {
		return
	}
	f.lost++
	if a.retries > 0 {
		again := &fleetAttempt{digest: a.digest, retries: a.retries - 1}
		f.after(f.between(50*time.Millisecond, 500*time.Millisecond), func() { f.try(again) })
	}
}

// endRack ends a quarter of the targets within some milliseconds.
func (f *fleet) endRack() {
	first := f.rng.IntN(len(f.targets))
	for i := range len(f.targets) / 4 {
		t := f.targets[(first+i)%len(f.targets)]
		f.after(f.upTo(5*time.Millisecond), func() { f.end(t) })
	}
}

// holdEverywhere says whether all members hold the bad requests.
func (f *fleet) holdEverywhere() bool {
	for d := range f.bad {
		for _, m := range f.members {
			if _, held := m.Held(d); !held {
				return false
			}
		}
	}
	return true
}

// drawFleet draws what is simulated.
func drawFleet(t *rapid.T) fleetConfig {
	members := rapid.IntRange(1, 12).Draw(t, "members")
	restarts := time.Duration(0)
	if members >= 3 {
		// What all members forget at once nobody knows any more; these have others to ask.
		restarts = time.Duration(rapid.SampledFrom([]int{0, 5}).Draw(t, "restarts")) * time.Second
	}
	return fleetConfig{
		members: members, targets: rapid.IntRange(4, 20).Draw(t, "targets"),
		perSecond: rapid.Float64Range(5, 60).Draw(t, "perSecond"), popular: rapid.Float64Range(0, 0.5).Draw(t, "popular"),
		bad: rapid.IntRange(0, 2).Draw(t, "bad"), copies: rapid.IntRange(1, 8).Draw(t, "copies"),
		crashes:    time.Duration(rapid.SampledFrom([]int{0, 2, 5}).Draw(t, "crashes")) * time.Second,
		rack:       time.Duration(rapid.SampledFrom([]int{0, 10}).Draw(t, "rack")) * time.Second,
		restarts:   restarts,
		lossOfNews: rapid.Float64Range(0, 0.3).Draw(t, "lost"), lasts: 20 * time.Second,
	}
}

// TestFleet holds, over fleets of all kinds, that a request which ended three targets
// reaches at most three more later than three seconds after, and that what no target ended
// with is not held.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(drawFleet(t), rapid.Uint64().Draw(t, "seed"))
		f.run()
		for d, b := range f.bad {
			if b.late > maxLate {
				t.Errorf("request %v reached %d targets more than %v after its third end, %d in all", d, b.late, lateAfter, b.ends)
			}
		}
		if f.lost == 0 && f.refused > 0 {
			t.Errorf("%d innocent requests were refused, and no target ended with one", f.refused)
		}
	})
}

// TestFleetOverSeeds prints what requests that end their targets cost fleets of several
// kinds: targets that ended with them, and innocent requests refused.
//
//	go test ./internal/gateway/quarantine -run TestFleetOverSeeds -v -fleet.seeds 200
func TestFleetOverSeeds(t *testing.T) {
	usual := fleetConfig{members: 6, targets: 18, perSecond: 35, popular: 0.2, lasts: 20 * time.Second}
	for _, c := range []struct {
		what   string
		change func(*fleetConfig)
	}{
		{"one bad request", func(c *fleetConfig) { c.bad, c.copies = 1, 1 }},
		{"one, four times at once", func(c *fleetConfig) { c.bad, c.copies = 1, 4 }},
		{"three bad requests", func(c *fleetConfig) { c.bad, c.copies = 3, 1 }},
		{"none; a target ends every 2 s", func(c *fleetConfig) { c.crashes = 2 * time.Second }},
		{"none; every half second", func(c *fleetConfig) { c.crashes = 500 * time.Millisecond }},
		{"none; a quarter of all every 6 s", func(c *fleetConfig) { c.rack = 6 * time.Second }},
		{"one, and a target ends every 2 s", func(c *fleetConfig) { c.bad, c.copies, c.crashes = 1, 1, 2*time.Second }},
		{"one; half of all requests popular", func(c *fleetConfig) { c.bad, c.copies, c.popular = 1, 1, 0.5 }},
		{"one; four targets", func(c *fleetConfig) { c.bad, c.copies, c.targets = 1, 1, 4 }},
	} {
		cfg := usual
		c.change(&cfg)
		ends, late, refused, lost, innocent := 0, 0, 0, 0, 0
		for seed := range *fleetSeeds {
			f := newFleet(cfg, uint64(seed))
			f.run()
			for _, b := range f.bad {
				ends += b.ends
				late = max(late, b.late)
			}
			refused, lost, innocent = refused+f.refused, lost+f.lost, innocent+f.innocent
			if late > maxLate {
				t.Errorf("%s, seed %d: %d late arrivals", c.what, seed, late)
			}
		}
		t.Logf("%-36s targets ended with a bad request %.2f, late arrivals at most %d, innocent tries refused %d and lost %d of %d",
			c.what, float64(ends)/float64(max(1, cfg.bad**fleetSeeds)), late, refused, lost, innocent)
	}
}

// TestNewsOfHundreds holds how soon all members of a large fleet hold a request: the time
// from its second end, with a tenth of the exchanges lost.
func TestNewsOfHundreds(t *testing.T) {
	for _, members := range []int{7, 59, 295} {
		f := newFleet(fleetConfig{members: members, targets: 60, perSecond: 1, lossOfNews: 0.1, lasts: time.Minute}, 1)
		f.bad[1] = &badRequest{}
		first, second := f.members[0], f.members[members-1]
		second.Crashed(f.now, 1, Crash{Target: "b", SentAt: f.now.Add(-time.Millisecond), BrokenAt: f.now, Silent: true})
		first.Crashed(f.now, 1, Crash{Target: "a", SentAt: f.now.Add(-time.Second), BrokenAt: f.now.Add(-time.Millisecond), Silent: true})
		for !f.holdEverywhere() && f.now.Sub(start) < 10*time.Second {
			e := heap.Pop(&f.events).(simEvent)
			f.now = e.at
			e.do()
		}
		t.Logf("%d members: all hold it after %v", members, f.now.Sub(start).Round(time.Millisecond))
		convey.Convey(fmt.Sprint(members, " members hold a request within the bound"), t, func() {
			convey.So(f.now.Sub(start), convey.ShouldBeLessThan, lateAfter)
		})
	}
}
