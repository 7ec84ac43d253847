package node

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Both figures are those of docs/decisions/0004-at-most-once.md.
const (
	// ticketLife is how long a ticket can be spent, and how long its outcome is known at
	// its home.
	ticketLife = 10 * time.Minute
	// bookCapacity bounds the spent tickets that have not expired: 35 MB by the
	// memory of a ticket in docs/CAPACITY.md.
	bookCapacity = 100_000
)

// tickets mints and opens tickets, and guards the book of this incarnation with
// a lock.
type tickets struct {
	sealer      *ticket.Sealer
	incarnation *incarnation

	mu   sync.Mutex
	book *ticket.Book
}

func newTickets(key []byte, inc *incarnation) (*tickets, error) {
	sealer, err := ticket.NewSealer(key)
	if err != nil {
		return nil, err
	}
	book := ticket.NewBook(inc.address, inc.id, bookCapacity)
	return &tickets{sealer: sealer, incarnation: inc, book: book}, nil
}

// mint returns the token of a new ticket.
func (t *tickets) mint(organisation, pipeline, bodyDigest string) (string, error) {
	return t.sealer.Seal(ticket.Ticket{
		Home: t.incarnation.address, Incarnation: t.incarnation.id, Serial: ticket.NewSerial(),
		Organisation: organisation, Pipeline: pipeline, BodyDigest: bodyDigest,
		ExpiresMs: (t.incarnation.age() + ticketLife).Milliseconds(),
	})
}

// open returns the ticket of a token, if the organisation may use it.
func (t *tickets) open(token, organisation string) (ticket.Ticket, error) {
	tk, err := t.sealer.Open(token)
	if err != nil || tk.Organisation != organisation {
		// It may have been sealed with an earlier key and spent then.
		return ticket.Ticket{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTicketInvalid,
			"the ticket cannot be opened for this organisation").WithUnsafeRetry()
	}
	return tk, nil
}

// isHome reports whether this incarnation minted the ticket. It needs no lock,
// since the book's identity never changes.
func (t *tickets) isHome(tk ticket.Ticket) bool {
	return t.book.IsHome(tk)
}

// spend marks a ticket as running, once; see ticket.Book.Spend.
func (t *tickets) spend(tk ticket.Ticket, bodyDigest string) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Spend(t.incarnation.age(), tk, bodyDigest)
}

// settle records how the ticket's one run ended.
func (t *tickets) settle(tk ticket.Ticket, out ticket.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Settle(tk, out)
}

// look returns the state of a ticket, and its outcome when it is spent.
func (t *tickets) look(tk ticket.Ticket) (ticket.State, ticket.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.State(t.incarnation.age(), tk)
}

// counts returns how many tickets run and how many are spent.
func (t *tickets) counts() (running, spent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Counts()
}
