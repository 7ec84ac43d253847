package ticket

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// State is what became of a ticket at its home.
type State int

// States of a ticket.
const (
	// Unspent is a ticket whose home has no record of it.
	Unspent State = iota
	// Running is a ticket whose one run has not ended.
	Running
	// Spent is a ticket whose one run has ended.
	Spent
	// Expired is a ticket without a record that can no longer be spent: whether it
	// ran is not known.
	Expired
)

// Outcome is the final answer of a ticket's one run.
type Outcome struct {
	// Verdict is the one that the caller got.
	Verdict verdict.Verdict
	// Answer is the final answer as sent, for a caller that asks again.
	Answer []byte
	// Status is the HTTP status of the answer.
	Status int
}

const (
	// minimumSweep is the number of entries from which expired ones are dropped, so that a
	// small book is not swept at each use.
	minimumSweep = 64
	// sweepGrowth is by how much the book grows between two sweeps, which keeps the
	// cost of sweeping per entry constant.
	sweepGrowth = 2
	// fullRetryAfter is when to use a ticket again that a full book could not record.
	fullRetryAfter = time.Second
)

// Book is the home's record of its tickets. It is owned by one goroutine or
// lock, does no input or output and reads no clock: its methods take the age of
// the incarnation. An unspent ticket takes no
// room in it. An entry stays until its ticket has expired, so that a ticket
// that was spent is never taken for unspent.
type Book struct {
	home        string
	incarnation string
	// capacity is the most entries.
	capacity int
	// entries holds the tickets that run or were spent, by serial.
	entries map[string]entry
	// running counts the entries that run.
	running int
	// sweepAt is the number of entries at which to sweep next.
	sweepAt int
}

type entry struct {
	state      State
	bodyDigest string
	// outcome is empty while the ticket runs.
	outcome Outcome
	// expires is the age of the home's incarnation.
	expires time.Duration
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

// Spend marks the ticket as running, once; age is that of the home's incarnation.
// A refusal says what is known of the ticket's one run.
//
// Rule: the checks count in this order. A ticket of another home or incarnation may
// have run there. A ticket for another body did not run for this one. A ticket with
// an entry gets what the entry says. An expired one may have run: its entry is gone.
// A full book cannot record the use, so another one may still arrive and run. A
// wrong order could call a use not run that ran
// (docs/decisions/0004-at-most-once.md).
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
			WithRetryAfter(fullRetryAfter)
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
// stays spent: its caller learns that and takes a new one, and an earlier use of
// this one that arrives late must find it spent. A ticket that does not run is left
// as it is.
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

// State returns the state of a ticket at the age of the home's incarnation, and its
// outcome when it is spent.
func (b *Book) State(age time.Duration, t Ticket) (State, Outcome) {
	if e, known := b.entries[t.Serial]; known {
		return e.state, e.outcome
	}
	if age >= t.Expires() {
		return Expired, Outcome{}
	}
	return Unspent, Outcome{}
}

// sweep drops entries whose tickets have expired. It does so when the book has
// grown by sweepGrowth since the last time, or is full.
func (b *Book) sweep(age time.Duration) {
	if len(b.entries) < b.sweepAt && len(b.entries) < b.capacity {
		return
	}
	for serial, e := range b.entries {
		if e.state == Spent && age >= e.expires {
			delete(b.entries, serial)
		}
	}
	b.sweepAt = max(minimumSweep, sweepGrowth*len(b.entries))
}
