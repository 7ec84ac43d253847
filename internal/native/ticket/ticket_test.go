package ticket_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const body = "sha256:body"

func sample(book string) ticket.Ticket {
	return ticket.Ticket{Home: book, Incarnation: "1", Serial: "s", Organisation: "o", Pipeline: "p", ExpiresMs: 1000}
}

func TestSeal(t *testing.T) {
	convey.Convey("Given a sealer", t, func() {
		s, err := ticket.NewSealer(bytes.Repeat([]byte{1}, 32))
		convey.So(err, convey.ShouldBeNil)
		token, err := s.Seal(sample("a"))
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("a token opens to its ticket", func() {
			got, err := s.Open(token)
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, sample("a"))
		})
		convey.Convey("a changed token, another key's and nonsense do not open", func() {
			other, _ := ticket.NewSealer(bytes.Repeat([]byte{2}, 32))
			foreign, _ := other.Seal(sample("a"))
			for _, bad := range []string{"", "x", token[1:], token + "A", foreign} {
				_, err := s.Open(bad)
				convey.So(err, convey.ShouldEqual, ticket.ErrInvalid)
			}
		})
	})
}

func TestBook(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*ticket.Book, *ticket.Ticket)
		age     time.Duration
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"running", func(b *ticket.Book, tk *ticket.Ticket) { b.Spend(0, *tk, body) }, 0, verdict.MayHaveRun, verdict.ReasonTicketSpent},
		{"ended and ran", func(b *ticket.Book, tk *ticket.Ticket) {
			b.Spend(0, *tk, body)
			b.Settle(*tk, ticket.Outcome{Verdict: verdict.Ran})
		}, 0, verdict.Ran, verdict.ReasonTicketSpent},
		{"ended and did not run", func(b *ticket.Book, tk *ticket.Ticket) {
			b.Spend(0, *tk, body)
			b.Settle(*tk, ticket.Outcome{Verdict: verdict.NotRun})
		}, 0, verdict.NotRun, verdict.ReasonTicketSpent},
		{"expired", func(*ticket.Book, *ticket.Ticket) {}, time.Second, verdict.MayHaveRun, verdict.ReasonTicketExpired},
		{"of an earlier incarnation", func(_ *ticket.Book, tk *ticket.Ticket) { tk.Incarnation = "0" }, 0, verdict.MayHaveRun, verdict.ReasonHomeGone},
		{"bound to another body", func(_ *ticket.Book, tk *ticket.Ticket) { tk.BodyDigest = "sha256:other" }, 0, verdict.NotRun, verdict.ReasonTicketInvalid},
		{"used for another body", func(b *ticket.Book, tk *ticket.Ticket) { b.Spend(0, *tk, "sha256:other") }, 0, verdict.NotRun, verdict.ReasonTicketInvalid},
		{"in a full book", func(b *ticket.Book, _ *ticket.Ticket) {
			other := sample("a")
			other.Serial = "other"
			b.Spend(0, other, body)
		}, 0, verdict.MayHaveRun, verdict.ReasonOverload},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("The ticket is not spent and the refusal says what is known", t, func() {
				b := ticket.NewBook("a", "1", 1)
				tk := sample("a")
				c.prepare(b, &tk)
				err := b.Spend(c.age, tk, body)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Verdict(), convey.ShouldEqual, c.verdict)
				convey.So(err.Reason(), convey.ShouldEqual, c.reason)
			})
		})
	}
}

func TestBookKeepsSpentTickets(t *testing.T) {
	convey.Convey("A full book refuses new tickets and keeps the spent ones until they expire", t, func() {
		b := ticket.NewBook("a", "1", 1)
		first, second := sample("a"), sample("a")
		second.Serial = "second"
		second.ExpiresMs = 5000
		convey.So(b.Spend(0, first, body), convey.ShouldBeNil)
		b.Settle(first, ticket.Outcome{Verdict: verdict.Ran})
		convey.So(b.Spend(0, second, body), convey.ShouldNotBeNil)
		state, _ := b.State(0, first)
		convey.So(state, convey.ShouldEqual, ticket.Spent)
		convey.So(b.Spend(2*time.Second, second, body), convey.ShouldBeNil)
	})
}

// homes is a model of several homes that die and start again, with uses of
// tickets that arrive late, twice and after a restart.
type homes struct {
	books   map[string]*ticket.Book
	ages    map[string]time.Duration
	lives   int
	tickets []ticket.Ticket
	running []ticket.Ticket
	ran     map[string]int
	denied  map[string]bool
}

func (h *homes) restart(name string) {
	h.lives++
	h.books[name] = ticket.NewBook(name, fmt.Sprint(h.lives), 2)
	h.ages[name] = 0
	kept := h.running[:0]
	for _, tk := range h.running {
		if tk.Home != name {
			kept = append(kept, tk)
		}
	}
	h.running = kept
}

func (h *homes) use(t *rapid.T, tk ticket.Ticket) {
	err := h.books[tk.Home].Spend(h.ages[tk.Home], tk, body)
	if err == nil {
		h.ran[tk.Serial]++
		h.running = append(h.running, tk)
		if h.ran[tk.Serial] > 1 {
			t.Fatalf("ticket %s ran %d times", tk.Serial, h.ran[tk.Serial])
		}
		if h.denied[tk.Serial] {
			t.Fatalf("ticket %s ran after its caller was told that it did not", tk.Serial)
		}
		return
	}
	if err.Verdict() == verdict.NotRun {
		h.denied[tk.Serial] = true
	}
}

func TestAtMostOnceWhateverHappensToHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &homes{books: map[string]*ticket.Book{}, ages: map[string]time.Duration{}, ran: map[string]int{}, denied: map[string]bool{}}
		names := []string{"a", "b", "c"}
		for _, name := range names {
			h.restart(name)
		}
		serial := 0
		t.Repeat(map[string]func(*rapid.T){
			"mint": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "home")
				serial++
				// The incarnation of the book's present life.
				tk := ticket.Ticket{
					Home: name, Serial: fmt.Sprint(serial), Incarnation: h.incarnation(name),
					ExpiresMs: (h.ages[name] + time.Minute).Milliseconds(),
				}
				h.tickets = append(h.tickets, tk)
			},
			"use": func(t *rapid.T) {
				if len(h.tickets) > 0 {
					h.use(t, rapid.SampledFrom(h.tickets).Draw(t, "ticket"))
				}
			},
			"settle": func(t *rapid.T) {
				if len(h.running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(h.running)-1).Draw(t, "running")
				tk := h.running[i]
				h.running = append(h.running[:i], h.running[i+1:]...)
				v := rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict")
				h.books[tk.Home].Settle(tk, ticket.Outcome{Verdict: v})
				if v == verdict.NotRun {
					h.denied[tk.Serial] = true
				}
			},
			"restart": func(t *rapid.T) { h.restart(rapid.SampledFrom(names).Draw(t, "home")) },
			"time passes": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
				for name := range h.ages {
					h.ages[name] += d
				}
			},
		})
	})
}

// incarnation finds the incarnation whose tickets the home's book takes for its own.
func (h *homes) incarnation(name string) string {
	for i := h.lives; i > 0; i-- {
		if h.books[name].IsHome(ticket.Ticket{Home: name, Incarnation: fmt.Sprint(i)}) {
			return fmt.Sprint(i)
		}
	}
	return ""
}

func FuzzOpen(f *testing.F) {
	s, err := ticket.NewSealer(bytes.Repeat([]byte{1}, 32))
	if err != nil {
		f.Fatal(err)
	}
	token, _ := s.Seal(sample("a"))
	f.Add(token)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := s.Open(text)
		if err == nil && got != sample("a") {
			t.Fatalf("opened a token that nobody sealed: %q", text)
		}
	})
}
