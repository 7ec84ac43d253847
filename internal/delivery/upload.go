package delivery

import (
	"io"

	"github.com/pkg/errors"
)

// errNotWritten ends an answer whose connection ended before the request was written whole.
var errNotWritten = errors.New("the connection ended before the request was written whole")

// Rule: when the end of a connection ends an answer.
//
// An answer without a length or chunks has the end of its connection as its own. That is proved
// only if nothing says otherwise: no read failed, no write failed, and the request was written
// whole. A target that closes its connection while an upload is unread resets it, and the
// reset may be reported to the write alone. An answer that begins before its request was
// written whole may still be whole, if the rest was written before the connection ended.
// Trusting a wrong end gives a caller a part of an answer as the whole; a wrong doubt fails
// the call as one that may have run.

// upload records how much of the armed request was written. The lock of its connection guards it.
type upload struct {
	// begun is how many bytes were written on the connection before the request.
	begun int64
	// head is the length of the request's head, as far as it is known; matched is how much of the
	// empty line that ends it was found.
	head    int64
	matched int
	// body is the length of the request's body; -1 if unknown.
	body int64
}

// headEnd is what ends the head of a request.
const headEnd = "\r\n\r\n"

// scan finds the end of the head in bytes that are written next.
func (u *upload) scan(b []byte) {
	for _, c := range b {
		if u.matched == len(headEnd) {
			return
		}
		u.head++
		switch c {
		case headEnd[u.matched]:
			u.matched++
		case headEnd[0]:
			u.matched = 1
		default:
			u.matched = 0
		}
	}
}

// whole reports whether the request is among the bytes that were written on the connection.
func (u *upload) whole(written int64) bool {
	return u.matched == len(headEnd) && u.body >= 0 && written-u.begun >= u.head+u.body
}

// wholeRequest reports whether the armed request was written whole. It waits for a write in
// progress.
func (c *guardedConn) wholeRequest() bool {
	written, ok := c.writes.Settle()
	c.mu.Lock()
	defer c.mu.Unlock()
	return ok && c.upload.whole(written)
}

// endOfAnswer returns the error of a read that ended with err after some bytes of an answer. An
// encrypted connection reports an orderly end by itself.
func (c *guardedConn) endOfAnswer(err error, answered bool) error {
	if !errors.Is(err, io.EOF) || !c.plain || !answered || c.wholeRequest() {
		return err
	}
	return errNotWritten
}
