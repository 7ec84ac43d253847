package delivery

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
)

var (
	errSealed = errors.New("the connection is sealed")
	// errNoAnswer ends a connection that brought bytes with which no answer begins.
	errNoAnswer = errors.New("the bytes that came begin no answer")
)

// answerStart is what an answer begins with.
const answerStart = "HTTP/"

// guardedConn proves whether a request's first byte may have left. The
// transport gives a connection to one request at a time: arm is called when it
// does, before any byte of that request is written.
type guardedConn struct {
	net.Conn
	// number is that of the connection in logs.
	number uint64

	mu sync.Mutex
	// check runs before the first byte of the armed request; nil before the first arm.
	check func() error
	// begun is true once a write of the armed request has begun.
	begun bool
	// sealed stops all later writes, retired those of calls that follow the present one.
	sealed, retired bool

	// upload records how much of the armed request was written, writes the result of all writes.
	upload upload
	writes tcpconn.Writes

	// plain is set if the connection is not encrypted, so that its bytes are those of requests and
	// answers.
	plain bool
	// read counts the bytes read since the connection was armed.
	read atomic.Int64
	// foreign is set once bytes came with which no answer begins.
	foreign atomic.Bool

	// unproven is true from when a call is armed whose caller tells copies of earlier answers
	// until it has done so. The transport may give the connection to another call before.
	unproven bool
	// brought holds the hashes of what Conn.First was asked of the connection's answers.
	brought map[uint64]struct{}
	// calls counts the calls that the connection was armed for. received holds its last answers,
	// and next is where the next one is kept.
	calls    int
	received [maxEarlier]Received
	next     int
}

// maxBrought limits how many answers a connection remembers. It is given up then.
const maxBrought = 256

// Conn is the connection that brought an answer.
type Conn struct {
	conn   *guardedConn
	answer Received
}

// Spoil keeps the connection from carrying another call; it is for answers that cannot be
// trusted. A call that it carries already goes on: an answer without a body is complete before its
// caller has it, and the transport may have given the connection away by then.
func (c Conn) Spoil() {
	if c.conn != nil {
		c.conn.giveUp(c.answer.Call)
	}
}

// First reports whether no earlier answer on the connection had this content, and remembers it.
// The content must differ between all answers.
func (c Conn) First(content string) bool {
	if c.conn == nil {
		return false
	}
	c.conn.identify(c.answer.Call, content)
	first, full := c.conn.first(xxhash.Sum64String(content))
	if full {
		c.conn.giveUp(c.answer.Call)
	}
	return first
}

// first records what an answer brought. It reports whether no earlier answer had that, and whether
// the connection remembers as many as it may.
func (c *guardedConn) first(hash uint64) (first, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.brought == nil {
		c.brought = map[uint64]struct{}{}
	}
	_, earlier := c.brought[hash]
	c.brought[hash] = struct{}{}
	c.unproven = c.unproven && earlier
	return !earlier, len(c.brought) >= maxBrought
}

// arming is how a connection is prepared for one request.
type arming struct {
	// check runs just before the first byte is written, and the byte is not written when it fails.
	check func() error
	// distinct is as in Sending.
	distinct bool
	// body is the length of the request's body in bytes; -1 if unknown.
	body int64
}

// arm prepares the connection for one request. A connection whose last answer may turn out to be a
// copy carries nothing more. It returns the number of the call on the connection, from 1.
func (c *guardedConn) arm(a arming) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.retired || c.unproven
	c.unproven = a.distinct
	c.check = a.check
	c.begun = false
	c.upload = upload{begun: c.writes.Bytes(), body: a.body}
	c.read.Store(0)
	c.calls++
	return c.calls
}

// Read implements net.Conn. It fails as soon as the bytes that come for the armed request begin no
// answer: they may be those past the end of an earlier answer, and the transport would wait for a
// whole line of them.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	before := c.read.Add(int64(n)) - int64(n)
	if c.plain && !startsAnswer(b[:n], before) {
		c.foreign.Store(true)
		return 0, errNoAnswer
	}
	return n, c.endOfAnswer(err, before+int64(n) > 0)
}

// startsAnswer reports whether an answer may have these bytes, which follow the first before ones.
func startsAnswer(b []byte, before int64) bool {
	if before >= int64(len(answerStart)) {
		return true
	}
	due := answerStart[before:]
	n := min(len(due), len(b))
	return string(b[:n]) == due[:n]
}

// headTooLong reports whether so many bytes came for the armed request that the transport gave
// up before the end of a header.
func (c *guardedConn) headTooLong() bool { return c.read.Load() >= wire.MaxHeaderBytes }

// seal stops all later writes of a call and of those after it for good, and says whether any write
// of the call has begun. A later call that the connection carries goes on as the last one: the
// transport gives a connection away only once its call was answered.
func (c *guardedConn) seal(call int) (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retire(call) {
		return true
	}
	return c.begun
}

// retire seals the connection for a call, or has it carry none after the one that it carries since,
// and reports whether there is one. The caller must hold the lock.
func (c *guardedConn) retire(call int) (inUse bool) {
	inUse = c.calls > call
	c.retired = c.retired || inUse
	c.sealed = c.sealed || !inUse
	return inUse
}

// giveUp seals the connection for a call and, unless it carries a later one, closes it, so that the
// transport forgets it.
func (c *guardedConn) giveUp(call int) {
	c.mu.Lock()
	inUse := c.retire(call)
	c.mu.Unlock()
	if !inUse {
		_ = c.Conn.Close() // the connection is given up; its error changes nothing
	}
}

// spoil stops all later writes and closes the connection, also under a later call.
func (c *guardedConn) spoil() {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	_ = c.Conn.Close() // as in giveUp
}

// Write implements net.Conn. The window that remains lies between the end of
// the check and the system call below.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.beginWrite(b); err != nil {
		return 0, err
	}
	return c.writes.Write(c.Conn, b)
}

// beginWrite lets a write begin, or returns why it may not.
func (c *guardedConn) beginWrite(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if !c.begun && c.check != nil {
		if err := c.check(); err != nil {
			c.sealed = true
			return err
		}
		c.begun = true
	}
	c.upload.scan(b)
	return nil
}

// guardOf finds the guarded connection below a connection of the transport; nil when
// there is none, which dialGuarded rules out.
func guardOf(conn net.Conn) *guardedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	g, _ := conn.(*guardedConn)
	return g
}

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialGuarded returns a dial function of guarded connections, which are plain or encrypted.
func dialGuarded(dial dialFunc, plain bool) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, plain: plain, number: lastConnection.Add(1)}, nil
	}
}
