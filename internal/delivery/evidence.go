package delivery

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxEarlier limits how many answers a connection remembers for Evidence.
	maxEarlier = 4
	// maxIdentity limits how much of an identity that a target sent is kept, in bytes.
	maxIdentity = 64
)

// lastConnection numbers the connections of this process.
var lastConnection atomic.Uint64

// Evidence says from which answer, over which connection, a failure of Exchange was concluded.
// It is a cause of the *verdict.Error; EvidenceOf finds it.
type Evidence struct {
	// Connection numbers the connections of this process to targets, from 1.
	Connection uint64
	// Local and Remote are the addresses of its ends. Remote is that of a node for a call through
	// another node.
	Local, Remote string
	// Answer is the one that was believed or dropped. Its status is 0 if there was none.
	Answer Received
	// Earlier are the last answers that the connection brought before, the oldest first.
	Earlier []Received
	// cause is that of the failure; nil for none.
	cause error
}

// Received is an answer that a connection brought.
type Received struct {
	// Call numbers the calls on the connection, from 1.
	Call int
	// Status is that of the answer.
	Status int
	// Identity is what the answer carries, or, for calls without identities, what Conn.First was
	// asked.
	Identity string
}

// String returns the fields for a log line.
func (r Received) String() string {
	if r.Status == 0 {
		return fmt.Sprintf("none to call %d", r.Call)
	}
	return fmt.Sprintf("%d of %q to call %d", r.Status, r.Identity, r.Call)
}

// Error implements error.
func (e *Evidence) Error() string {
	text := fmt.Sprintf("call %d on connection %d", e.Answer.Call, e.Connection)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause of the failure.
func (e *Evidence) Unwrap() error { return e.cause }

// EvidenceOf returns the evidence of a failure; nil for a failure without a connection.
func EvidenceOf(err *verdict.Error) *Evidence {
	var e *Evidence
	if err == nil || !errors.As(err.Unwrap(), &e) {
		return nil
	}
	return e
}

// WithEvidence returns the failure that was concluded from the connection's answer, with evidence
// of it.
func (c Conn) WithEvidence(err *verdict.Error) *verdict.Error {
	if c.conn == nil || EvidenceOf(err) != nil {
		return err
	}
	return err.WithCause(c.conn.evidence(c.answer, err.Unwrap()))
}

// evidence describes an answer and what the connection brought before it.
func (c *guardedConn) evidence(answer Received, cause error) *Evidence {
	e := &Evidence{Connection: c.number, Local: c.LocalAddr().String(), Remote: c.RemoteAddr().String(), Answer: answer, cause: cause}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.received {
		// The oldest is where the next will be.
		r := c.received[(c.next+i)%maxEarlier]
		if r.Call > 0 && r.Call < answer.Call {
			e.Earlier = append(e.Earlier, r)
		} else if r.Call == answer.Call {
			e.Answer = r
		}
	}
	return e
}

// remember keeps an answer for the evidence of later calls.
func (c *guardedConn) remember(r Received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[c.next] = r
	c.next = (c.next + 1) % maxEarlier
}

// identify keeps the content of an answer that carries no identity.
func (c *guardedConn) identify(call int, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.received {
		if c.received[i].Call == call {
			c.received[i].Identity = content[:min(len(content), maxIdentity)]
		}
	}
}

// echoedIdentity returns what an answer carries in the header name, shortened.
func echoedIdentity(h http.Header, name string) string {
	echoed := strings.Join(h.Values(name), ",")
	return echoed[:min(len(echoed), maxIdentity)]
}
