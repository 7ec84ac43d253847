package batching_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// seen counts what the sequences reached.
var seen struct{ sequences, events, sends, resolves, errors, discards, retries, expired, refused int64 }

// pair drives the old and the new core with the same events.
type pair struct {
	t       *rapid.T
	old     *oldCore
	core    *batching.Core
	now     time.Time
	token   int
	handles int
	running []batching.Send
	kept    []batching.Result
}

func (p *pair) handle(ev batching.Event) {
	want := p.old.Handle(p.now, ev)
	got := p.core.Handle(p.now, ev)
	seen.events++
	if !reflect.DeepEqual(want, got) {
		p.t.Fatalf("%#v\nold %#v\nnew %#v", ev, want, got)
	}
	for _, e := range got {
		switch e := e.(type) {
		case batching.Send:
			seen.sends++
			p.running = append(p.running, e)
		case batching.Resolve:
			seen.resolves++
			if e.Err != nil {
				seen.errors++
				continue
			}
			p.kept = append(p.kept, e.Result)
		case batching.Discard:
			seen.discards++
		}
	}
	p.compareState()
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(math.Abs(a), math.Abs(b)) }

func (p *pair) compareState() {
	w, g := p.old.State(p.now), p.core.State(p.now)
	want := batching.State{
		Stats: batching.Stats(w.oldStats), Waiting: w.Waiting, PastDue: w.PastDue, Targets: w.Targets, Busy: w.Busy, BackingOff: w.BackingOff,
		UsedBytes: w.UsedBytes, MemoryBytes: w.MemoryBytes, Planned: w.Planned,
	}
	if !near(w.ItemsPerSecond, g.ItemsPerSecond) || (w.Wait-g.Wait).Abs() > time.Microsecond || (w.Backlog-g.Backlog).Abs() > time.Microsecond {
		p.t.Fatalf("old %+v, new %+v", w, g)
	}
	g.ItemsPerSecond, g.Wait, g.Backlog = 0, 0, 0
	if want != g || p.old.Idle() != p.core.Idle() {
		p.t.Fatalf("old %+v, new %+v", want, g)
	}
	for i := range 7 {
		if id := fmt.Sprintf("t%d", i); p.old.Usable(id) != p.core.Usable(id) {
			p.t.Fatalf("usable %s", id)
		}
	}
}

func (p *pair) int(lo, hi int, label string) int { return rapid.IntRange(lo, hi).Draw(p.t, label) }

func (p *pair) ms(lo, hi int, label string) time.Duration {
	return time.Duration(p.int(lo, hi, label)) * time.Millisecond
}

// pass lets time go on before an event, often not at all.
func (p *pair) pass() {
	switch p.int(0, 9, "passes") {
	case 0, 1, 2:
	case 9:
		p.now = p.now.Add(p.ms(200, 1500, "long"))
	default:
		p.now = p.now.Add(p.ms(1, 200, "short"))
	}
}

func (p *pair) configure() {
	ev := batching.Configure{}
	if p.int(0, 15, "service") > 0 {
		ev.Service = &catalog.Service{Name: "s"}
		if p.int(0, 15, "batches") > 0 {
			ev.Service.Batch = &catalog.Batch{
				MaxItems: p.int(1, 8, "max"), CallLatency: p.ms(20, 400, "latency"), PerItem: p.ms(1, 50, "each"),
				MemoryBytes: int64(p.int(200, 4000, "memory")), ResultTTL: p.ms(200, 5000, "ttl"),
			}
		}
	}
	for i := range 6 {
		state := rapid.SampledFrom([]directory.State{directory.Ready, directory.Ready, directory.Ready, directory.Ready, directory.Draining, directory.Lapsed}).Draw(p.t, "state")
		if p.int(0, 5, "listed") > 0 {
			ev.Targets = append(ev.Targets, directory.Target{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("d%d", i%3), State: state})
		}
	}
	p.handle(ev)
}

func (p *pair) submit() {
	var list []batching.Item
	for i := range p.int(1, 10, "items") {
		p.token++
		list = append(list, batching.Item{
			Token: batching.Token(p.token), Request: fmt.Sprintf("r%d", p.int(0, 5, "request")), Stage: p.int(0, 2, "stage"), Index: i,
			Bytes: int64(p.int(0, 500, "bytes")), Due: p.now.Add(p.ms(-200, 3000, "due")), Deadline: p.now.Add(p.ms(0, 20000, "deadline")),
			Priority: p.int(-1, 3, "priority"), DataCentre: rapid.SampledFrom([]string{"", "", "d0", "d1", "d2", "d9"}).Draw(p.t, "near"),
		})
	}
	p.handle(batching.Submit{Items: list})
}

func (p *pair) finish() {
	if len(p.running) == 0 || p.int(0, 20, "unknown") == 0 {
		p.handle(batching.Finished{Batch: batching.BatchID(p.int(0, 1000, "batch"))})
		return
	}
	i := p.int(0, len(p.running)-1, "which")
	s := p.running[i]
	p.running = append(p.running[:i:i], p.running[i+1:]...)
	f := batching.Finished{Batch: s.Batch}
	if p.int(0, 6, "fails") == 0 {
		if p.int(0, 2, "error") > 0 {
			f.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
		}
		p.handle(f)
		return
	}
	for range s.Items {
		out := batching.Outcome{Status: batching.Status(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3, 4}).Draw(p.t, "status"))}
		if out.Status == batching.Done || p.int(0, 9, "odd") == 0 {
			p.handles++
			out.Handle = fmt.Sprintf("h%d", p.handles)
		}
		f.Outcomes = append(f.Outcomes, out)
	}
	p.handle(f)
}

func (p *pair) release() {
	ev := batching.Release{Target: fmt.Sprintf("t%d", p.int(0, 6, "target"))}
	for range p.int(0, 6, "results") {
		if len(p.kept) == 0 {
			break
		}
		i := p.int(0, len(p.kept)-1, "which")
		ev.Target = p.kept[i].Target
		ev.Handles = append(ev.Handles, p.kept[i].Handle)
		p.kept = append(p.kept[:i:i], p.kept[i+1:]...)
	}
	p.handle(ev)
}

func (p *pair) event() {
	p.pass()
	switch p.int(0, 19, "event") {
	case 0:
		p.configure()
	case 1:
		p.handle(batching.Plan{Request: fmt.Sprintf("r%d", p.int(0, 5, "request")), Stage: p.int(0, 2, "stage"), Items: p.int(0, 20, "items"), Due: p.now.Add(p.ms(-100, 2000, "due"))})
	case 2:
		p.handle(batching.CancelPlan{Request: fmt.Sprintf("r%d", p.int(0, 5, "request")), Stage: p.int(0, 2, "stage")})
	case 3:
		p.handle(batching.Withdraw{Tokens: []batching.Token{batching.Token(p.int(0, p.token+1, "token")), batching.Token(p.int(0, p.token+1, "token"))}})
	case 4, 5:
		p.handle(batching.Tick{})
	case 6, 7, 8, 9:
		p.release()
	case 10, 11, 12:
		p.submit()
	default:
		p.finish()
	}
}

func TestNewCoreDecidesAsTheOldOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := retrybudget.Policy{Ratio: 0.2, Window: 10 * time.Second, Extra: float64(rapid.IntRange(0, 60).Draw(t, "extra")), MaxNodes: 1}
		p := &pair{t: t, old: oldNew(policy), core: batching.New(policy), now: start}
		if p.int(0, 9, "unconfigured") > 0 {
			p.configure()
		}
		for range p.int(1, 150, "events") {
			p.event()
		}
		s := p.core.State(p.now)
		seen.sequences++
		seen.retries, seen.expired, seen.refused = seen.retries+s.Retries, seen.expired+s.Expired, seen.refused+s.Refused
	})
	t.Logf("%+v", seen)
}
