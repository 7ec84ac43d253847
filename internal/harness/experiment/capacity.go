package experiment

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// repeats is how often each point is measured; the median counts.
	repeats = 5
	// plenty is a limit of an organisation, in calls and requests a second, that
	// no measurement reaches: their clocks hardly move.
	plenty = 100_000
)

// Slope is one cost measured at several sizes, and the line through it.
type Slope struct {
	Name string `json:"name"`
	// Size is what X counts, Unit what Y is in.
	Size string    `json:"size"`
	Unit string    `json:"unit"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	// Spread is the largest range of a point's repeats over its median.
	Spread float64 `json:"spread"`
	// Fixed and PerOne are the line: Y is about Fixed + PerOne * X. R2 is how
	// much of the variation it explains.
	Fixed  float64 `json:"fixed"`
	PerOne float64 `json:"perOne"`
	R2     float64 `json:"r2"`
}

// CapacityReport holds the slopes that docs/CAPACITY.md works with.
type CapacityReport struct {
	Slopes []Slope `json:"slopes"`
}

// Print writes the slopes for people.
func (r *CapacityReport) Print(w io.Writer) error {
	for _, s := range r.Slopes {
		if _, err := fmt.Fprintf(w, "%-34s %s = %.4g + %.4g x %s  (R2 %.3f, spread %.0f%%)\n  x %v\n  y %.4g\n",
			s.Name, s.Unit, s.Fixed, s.PerOne, s.Size, s.R2, 100*s.Spread, s.X, s.Y); err != nil {
			return err
		}
	}
	return nil
}

// MeasureCapacity measures the cost of each duty at several sizes.
func MeasureCapacity(ctx context.Context) (*CapacityReport, error) {
	rep := &CapacityReport{}
	measures := []struct {
		name, size, unit string
		sizes            []int
		at               func(n int) func() float64
	}{
		{"decision of admission", "targets in a pool", "us", []int{10, 100, 300, 1000, 3000}, decisionCost},
		{"report of a target", "targets in a pool", "us", []int{10, 100, 300, 1000, 3000}, reportCost},
		{"request let in", "organisations", "us", []int{10, 100, 400, 1200}, openCost},
		{"checking a bundle", "targets", "ms", []int{100, 1000, 3000, 9000}, verifyCost},
		{"memory of a plan in force", "targets", "KB", []int{1000, 3000, 10000}, planMemory},
		{"taking in an exchange", "peers known", "us", []int{10, 100, 300, 880}, exchangeCost},
		{"size of an exchange", "peers known", "bytes", []int{10, 100, 300, 880}, exchangeBytes},
		{"one change sent whole", "targets", "bytes", []int{100, 1000, 3000, 9000}, wholeBytes},
		{"one change sent as a step", "targets", "bytes", []int{100, 1000, 3000, 9000}, stepBytes},
		{"minting and spending a ticket", "tickets in the book", "us", []int{100, 1000, 10000, 50000}, ticketCost},
		{"memory of the ticket book", "spent tickets", "KB", []int{1000, 10000, 50000}, bookMemory},
	}
	for _, m := range measures {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s := Slope{Name: m.name, Size: m.size, Unit: m.unit}
		for _, n := range m.sizes {
			s.add(n, m.at(n))
		}
		s.fit()
		rep.Slopes = append(rep.Slopes, s)
	}
	return rep, nil
}

// add measures one point.
func (s *Slope) add(n int, measure func() float64) {
	var ys []float64
	for range repeats {
		ys = append(ys, measure())
	}
	slices.Sort(ys)
	median := ys[repeats/2]
	s.X = append(s.X, float64(n))
	s.Y = append(s.Y, median)
	if median > 0 {
		s.Spread = max(s.Spread, (ys[repeats-1]-ys[0])/median)
	}
}

func (s *Slope) fit() {
	s.Fixed, s.PerOne = stat.LinearRegression(s.X, s.Y, nil, false)
	s.R2 = stat.RSquared(s.X, s.Y, nil, s.Fixed, s.PerOne)
	if math.IsNaN(s.R2) {
		s.R2 = 1 // all points are the same, and so is the line
	}
}

// microseconds times f over several rounds.
func microseconds(rounds int, f func(i int)) float64 {
	start := time.Now()
	for i := range rounds {
		f(i)
	}
	return float64(time.Since(start).Nanoseconds()) / 1000 / float64(rounds)
}

// heapKB returns the memory that build's result keeps.
func heapKB(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024
}

// sizedBundle returns the text of a bundle with as many targets and organisations.
func sizedBundle(targets, organisations int) []byte {
	b := bundle.Bundle{Name: "sized", Number: 1, Objective: bundle.Objective{AttainmentWeight: 1}}
	for i := range organisations {
		b.Organisations = append(b.Organisations, bundle.Organisation{
			Name: fmt.Sprint("o", i), Weight: 1, KeyDigests: []string{bundle.Digest(fmt.Appendf(nil, "key %d", i))},
			Limits: bundle.Limits{Concurrency: plenty, RequestsPerSecond: plenty, TokensPerSecond: plenty},
		})
	}
	pool := bundle.Pool{Name: "pool", Kind: bundle.KindService}
	for i := range targets {
		pool.Targets = append(pool.Targets, bundle.Target{
			Name: fmt.Sprint("t", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			DataCentre: fmt.Sprint("d", i%12), Slots: 8,
		})
	}
	b.Pools = []bundle.Pool{pool}
	b.Pipelines = []bundle.Pipeline{{Name: "p", DeadlineMs: 60_000, Stages: []bundle.Stage{{
		Name: "s", Pool: "pool", Repeatable: true, Cost: bundle.Cost{PerCall: 1},
	}}}}
	text, err := json.Marshal(b)
	if err != nil {
		panic(err) // a bundle always encodes
	}
	// One target or organisation a line, as operators write them.
	return bytes.ReplaceAll(text, []byte("},{"), []byte("},\n{"))
}

func sizedPlan(targets, organisations int) *bundle.Plan {
	plan, err := bundle.Parse("sized", sizedBundle(targets, organisations))
	if err != nil {
		panic(err) // sizedBundle makes good bundles
	}
	return plan
}

func sizedCore(targets, organisations int) (*admission.Core, *bundle.Plan, time.Time) {
	now := time.Now()
	c := admission.New(admission.Config{DataCentre: "d0", Seed: 1})
	plan := sizedPlan(targets, organisations)
	c.Step(now, admission.Install{Plan: plan})
	return c, plan, now
}

func decisionCost(targets int) func() float64 {
	c, plan, now := sizedCore(targets, 1)
	p := plan.Pipeline("p")
	return func() float64 {
		return microseconds(2000, func(i int) {
			id := uint64(i + 1)
			c.Step(now, admission.Submit{ID: id, Organisation: "o0", Pipeline: p, Deadline: now.Add(time.Minute)})
			c.Step(now, admission.Ended{ID: id, Took: time.Millisecond})
		})
	}
}

func reportCost(targets int) func() float64 {
	c, _, now := sizedCore(targets, 1)
	return func() float64 {
		return microseconds(2000, func(i int) {
			c.NextReport(now.Add(time.Duration(i) * time.Millisecond))
			c.Step(now, admission.Report{Target: fmt.Sprint("t", i%targets), Incarnation: "i", Running: 1})
		})
	}
}

func openCost(organisations int) func() float64 {
	c, plan, now := sizedCore(10, organisations)
	p := plan.Pipeline("p")
	return func() float64 {
		return microseconds(5000, func(i int) {
			id := uint64(i + 1)
			c.Step(now.Add(time.Duration(i)*time.Millisecond), admission.Open{
				ID: id, Organisation: fmt.Sprint("o", i%organisations), Pipeline: p, Deadline: now.Add(time.Hour),
			})
			c.Step(now, admission.Close{ID: id})
		})
	}
}

func verifyCost(targets int) func() float64 {
	text := sizedBundle(targets, 100)
	return func() float64 {
		return microseconds(1, func(int) { _, _ = bundle.Parse("sized", text) }) / 1000
	}
}

func planMemory(targets int) func() float64 {
	text := sizedBundle(targets, 1200)
	return func() float64 {
		return heapKB(func() any {
			plan, _ := bundle.Parse("sized", text)
			c := admission.New(admission.Config{DataCentre: "d0"})
			c.Step(time.Now(), admission.Install{Plan: plan})
			return c
		})
	}
}

// viewOf returns a view of n peers and one of their words.
func viewOf(n int) (membership.View, message.Exchange, time.Time) {
	now := time.Now()
	v := membership.New("10.0.0.1:8081", "d0")
	var word message.Exchange
	for i := range n {
		word = message.Exchange{
			Node: fmt.Sprintf("10.1.%d.%d:8081", i>>8, i&255), Incarnation: ticket.NewSerial(), DataCentre: fmt.Sprint("d", i%12),
			Bundle: 123456, Digest: bundle.Digest(nil),
		}
		v, _ = v.WithWord(now, word)
	}
	return v, word, now
}

func exchangeCost(peers int) func() float64 {
	v, word, now := viewOf(peers)
	return func() float64 {
		return microseconds(200, func(int) { v, _ = v.WithWord(now, word) })
	}
}

func exchangeBytes(peers int) func() float64 {
	v, word, now := viewOf(peers)
	rng := rand.New(rand.NewPCG(1, 1))
	return func() float64 {
		word.Peers = v.Told(now, rng)
		word.Readers = []message.Reader{{Node: "10.1.0.1:8081", AgeMs: 1200}, {Node: "10.1.0.2:8081", AgeMs: 800}}
		raw, _ := json.Marshal(word)
		return float64(len(raw))
	}
}

// change returns a bundle and the same with one weight changed, both signed by
// two approvers.
func change(targets int) (before, after bundle.Signed) {
	text := string(sizedBundle(targets, 1200))
	signed := func(text string) bundle.Signed {
		s := bundle.Signed{Text: text}
		for _, name := range []string{"mere", "tane"} {
			s = s.WithSignature(bundle.Sign(name, ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), []byte(text)))
		}
		return s
	}
	next := strings.Replace(text, `"number":1,`, `"number":2,`, 1)
	last := strings.LastIndex(next, `"weight":1`)
	return signed(text), signed(next[:last] + `"weight":2` + next[last+len(`"weight":1`):])
}

func stepBytes(targets int) func() float64 {
	before, after := change(targets)
	return func() float64 {
		return jsonSize(bundle.History{}.With(before).With(after).Transfer(bundle.Digest([]byte(before.Text))))
	}
}

func wholeBytes(targets int) func() float64 {
	_, after := change(targets)
	return func() float64 { return jsonSize(bundle.History{}.With(after).Transfer("")) }
}

func jsonSize(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // messages always encode
	}
	return float64(len(raw))
}

func ticketCost(spent int) func() float64 {
	sealer, err := ticket.NewSealer(make([]byte, 32))
	if err != nil {
		panic(err) // the key has its length
	}
	book, serial := filledBook(spent)
	return func() float64 {
		return microseconds(500, func(int) {
			serial++
			t := ticket.Ticket{Home: "h", Incarnation: "i", Serial: fmt.Sprint(serial), ExpiresMs: 1_000_000}
			token, _ := sealer.Seal(t)
			opened, _ := sealer.Open(token)
			book.Spend(0, opened, "")
			book.Settle(opened, ticket.Outcome{})
		})
	}
}

func filledBook(spent int) (*ticket.Book, int) {
	book := ticket.NewBook("h", "i", 1_000_000)
	for i := range spent {
		t := ticket.Ticket{Home: "h", Incarnation: "i", Serial: ticket.NewSerial(), ExpiresMs: 1_000_000}
		book.Spend(0, t, "sha256:0000000000000000000000000000000000000000000000000000000000000000")
		book.Settle(t, ticket.Outcome{Answer: fmt.Appendf(nil, "%0200d", i)})
	}
	return book, spent
}

func bookMemory(spent int) func() float64 {
	return func() float64 {
		return heapKB(func() any {
			book, _ := filledBook(spent)
			return book
		})
	}
}
