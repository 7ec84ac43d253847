package experiment

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// plenty is a limit of an organisation, in calls and requests a second, that
	// no measurement reaches: their clocks hardly move.
	plenty = 100_000
	// ticketKeyBytes is the length of the key that seals tickets.
	ticketKeyBytes = 32
	// ticketExpiresMs lies after every time of the measurements, in milliseconds.
	ticketExpiresMs = 1_000_000
)

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
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / bytesPerKB
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

// parse returns the plan of a bundle of sizedBundle.
func parse(text []byte) *bundle.Plan {
	plan, err := bundle.Parse("sized", text)
	if err != nil {
		panic(err) // sizedBundle makes good bundles
	}
	return plan
}

// sizedCore returns an admission core with a sized plan in force, and its time.
func sizedCore(targets, organisations int) (*admission.Core, *bundle.Plan, time.Time) {
	now := time.Now()
	c := admission.New(admission.Config{DataCentre: "d0", Seed: 1})
	plan := parse(sizedBundle(targets, organisations))
	c.Step(now, admission.Install{Plan: plan})
	return c, plan, now
}

// decisionCost measures a submission, the choice of a target and the end of the call, in
// microseconds.
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

// reportCost measures taking in one load report, in microseconds.
func reportCost(targets int) func() float64 {
	c, _, now := sizedCore(targets, 1)
	return func() float64 {
		return microseconds(2000, func(i int) {
			c.NextReport(now.Add(time.Duration(i) * time.Millisecond))
			c.Step(now, admission.Report{Target: fmt.Sprint("t", i%targets), Incarnation: "i", Running: 1})
		})
	}
}

// openCost measures the admission of one request, in microseconds.
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

// verifyCost measures the check of a bundle, in milliseconds.
func verifyCost(targets int) func() float64 {
	text := sizedBundle(targets, 100)
	return func() float64 {
		return microseconds(1, func(int) { parse(text) }) / 1000
	}
}

// planMemory measures what a plan in force keeps, in KB.
func planMemory(targets int) func() float64 {
	text := sizedBundle(targets, 1200)
	return func() float64 {
		return heapKB(func() any {
			c := admission.New(admission.Config{DataCentre: "d0"})
			c.Step(time.Now(), admission.Install{Plan: parse(text)})
			return c
		})
	}
}

// viewOf returns a view of n peers and the last exchange that one of them sent.
func viewOf(n int) (membership.View, message.Exchange, time.Time) {
	now := time.Now()
	v := membership.New("10.0.0.1:8081", "d0")
	var exchange message.Exchange
	for i := range n {
		exchange = message.Exchange{
			Node: fmt.Sprintf("10.1.%d.%d:8081", i>>8, i&255), Incarnation: ticket.NewSerial(), DataCentre: fmt.Sprint("d", i%12),
			Bundle: 123456, Digest: bundle.Digest(nil),
		}
		v, _ = v.WithExchange(now, exchange)
	}
	return v, exchange, now
}

// exchangeCost measures taking in one exchange, in microseconds.
func exchangeCost(peers int) func() float64 {
	v, exchange, now := viewOf(peers)
	return func() float64 {
		return microseconds(200, func(int) { v, _ = v.WithExchange(now, exchange) })
	}
}

// exchangeBytes measures one exchange, in bytes of JSON.
func exchangeBytes(peers int) func() float64 {
	v, exchange, now := viewOf(peers)
	rng := rand.New(rand.NewPCG(1, 1))
	return func() float64 {
		exchange.Peers = v.NamedPeers(now, rng)
		exchange.Readers = []message.Reader{{Node: "10.1.0.1:8081", AgeMs: 1200}, {Node: "10.1.0.2:8081", AgeMs: 800}}
		return jsonSize(exchange)
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

// stepBytes measures a change sent as a step to a peer with the text before, in bytes.
func stepBytes(targets int) func() float64 {
	before, after := change(targets)
	return func() float64 {
		return jsonSize(bundle.History{}.With(before).With(after).Transfer(bundle.Digest([]byte(before.Text))))
	}
}

// wholeBytes measures a change sent whole, in bytes.
func wholeBytes(targets int) func() float64 {
	_, after := change(targets)
	return func() float64 { return jsonSize(bundle.History{}.With(after).Transfer("")) }
}

// jsonSize returns the bytes of v as JSON.
func jsonSize(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // messages always encode
	}
	return float64(len(raw))
}

// ticketCost measures sealing, opening, spending and settling a ticket, in microseconds.
func ticketCost(spent int) func() float64 {
	sealer, err := ticket.NewSealer(make([]byte, ticketKeyBytes))
	if err != nil {
		panic(err) // the key has its length
	}
	book, serial := filledBook(spent)
	return func() float64 {
		return microseconds(500, func(int) {
			serial++
			t := ticket.Ticket{Home: "h", Incarnation: "i", Serial: fmt.Sprint(serial), ExpiresMs: ticketExpiresMs}
			token, err := sealer.Seal(t)
			if err != nil {
				panic(err) // a ticket always encodes
			}
			opened, err := sealer.Open(token)
			if err != nil {
				panic(err) // it was sealed with the same key
			}
			book.Spend(0, opened, "")
			book.Settle(opened, ticket.Outcome{})
		})
	}
}

// filledBook returns a book with as many spent tickets, and their number.
func filledBook(spent int) (*ticket.Book, int) {
	book := ticket.NewBook("h", "i", ticketExpiresMs)
	for i := range spent {
		t := ticket.Ticket{Home: "h", Incarnation: "i", Serial: ticket.NewSerial(), ExpiresMs: ticketExpiresMs}
		book.Spend(0, t, "sha256:0000000000000000000000000000000000000000000000000000000000000000")
		book.Settle(t, ticket.Outcome{Answer: fmt.Appendf(nil, "%0200d", i)})
	}
	return book, spent
}

// bookMemory measures what a book of spent tickets keeps, in KB.
func bookMemory(spent int) func() float64 {
	return func() float64 {
		return heapKB(func() any {
			book, _ := filledBook(spent)
			return book
		})
	}
}
