package delivery

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answerhead"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// attempt records what became of the first write of one call.
type attempt struct {
	// conn is the connection that the transport gave to the call; nil before.
	conn atomic.Pointer[guardedConn]
	// call is the number of the call on conn.
	call atomic.Int64
	// refusal is what the check before the first byte returned; nil when it passed.
	refusal atomic.Pointer[verdict.Error]
}

// trace returns a context for the call, whose connection is armed when the transport gives it one.
func (a *attempt) trace(ctx context.Context, with arming) context.Context {
	return httptrace.WithClientTrace(ctx, answerhead.Trace(httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.take(guardOf(info.Conn), with) },
	}))
}

// take arms the connection that the transport gave to the call.
func (a *attempt) take(conn *guardedConn, with arming) {
	if conn == nil {
		return
	}
	check := with.check
	with.check = func() error {
		err := check()
		if err != nil {
			a.refusal.Store(verdict.From(err))
		}
		return err
	}
	call := conn.arm(with)
	a.call.Store(int64(call))
	a.conn.Store(conn)
}

// answered records an answer, and returns the connection that brought it.
func (a *attempt) answered(status int, identity string) Conn {
	c := Conn{conn: a.conn.Load(), answer: Received{Call: int(a.call.Load()), Status: status, Identity: identity}}
	if c.conn != nil {
		c.conn.remember(c.answer)
	}
	return c
}

// unanswered returns the connection of a call without an answer.
func (a *attempt) unanswered() Conn {
	return Conn{conn: a.conn.Load(), answer: Received{Call: int(a.call.Load())}}
}

// spoil closes the connection of the call, if it has one.
func (a *attempt) spoil() {
	if conn := a.conn.Load(); conn != nil {
		conn.spoil()
	}
}

// Rule: what a call without an answer may claim.
//
// Inputs, in the order in which they count: whether the transport gave the call a
// connection (else it did not run); whether a write of the call had begun when the
// connection was sealed, which stops all later writes (else it did not run); what the
// check before the first byte returned, which is then the refusal; and why the call's
// context ended, which goes before the transport's own error as the reason. All are of
// this call alone. The connection is sealed in any case. Why so:
// docs/decisions/0003-verdicts.md. A wrong "not run" lets a caller run work twice; a
// wrong "may have run" fails a request that could be retried.

// failure gives the verdict on a request that got no answer.
func (a *attempt) failure(req *http.Request, err error) *verdict.Error {
	v := verdict.NotRun
	reason := verdict.ReasonDial
	if conn := a.conn.Load(); conn != nil {
		reason = verdict.ReasonConnection
		if conn.seal(int(a.call.Load())) {
			v = verdict.MayHaveRun
		}
	}
	if refusal := a.refusal.Load(); refusal != nil && v == verdict.NotRun {
		return refusal.WithVerdict(v)
	}
	if ctx := req.Context(); ctx.Err() != nil {
		reason = reasonOfContext(ctx)
	} else if conn := a.conn.Load(); conn != nil && v == verdict.MayHaveRun {
		var invalid *answerhead.InvalidError
		switch {
		case errors.As(err, &invalid):
			// The transport may have kept the connection.
			conn.giveUp(int(a.call.Load()))
			reason = verdict.ReasonTargetError
		case conn.foreign.Load():
			reason = verdict.ReasonTargetError
		case conn.headTooLong():
			return verdict.New(v, verdict.ReasonTooLarge, "the header of the answer has more than %d bytes", wire.MaxHeaderBytes).
				WithCause(withoutPath(req, err))
		}
	}
	return verdict.New(v, reason, "the call got no answer").WithCause(withoutPath(req, err))
}

// withoutPath names the method and the address of a failed request in place of the
// whole URL that net/http names: its path may be a client's text.
func withoutPath(req *http.Request, err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		err = failed.Err
	}
	return errors.WithMessagef(err, "%s %s", req.Method, req.URL.Host)
}

// errStalled ends the context of a call that took longer than its timeout.
var errStalled = errors.New("the call took longer than its timeout")

// reasonOfContext says why the context of a call ended.
func reasonOfContext(ctx context.Context) verdict.Reason {
	if context.Cause(ctx) == errStalled {
		return verdict.ReasonStalled
	}
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCancelled
}
