package ticket

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// State is what became of a ticket at its home.
type State int

// States of a ticket.
const (
	Unspent State = iota
	Running
	Spent
	Expired
)

// Outcome is the final answer of a ticket's one run.
type Outcome struct {
	// Verdict is what the caller was told.
	Verdict verdict.Verdict
	// Answer is the final answer as sent, for a caller that asks again.
	Answer []byte
	// Status is the HTTP status of the answer.
	Status int
}

const minimumSweep = 64

// Book is the home's record of its tickets. It is owned by one goroutine or
// lock, does no input or output and reads no clock: its methods take the age of
// the incarnation. An unspent ticket takes no
// room in it. An entry stays until its ticket has expired, so that a ticket
// that was spent is never taken for unspent.
type Book struct {
	home        string
	incarnation string
	capacity    int
	entries     map[string]entry
	running     int
	sweepAt     int
}

type entry struct {
	state      State
	bodyDigest string
	outcome    Outcome
	expires    time.Duration
}

// NewBook returns the empty book of one incarnation of the instance at home,
// with room for capacity tickets that were spent and have not expired.
func NewBook(home, incarnation string, capacity int) *Book {
	return &Book{home: home, incarnation: incarnation, capacity: capacity, entries: make(map[string]entry)}
}

// Counts returns how many entries run and how many are spent.
func (b *Book) Counts() (running, spent int) {
	return b.running, len(b.entries) - b.running
}

// IsHome says whether this incarnation minted the ticket.
func (b *Book) IsHome(t Ticket) bool {
	return t.Home == b.home && t.Incarnation == b.incarnation
}

// Spend marks the ticket as running, once. A refusal says what is known of the
// ticket's one run.
func (b *Book) Spend(age time.Duration, t Ticket, bodyDigest string) *verdict.Error {
	if !b.IsHome(t) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone, "the incarnation that minted the ticket is gone")
	}
	if t.BodyDigest != "" && t.BodyDigest != bodyDigest {
		return verdict.New(verdict.NotRun, verdict.ReasonTicketInvalid, "the ticket is bound to another body")
	}
	if e, known := b.entries[t.Serial]; known {
		return e.refusal(bodyDigest)
	}
	if age >= t.Expires() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTicketExpired, "the ticket has expired")
	}
	b.sweep(age)
	if len(b.entries) >= b.capacity {
		// Nothing can be written down, so an earlier use may still come and run.
		return verdict.New(verdict.MayHaveRun, verdict.ReasonOverload, "the home has no room; ask again with the same ticket").
			WithRetryAfter(time.Second)
	}
	b.entries[t.Serial] = entry{state: Running, bodyDigest: bodyDigest, expires: t.Expires()}
	b.running++
	return nil
}

// refusal answers the second use of a ticket.
func (e entry) refusal(bodyDigest string) *verdict.Error {
	if e.bodyDigest != bodyDigest {
		return verdict.New(verdict.NotRun, verdict.ReasonTicketInvalid, "the ticket was used for another body")
	}
	if e.state == Running {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTicketSpent, "the ticket's request is running")
	}
	return verdict.New(e.outcome.Verdict, verdict.ReasonTicketSpent, "the ticket's request has ended")
}

// Settle records how the one run ended. A ticket whose run provably did nothing
// stays spent: its caller, told so, takes a new one, and an earlier use of this
// one that arrives late must find it spent.
func (b *Book) Settle(t Ticket, out Outcome) {
	e, known := b.entries[t.Serial]
	if !known || e.state != Running {
		return
	}
	b.running--
	e.state = Spent
	e.outcome = out
	b.entries[t.Serial] = e
}

// Look returns the state of a ticket, and its outcome when it is spent.
func (b *Book) Look(age time.Duration, t Ticket) (State, Outcome) {
	if e, known := b.entries[t.Serial]; known {
		return e.state, e.outcome
	}
	if age >= t.Expires() {
		return Expired, Outcome{}
	}
	return Unspent, Outcome{}
}

// sweep drops entries whose tickets have expired. It runs when the book has
// doubled since the last time, which keeps its cost per entry constant.
func (b *Book) sweep(age time.Duration) {
	if len(b.entries) < b.sweepAt && len(b.entries) < b.capacity {
		return
	}
	for serial, e := range b.entries {
		if e.state == Spent && age >= e.expires {
			delete(b.entries, serial)
		}
	}
	b.sweepAt = max(minimumSweep, 2*len(b.entries))
}
