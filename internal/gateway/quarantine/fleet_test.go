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
	fleetSeeds       = flag.Int("fleet.seeds", 3, "number of seeds that TestFleetOverSeeds simulates for each fleet")
	separateSuspects = flag.Bool("fleet.apart", true, "send suspected requests to different targets")
)

// fleet simulates members with their own tables, targets and callers. Time is simulated;
// messages are delayed and may be lost.
type fleet struct {
	fleetConfig
	rng    *rand.Rand
	now    time.Time
	events eventQueue
	seq    int

	members []*fleetMember
	targets []*fleetTarget
	poison  map[Digest]*poisonRequest
	next    Digest

	// innocent counts the attempts of innocent requests, refused those that were held, and
	// lost those whose target crashed.
	innocent, refused, lost int
}

// fleetConfig configures a simulation.
type fleetConfig struct {
	members, targets int
	// requestsPerSecond is the rate of innocent requests, and popularShare the share of
	// them that are one of popularCount.
	requestsPerSecond float64
	popularShare      float64
	// poisonCount is the number of poison requests, and copies how many attempts of each
	// are sent at once.
	poisonCount, copies int
	// crashInterval is the mean time between crashes of single targets for other reasons,
	// and rackCrashInterval that between crashes of a quarter of all targets; 0 for none.
	crashInterval, rackCrashInterval time.Duration
	// exchangeLoss is the share of exchanges that are lost.
	exchangeLoss float64
	// restartInterval is the mean time between restarts of single members; 0 for none.
	restartInterval time.Duration
	// duration is the simulated time.
	duration time.Duration
}

// popularCount is the number of different popular requests.
const popularCount = 20

type fleetMember struct {
	*Table
	address string
	// roundScheduled is set if an extra round of gossip is scheduled.
	roundScheduled bool
	// lastSync is when the member last requested all entries that another one holds.
	lastSync time.Time
	// restartedAt is when the member last restarted; zero if it never did.
	restartedAt time.Time
}

type fleetTarget struct {
	id          string
	incarnation int
	up          bool
	attempts    map[*fleetAttempt]bool
}

// fleetAttempt is an attempt of a request.
type fleetAttempt struct {
	member  *fleetMember
	digest  Digest
	began   time.Time
	poison  bool
	retries int
	suspect bool
}

// poisonRequest is the state of a poison request.
type poisonRequest struct {
	// crashes counts the targets that the request crashed, and thirdCrash is the time of
	// the third crash.
	crashes    int
	thirdCrash time.Time
	// lateArrivals counts the attempts that reached a target more than lateAfter after the
	// third crash, sent by members that had been running for longer than that.
	lateArrivals int
}

const (
	// lateAfter is the time after the third crash of a poison request by which the members
	// must hold it.
	lateAfter = 3 * time.Second
	// maxLateArrivals is the maximum number of attempts that may reach targets after that
	// time.
	maxLateArrivals = 3
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
	f := &fleet{fleetConfig: cfg, rng: rand.New(rand.NewPCG(seed, 2)), now: start, poison: map[Digest]*poisonRequest{}, next: 1000}
	for i := range cfg.members {
		m := &fleetMember{Table: NewTable(), address: fmt.Sprint("m", i)}
		f.members = append(f.members, m)
		f.after(f.upTo(500*time.Millisecond), func() { f.gossipLoop(m) })
	}
	for i := range cfg.targets {
		f.targets = append(f.targets, &fleetTarget{id: fmt.Sprint("t", i), up: true, attempts: map[*fleetAttempt]bool{}})
	}
	f.every(func() time.Duration {
		return time.Duration(f.rng.ExpFloat64() / cfg.requestsPerSecond * float64(time.Second))
	}, f.sendInnocent)
	for i := range cfg.poisonCount {
		d := Digest(1 + i)
		f.poison[d] = &poisonRequest{}
		f.after(f.upTo(time.Second), func() { f.sendPoison(d) })
	}
	f.atIntervals(cfg.crashInterval, func() { f.crash(f.targets[f.rng.IntN(len(f.targets))]) })
	f.atIntervals(cfg.rackCrashInterval, f.crashRack)
	f.atIntervals(cfg.restartInterval, func() {
		m := f.members[f.rng.IntN(len(f.members))]
		m.Table, m.restartedAt = NewTable(WithRule(m.rule)), f.now
	})
	return f
}

// upTo returns a random duration below d.
func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

func (f *fleet) between(a, b time.Duration) time.Duration { return a + f.upTo(b-a) }

// after schedules an event.
func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, simEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// every calls do repeatedly, each time after the duration that pause returns.
func (f *fleet) every(pause func() time.Duration, do func()) {
	f.after(pause(), func() {
		do()
		f.every(pause, do)
	})
}

// atIntervals calls do at random intervals with the given mean, or never if that is 0.
func (f *fleet) atIntervals(mean time.Duration, do func()) {
	if mean > 0 {
		f.every(func() time.Duration { return f.between(mean/2, mean*3/2) }, do)
	}
}

// run processes events until the simulated time is over.
func (f *fleet) run() {
	for end := start.Add(f.duration); len(f.events) > 0; {
		e := heap.Pop(&f.events).(simEvent)
		if e.at.After(end) {
			return
		}
		f.now = e.at
		e.do()
	}
}

// gossipLoop runs a member's regular rounds of gossip, two per second.
func (f *fleet) gossipLoop(m *fleetMember) {
	f.round(m)
	f.after(500*time.Millisecond, func() { f.gossipLoop(m) })
}

// round exchanges with up to two random members.
func (f *fleet) round(m *fleetMember) {
	m.Prune(f.now)
	for range 2 {
		if other := f.members[f.rng.IntN(len(f.members))]; other != m && f.rng.Float64() >= f.exchangeLoss {
			f.exchange(m, other)
		}
	}
}

// exchange sends a member's recent entries to another one and merges the response, with a
// delay in each direction.
func (f *fleet) exchange(m, other *fleetMember) {
	recent := m.Recent(f.now)
	f.after(f.between(time.Millisecond, 10*time.Millisecond), func() {
		f.merge(other, recent)
		answer, sum := other.Recent(f.now), other.HeldSum()
		f.after(f.between(time.Millisecond, 10*time.Millisecond), func() {
			f.merge(m, answer)
			if sum != 0 && sum != m.HeldSum() && f.now.Sub(m.lastSync) >= syncInterval {
				m.lastSync = f.now
				f.merge(m, other.AllHeld())
			}
		})
	})
}

// merge merges entries at a member, which triggers a round if a held request changed.
func (f *fleet) merge(m *fleetMember, entries []Entry) {
	if m.Merge(f.now, entries) && slices.ContainsFunc(entries, func(e Entry) bool { return m.Urgent(e.Digest) }) {
		f.scheduleRound(m)
	}
}

func (m *fleetMember) holds(d Digest) bool {
	_, held := m.Held(d)
	return held
}

// scheduleRound schedules an extra round of gossip.
func (f *fleet) scheduleRound(m *fleetMember) {
	if m.roundScheduled {
		return
	}
	m.roundScheduled = true
	f.after(50*time.Millisecond, func() {
		m.roundScheduled = false
		f.round(m)
	})
}

// sendInnocent sends a harmless request.
func (f *fleet) sendInnocent() {
	d := f.next
	f.next++
	if f.rng.Float64() < f.popularShare {
		d = Digest(100 + f.rng.IntN(popularCount))
	}
	f.attempt(&fleetAttempt{digest: d, retries: 1})
}

// sendPoison sends several attempts of a poison request at once, and repeats that after the
// delay of a retrying caller.
func (f *fleet) sendPoison(d Digest) {
	for range f.copies {
		f.after(f.upTo(50*time.Millisecond), func() { f.attempt(&fleetAttempt{digest: d, poison: true}) })
	}
	f.after(f.between(400*time.Millisecond, 1500*time.Millisecond), func() { f.sendPoison(d) })
}

// attempt sends a request to a target through a random member, unless the member holds it.
func (f *fleet) attempt(a *fleetAttempt) {
	a.member = f.members[f.rng.IntN(len(f.members))]
	if !a.poison {
		f.innocent++
	}
	if _, held := a.member.Held(a.digest); held && !f.startsTrial(a) {
		if !a.poison {
			f.refused++
		}
		return
	}
	a.suspect = a.member.Suspected(a.digest)
	t := f.choose(a)
	if t == nil {
		return
	}
	f.countLateArrival(a)
	a.began = f.now
	t.attempts[a] = true
	incarnation := t.incarnation
	took := f.between(100*time.Millisecond, 2500*time.Millisecond)
	if a.poison {
		took = f.between(50*time.Millisecond, 600*time.Millisecond)
	}
	f.after(took, func() {
		switch {
		case t.incarnation != incarnation || !t.up:
		case a.poison:
			f.crash(t)
		default:
			delete(t.attempts, a)
			a.member.RecordAnswer(f.now, a.digest)
		}
	})
}

// startsTrial reports whether a held request is sent as a trial, which only one member
// admits.
func (f *fleet) startsTrial(a *fleetAttempt) bool {
	return a.member.StartTrial(f.now, a.digest, func() bool { return a.member == f.members[int(a.digest)%len(f.members)] })
}

// choose returns a random target. A suspected request gets one without another suspected
// request, if there is one.
func (f *fleet) choose(a *fleetAttempt) *fleetTarget {
	var free, separate []*fleetTarget
	for _, t := range f.targets {
		if !t.up {
			continue
		}
		free = append(free, t)
		if !t.hasSuspect() {
			separate = append(separate, t)
		}
	}
	if a.suspect && *separateSuspects && len(separate) > 0 {
		free = separate
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

// countLateArrival counts late arrivals of poison requests.
func (f *fleet) countLateArrival(a *fleetAttempt) {
	if !a.poison {
		return
	}
	b := f.poison[a.digest]
	if !b.thirdCrash.IsZero() && f.now.Sub(b.thirdCrash) > lateAfter && f.now.Sub(a.member.restartedAt) > lateAfter {
		b.lateArrivals++
	}
}

// crash crashes a target with all its attempts. It restarts after some seconds.
func (f *fleet) crash(t *fleetTarget) {
	if !t.up {
		return
	}
	t.up = false
	process := fmt.Sprint(t.id, "/", t.incarnation)
	seen := map[Digest]bool{}
	// The iteration order of the map varies, so attempts are processed in the order of
	// members.
	for _, m := range f.members {
		for a := range t.attempts {
			if a.member == m {
				f.recordCrash(process, a, seen)
			}
		}
	}
	t.attempts = map[*fleetAttempt]bool{}
	f.after(f.between(4*time.Second, 8*time.Second), func() { t.incarnation, t.up = t.incarnation+1, true })
}

// recordCrash records the crash of an attempt's target at the member, and schedules the
// caller's retry.
func (f *fleet) recordCrash(target string, a *fleetAttempt, seen map[Digest]bool) {
	c := Crash{Target: target, SentAt: a.began, BrokenAt: f.now, Silent: f.now.Sub(a.began) < 600*time.Millisecond}
	f.after(2*time.Millisecond, func() {
		if a.member.RecordCrash(f.now, a.digest, c) && a.member.holds(a.digest) {
			f.scheduleRound(a.member)
		}
	})
	if b := f.poison[a.digest]; b != nil && !seen[a.digest] {
		seen[a.digest] = true
		if b.crashes++; b.crashes == 3 {
			b.thirdCrash = f.now
		}
	}
	if a.poison {
		return
	}
	f.lost++
	if a.retries > 0 {
		again := &fleetAttempt{digest: a.digest, retries: a.retries - 1}
		f.after(f.between(50*time.Millisecond, 500*time.Millisecond), func() { f.attempt(again) })
	}
}

// crashRack crashes a quarter of the targets within some milliseconds.
func (f *fleet) crashRack() {
	first := f.rng.IntN(len(f.targets))
	for i := range len(f.targets) / 4 {
		t := f.targets[(first+i)%len(f.targets)]
		f.after(f.upTo(5*time.Millisecond), func() { f.crash(t) })
	}
}

// isHeldEverywhere reports whether all members hold all poison requests.
func (f *fleet) isHeldEverywhere() bool {
	for d := range f.poison {
		for _, m := range f.members {
			if _, held := m.Held(d); !held {
				return false
			}
		}
	}
	return true
}

// drawFleet draws the configuration of a fleet.
func drawFleet(t *rapid.T) fleetConfig {
	members := rapid.IntRange(1, 12).Draw(t, "members")
	restartInterval := time.Duration(0)
	if members >= 3 {
		// In smaller fleets, restarts might erase an entry from all members.
		restartInterval = time.Duration(rapid.SampledFrom([]int{0, 5}).Draw(t, "restartInterval")) * time.Second
	}
	return fleetConfig{
		members: members, targets: rapid.IntRange(4, 20).Draw(t, "targets"),
		requestsPerSecond: rapid.Float64Range(5, 60).Draw(t, "requestsPerSecond"), popularShare: rapid.Float64Range(0, 0.5).Draw(t, "popularShare"),
		poisonCount: rapid.IntRange(0, 2).Draw(t, "poisonCount"), copies: rapid.IntRange(1, 8).Draw(t, "copies"),
		crashInterval:     time.Duration(rapid.SampledFrom([]int{0, 2, 5}).Draw(t, "crashInterval")) * time.Second,
		rackCrashInterval: time.Duration(rapid.SampledFrom([]int{0, 10}).Draw(t, "rackCrashInterval")) * time.Second,
		restartInterval:   restartInterval,
		exchangeLoss:      rapid.Float64Range(0, 0.3).Draw(t, "exchangeLoss"), duration: 20 * time.Second,
	}
}

// TestFleet checks for random fleets that a request which crashed three targets reaches at
// most maxLateArrivals more after lateAfter, and that no innocent request is refused unless
// a target crashed with one.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(drawFleet(t), rapid.Uint64().Draw(t, "seed"))
		f.run()
		for d, b := range f.poison {
			if b.lateArrivals > maxLateArrivals {
				t.Errorf("request %v reached %d targets more than %v after its third crash; it crashed %d in total", d, b.lateArrivals, lateAfter, b.crashes)
			}
		}
		if f.lost == 0 && f.refused > 0 {
			t.Errorf("%d innocent requests were refused, although no target crashed with one", f.refused)
		}
	})
}

// TestFleetOverSeeds logs the costs of poison requests for several kinds of fleets: the
// targets that they crash, and the innocent requests that are refused or lost. It fails if
// too many attempts arrive late.
//
//	go test ./internal/gateway/quarantine -run TestFleetOverSeeds -v -fleet.seeds 200
func TestFleetOverSeeds(t *testing.T) {
	usual := fleetConfig{members: 6, targets: 18, requestsPerSecond: 35, popularShare: 0.2, duration: 20 * time.Second}
	for _, c := range []struct {
		what   string
		change func(*fleetConfig)
	}{
		{"one poison request", func(c *fleetConfig) { c.poisonCount, c.copies = 1, 1 }},
		{"one, four attempts at once", func(c *fleetConfig) { c.poisonCount, c.copies = 1, 4 }},
		{"three poison requests", func(c *fleetConfig) { c.poisonCount, c.copies = 3, 1 }},
		{"none; a target crashes every 2 s", func(c *fleetConfig) { c.crashInterval = 2 * time.Second }},
		{"none; every half second", func(c *fleetConfig) { c.crashInterval = 500 * time.Millisecond }},
		{"none; a quarter crashes every 6 s", func(c *fleetConfig) { c.rackCrashInterval = 6 * time.Second }},
		{"one; a target crashes every 2 s", func(c *fleetConfig) { c.poisonCount, c.copies, c.crashInterval = 1, 1, 2*time.Second }},
		{"one; half of all requests popular", func(c *fleetConfig) { c.poisonCount, c.copies, c.popularShare = 1, 1, 0.5 }},
		{"one; four targets", func(c *fleetConfig) { c.poisonCount, c.copies, c.targets = 1, 1, 4 }},
	} {
		cfg := usual
		c.change(&cfg)
		crashes, late, refused, lost, innocent := 0, 0, 0, 0, 0
		for seed := range *fleetSeeds {
			f := newFleet(cfg, uint64(seed))
			f.run()
			for _, b := range f.poison {
				crashes += b.crashes
				late = max(late, b.lateArrivals)
			}
			refused, lost, innocent = refused+f.refused, lost+f.lost, innocent+f.innocent
			if late > maxLateArrivals {
				t.Errorf("%s, seed %d: %d late arrivals", c.what, seed, late)
			}
		}
		t.Logf("%-36s crashes per poison request %.2f, maximum late arrivals %d, innocent attempts refused %d and lost %d of %d",
			c.what, float64(crashes)/float64(max(1, cfg.poisonCount**fleetSeeds)), late, refused, lost, innocent)
	}
}

// TestPropagationInLargeFleets checks how soon all members of a large fleet hold a request
// after its second crash, if a tenth of the exchanges is lost.
func TestPropagationInLargeFleets(t *testing.T) {
	for _, members := range []int{7, 59, 295} {
		f := newFleet(fleetConfig{members: members, targets: 60, requestsPerSecond: 1, exchangeLoss: 0.1, duration: time.Minute}, 1)
		f.poison[1] = &poisonRequest{}
		first, second := f.members[0], f.members[members-1]
		second.RecordCrash(f.now, 1, Crash{Target: "b", SentAt: f.now.Add(-time.Millisecond), BrokenAt: f.now, Silent: true})
		first.RecordCrash(f.now, 1, Crash{Target: "a", SentAt: f.now.Add(-time.Second), BrokenAt: f.now.Add(-time.Millisecond), Silent: true})
		for !f.isHeldEverywhere() && f.now.Sub(start) < 10*time.Second {
			e := heap.Pop(&f.events).(simEvent)
			f.now = e.at
			e.do()
		}
		t.Logf("%d members: all hold the request after %v", members, f.now.Sub(start).Round(time.Millisecond))
		convey.Convey(fmt.Sprint(members, " members hold a request within lateAfter"), t, func() {
			convey.So(f.now.Sub(start), convey.ShouldBeLessThan, lateAfter)
		})
	}
}
