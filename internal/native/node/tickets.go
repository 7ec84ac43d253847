package node

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// ticketLife is how long a ticket can be spent, and how long its outcome is
// known at its home.
const ticketLife = 10 * time.Minute

// tickets is the shell around the book of this incarnation.
type tickets struct {
	sealer *ticket.Sealer
	age    func() time.Duration
	home   string
	incarn string

	mu   sync.Mutex
	book *ticket.Book
}

func newTickets(key []byte, home, incarnation string, age func() time.Duration) (*tickets, error) {
	sealer, err := ticket.NewSealer(key)
	if err != nil {
		return nil, err
	}
	book := ticket.NewBook(home, incarnation, bookCapacity)
	return &tickets{sealer: sealer, age: age, home: home, incarn: incarnation, book: book}, nil
}

// mint returns the token of a new ticket.
func (t *tickets) mint(organisation, pipeline, bodyDigest string) (string, error) {
	return t.sealer.Seal(ticket.Ticket{
		Home: t.home, Incarnation: t.incarn, Serial: ticket.NewSerial(),
		Organisation: organisation, Pipeline: pipeline, BodyDigest: bodyDigest,
		ExpiresMs: (t.age() + ticketLife).Milliseconds(),
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

func (t *tickets) isHome(tk ticket.Ticket) bool {
	return tk.Home == t.home && tk.Incarnation == t.incarn
}

func (t *tickets) spend(tk ticket.Ticket, bodyDigest string) *verdict.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Spend(t.age(), tk, bodyDigest)
}

func (t *tickets) settle(tk ticket.Ticket, out ticket.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Settle(tk, out)
}

func (t *tickets) look(tk ticket.Ticket) (ticket.State, ticket.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Look(t.age(), tk)
}

func (t *tickets) counts() (running, spent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Counts()
}
