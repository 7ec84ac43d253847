// Package requestbodies holds the bodies of requests within one bound for a process: those that are
// being read, and those that are kept until their request has ended.
//
// A body is admitted by its announced length before it is read, and counts with it; one that comes
// slowly counts with what came and what is due of it soon, so that slow callers do not hold room that
// they do not use. What does not fit is refused, with nothing of the request done. The errors are
// *RefusedError, beside those of the reader.
package requestbodies

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// memoryFraction is the part of a machine's memory that bodies may take. As much again is garbage
	// and copies on their way at times.
	memoryFraction = 0.3
	// minBytes is the least that a Budget has, some of the longest requests, and defaultBytes that of
	// a node whose memory is unknown.
	minBytes     = 16 << 20
	defaultBytes = 128 << 20
	// smallBytes is up to where a body is small, and largeFraction the part of the budget that larger
	// ones may take: small requests find room beside large ones.
	smallBytes    = 128 << 10
	largeFraction = 0.85
	// slowAfter is how long a body may take until it counts with what came, and what comes in as much
	// time.
	slowAfter = time.Second
	// firstChunk is the size of the first buffer of a body without a length, and lastChunk the largest
	// of any.
	firstChunk = 4 << 10
	lastChunk  = 64 << 10
)

// BudgetBytes returns how many bytes a Budget has on a machine with some bytes of memory, 0 for
// unknown.
func BudgetBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultBytes
	}
	return max(saturate.Int64(memoryFraction*float64(memory)), minBytes)
}

// RefusedError says that there is no room for a body.
type RefusedError struct {
	// Bytes is what the body was to take, Held what others hold, and Most what they may.
	Bytes, Held, Most int64
	// Begun is whether a part of the body was read.
	Begun bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("a body of %d bytes does not fit beside %d, %d may be held", e.Bytes, e.Held, e.Most)
}

// Budget is the bound of the bodies that a process holds. Its methods may be called concurrently.
type Budget struct {
	limit int64
	now   func() time.Time

	mu sync.Mutex
	// held is the sum of what all bodies count with.
	held int64
	// bodies counts them, and reading are those that are being read.
	bodies  int
	reading map[*Body]struct{}
}

// New returns a budget of limit bytes.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, reading: map[*Body]struct{}{}}
}

// State is what a Budget holds.
type State struct {
	// Held is the sum of what all bodies count with and Most what they may, in bytes.
	Held, Most int64
	// Bodies counts the bodies that are held, and Reading those of them that are being read.
	Bodies, Reading int
}

// State returns what the budget holds.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Held: b.held, Most: b.limit, Bodies: b.bodies, Reading: len(b.reading)}
}

// Body is the body of a request. It counts until Release. The budget's lock guards the fields up to
// givenUp.
type Body struct {
	budget *Budget
	// counts is what the body counts with, and came how much of it was read.
	counts, came int64
	begun        time.Time
	// announced is its length; -1 if unknown.
	announced int64
	// givenUp is set once it must not be read any further.
	givenUp bool

	source io.Closer
	chunks [][]byte
}

// Len returns the number of bytes.
func (d *Body) Len() int64 { return d.came }

// Reader returns a reader of the bytes from the start. It hides its type.
func (d *Body) Reader() io.Reader {
	readers := make([]io.Reader, len(d.chunks))
	for i, c := range d.chunks {
		readers[i] = bytes.NewReader(c)
	}
	return struct{ io.Reader }{io.MultiReader(readers...)}
}

// WriteTo implements io.WriterTo.
func (d *Body) WriteTo(w io.Writer) (n int64, err error) {
	for _, c := range d.chunks {
		written, err := w.Write(c)
		n += int64(written)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Release ends the use of a body.
func (d *Body) Release() {
	b := d.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= d.counts
	b.bodies--
	d.counts = 0
	delete(b.reading, d)
}

// Read reads a body to its end. announced is its length; -1 if unknown. The caller releases it. On an
// error there is nothing to release.
func (b *Budget) Read(source io.ReadCloser, announced int64) (*Body, error) {
	d := &Body{budget: b, announced: announced, begun: b.now(), source: source}
	if err := b.admit(d); err != nil {
		return nil, err
	}
	if err := d.readAll(source); err != nil {
		refused := b.refusal(d)
		d.Release()
		if refused != nil {
			return nil, refused
		}
		return nil, err
	}
	b.wasRead(d)
	return d, nil
}

// readAll reads the body into chunks.
func (d *Body) readAll(r io.Reader) error {
	size := firstChunk
	for {
		if left := d.announced - d.came; d.announced >= 0 {
			// Past the announced length a read of one byte finds the end.
			size = int(min(max(left, 1), lastChunk))
		}
		chunk := make([]byte, size)
		n, err := io.ReadFull(r, chunk)
		if n > 0 {
			d.chunks = append(d.chunks, chunk[:n])
			if failed := d.budget.arrived(d, int64(n)); failed != nil {
				return failed
			}
		}
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && d.endsBelow(r):
			return nil
		case err != nil:
			return err
		}
		size = min(2*size, lastChunk)
	}
}

// endsBelow reports whether a reader of which io.ReadFull got a part has ended in order.
func (d *Body) endsBelow(r io.Reader) bool {
	_, err := r.Read(make([]byte, 1))
	return err == io.EOF
}

// Rule: which bodies are admitted, and which are given up.
//
// A body counts with its announced length from before it is read, and with what comes if none is
// announced. Small ones may take the whole budget, large ones a part of it. If there is no room, what
// slow bodies count with beyond what comes soon is taken back first. A body that then does not fit is
// refused; one that grows without room has the longest given up that is being read, itself
// included. A budget that holds nothing admits any body. Too much admitted costs the process, and all
// that it has under way; too little refuses what could be served.

// admit counts a body, or returns why there is no room for it.
func (b *Budget) admit(d *Body) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	d.counts = max(d.announced, 0)
	if !b.hasRoom(d.counts, d.announced) {
		return &RefusedError{Bytes: d.counts, Held: b.held, Most: b.limit}
	}
	b.held += d.counts
	b.bodies++
	b.reading[d] = struct{}{}
	return nil
}

// hasRoom reports whether n bytes more fit, for a body with some length; -1 if unknown. The caller must
// hold the lock.
func (b *Budget) hasRoom(n, length int64) bool {
	limit := b.limit
	if length > smallBytes {
		limit = saturate.Int64(largeFraction * float64(b.limit))
	}
	fits := func() bool { return b.held == 0 || b.held+n <= limit }
	if !fits() {
		b.reclaim()
	}
	return fits()
}

// reclaim takes back what slow bodies count with beyond what came and what comes soon. The caller must
// hold the lock.
func (b *Budget) reclaim() {
	now := b.now()
	for d := range b.reading {
		age := now.Sub(d.begun)
		if age < slowAfter {
			continue
		}
		soon := d.came + saturate.Int64(float64(d.came)*slowAfter.Seconds()/age.Seconds()) + firstChunk
		if soon < d.counts {
			b.held -= d.counts - soon
			d.counts = soon
		}
	}
}

// arrived records that n bytes of a body came. It returns an error if the body has been given up.
func (b *Budget) arrived(d *Body, n int64) error {
	b.mu.Lock()
	d.came += n
	var ended []*Body
	for !d.givenUp && d.came > d.counts {
		more := d.came - d.counts
		if b.hasRoom(more, max(d.announced, d.came)) {
			d.counts += more
			b.held += more
			break
		}
		longest := b.longest(d)
		longest.givenUp = true
		b.held -= longest.counts
		longest.counts = 0
		delete(b.reading, longest)
		ended = append(ended, longest)
	}
	givenUp := d.givenUp
	b.mu.Unlock()
	for _, e := range ended {
		if e != d {
			// Its reader gets the error of the closed body. Closing may wait for the connection.
			go func() { _ = e.source.Close() }()
		}
	}
	if givenUp {
		return errGivenUp
	}
	return nil
}

var errGivenUp = errors.New("the body was given up")

// longest returns the body being read of which most came. The caller must hold the lock.
func (b *Budget) longest(d *Body) *Body {
	longest := d
	for other := range b.reading {
		if other.came > longest.came {
			longest = other
		}
	}
	return longest
}

// refusal returns the error of a body that was given up; nil for one that failed in another way.
func (b *Budget) refusal(d *Body) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !d.givenUp {
		return nil
	}
	return &RefusedError{Bytes: max(d.announced, d.came), Held: b.held, Most: b.limit, Begun: true}
}

// wasRead records that a body was read whole.
func (b *Budget) wasRead(d *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, d)
	b.held -= d.counts - d.came
	d.counts = d.came
}
