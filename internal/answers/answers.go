// Package answers buffers the answers of targets, each within a bound of its own and all
// within one together.
//
// A faulty target may send bytes without end, and several may do so at once. What one answer
// may have is known only to whoever asked for it, and is far above what answers have; the sum
// of such bounds is more than the memory of a node. So a Pool bounds the sum as well. When it
// is full, the longest answer that is still being read is given up: an answer without end
// outgrows those that have one. An answer that was read whole counts no longer.
//
// The errors are *TooLongError and ErrPoolFull, beside those of the reader.
package answers

import (
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// MaxAnswerBytes is the most that any one answer may have, and the least that a Pool holds:
	// an answer that is alone may be as long as that on the smallest machine.
	MaxAnswerBytes = wire.MaxAnswerBytes
	// MaxStreamBytes is the most that a stream may have in all. Its events are forwarded as they
	// come and not buffered, so that this bounds the time and the link that it takes.
	MaxStreamBytes = 64 << 20
	// MaxEventBytes is the most that one event of a stream may have, which is buffered before it
	// is forwarded. Events have some hundred bytes.
	MaxEventBytes = 64 << 10
	// memoryDivisor divides the memory of a machine: the answers that are being read take the
	// quotient at most. As much again is garbage at times.
	memoryDivisor = 8
	// defaultPoolBytes bounds the answers of a node whose memory is unknown.
	defaultPoolBytes = 64 << 20
	// firstChunk is the size of an answer's first buffer, and lastChunk that from which on the
	// buffers grow no more.
	firstChunk = 4 << 10
	lastChunk  = 64 << 10
)

// ErrPoolFull says that an answer was given up because all answers together took the most that
// a Pool holds, and it was the longest.
var ErrPoolFull = errors.New("the answers that are being read take all memory that they may, this one the most")

// TooLongError says that an answer is longer than it may be.
type TooLongError struct {
	// Most is what it may have, in bytes.
	Most int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Most)
}

// IsTooLong reports whether an error says that an answer has more bytes than are read.
func IsTooLong(err error) bool {
	var tooLong *TooLongError
	return errors.As(err, &tooLong) || errors.Is(err, ErrPoolFull)
}

// PoolBytes returns how many bytes a Pool holds on a machine with some bytes of memory, 0 for
// unknown.
func PoolBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultPoolBytes
	}
	return max(memory/memoryDivisor, MaxAnswerBytes)
}

// Pool bounds the answers that are being read. Its methods may be called concurrently.
type Pool struct {
	limit int64
	// onGivenUp is called with the bytes of each answer that is given up because the pool is
	// full.
	onGivenUp func(bytes int64)

	mu sync.Mutex
	// used is the sum of the answers that are being read, in bytes.
	used    int64
	reading map[*reading]struct{}
}

// Option changes a Pool under construction.
type Option func(*Pool)

// OnGivenUp calls f with the bytes of each answer that is given up because the pool is full.
func OnGivenUp(f func(bytes int64)) Option { return func(p *Pool) { p.onGivenUp = f } }

// NewPool returns a pool that holds limit bytes.
func NewPool(limit int64, opts ...Option) *Pool {
	p := &Pool{limit: limit, onGivenUp: func(int64) {}, reading: map[*reading]struct{}{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// State returns how many bytes the answers that are being read take, and how many they may.
func (p *Pool) State() (used, limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.limit
}

// reading is an answer that is being read. The pool's lock guards its fields.
type reading struct {
	body  io.Closer
	taken int64
	// givenUp is set once it must not be read any further.
	givenUp bool
}

// Answer is the body of a whole answer.
type Answer struct {
	chunks [][]byte
	length int
}

// Len returns the number of bytes.
func (a *Answer) Len() int { return a.length }

// Chunks returns the bytes in pieces. The caller must not modify them.
func (a *Answer) Chunks() [][]byte { return a.chunks }

// Bytes returns the bytes in one piece, copied unless they are short.
func (a *Answer) Bytes() []byte {
	if len(a.chunks) == 1 {
		return a.chunks[0]
	}
	all := make([]byte, 0, a.length)
	for _, c := range a.chunks {
		all = append(all, c...)
	}
	return all
}

// Read reads a body of at most most bytes to its end. It closes the body only if the answer is
// given up.
func (p *Pool) Read(body io.ReadCloser, most int64) (*Answer, error) {
	r := &reading{body: body}
	p.begin(r)
	defer p.end(r)
	a := &Answer{}
	size := firstChunk
	for {
		if err := p.take(r, int64(size)); err != nil {
			return nil, err
		}
		chunk, err := readChunk(body, size)
		a.chunks = append(a.chunks, chunk)
		a.length += len(chunk)
		switch {
		case int64(a.length) > most:
			return nil, &TooLongError{Most: most}
		case err == io.EOF:
			return a, nil
		case err != nil:
			return nil, p.cause(r, err)
		}
		size = min(2*size, lastChunk)
	}
}

// readChunk reads bytes until they are size, or an error ends them.
func readChunk(r io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
	n, err := io.ReadFull(r, chunk)
	if err == io.ErrUnexpectedEOF && n < size {
		err = endOf(r)
	}
	return chunk[:n], err
}

// endOf returns how a body ended of which io.ReadFull got a part: its own error, which is
// io.ErrUnexpectedEOF for one that was cut.
func endOf(r io.Reader) error {
	_, err := r.Read(make([]byte, 1))
	return err
}

func (p *Pool) begin(r *reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading[r] = struct{}{}
}

func (p *Pool) end(r *reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= r.taken
	r.taken = 0
	delete(p.reading, r)
}

// cause returns why reading an answer failed: the pool closes the bodies of those that it gives
// up.
func (p *Pool) cause(r *reading, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.givenUp {
		return ErrPoolFull
	}
	return err
}

// Rule: which answer is given up when the pool is full.
//
// The longest of those that are being read, the one that asks for more included, until there is
// room. Giving up another one breaks a sound answer, or leaves one without end that fills the
// pool again.

// take takes bytes for an answer from the pool.
func (p *Pool) take(r *reading, n int64) error {
	p.mu.Lock()
	var ended []*reading
	var bytes []int64
	for !r.givenUp && p.used+n > p.limit {
		longest := p.longest(r, n)
		ended, bytes = append(ended, longest), append(bytes, longest.taken)
		p.used -= longest.taken
		longest.taken, longest.givenUp = 0, true
		delete(p.reading, longest)
	}
	givenUp := r.givenUp
	if !givenUp {
		p.used += n
		r.taken += n
	}
	p.mu.Unlock()
	for i, e := range ended {
		// Its reader gets the error of the closed body, which cause translates. Closing may wait
		// for the connection.
		go func() { _ = e.body.Close() }()
		p.onGivenUp(bytes[i])
	}
	if givenUp {
		return ErrPoolFull
	}
	return nil
}

// longest returns the longest answer that is being read, where r is to have n bytes more. The
// caller must hold the lock.
func (p *Pool) longest(r *reading, n int64) *reading {
	longest, most := r, r.taken+n
	for other := range p.reading {
		if other != r && other.taken > most {
			longest, most = other, other.taken
		}
	}
	return longest
}
