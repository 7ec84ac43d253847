package delivery

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// exchange is one call whose answer's header has arrived.
type exchange struct {
	call Call
	// conn is nil when the transport named no guarded connection.
	conn *guardedConn
	resp *http.Response
}

// close ends the exchange. An error of Close says nothing about the answer, which was
// read or given up before.
func (ex *exchange) close() { _ = ex.resp.Body.Close() }

// broken returns the error for an answer that cannot be trusted, and keeps its
// connection from carrying another call.
func (ex *exchange) broken(reason verdict.Reason, format string, args ...any) *verdict.Error {
	ex.spoil()
	return verdict.New(verdict.MayHaveRun, reason, format, args...)
}

// spoil keeps the connection from carrying another call.
func (ex *exchange) spoil() {
	if ex.conn != nil {
		ex.conn.spoil()
	}
}

// Rule: whose an answer is.
//
// An answer is a call's own if it carries the call's identity, exactly once. Answers to a call
// without an identity carry none, so such a call gets a connection that carries no other, unless
// nothing of its answer is used, or its caller tells copies by what no two answers have in common
// (Conn.First): then calls share connections, and one whose answer is not proved carries nothing
// more. Before
// an answer is known to be the call's own nothing of it counts: no status, no proof that the
// call did not run, no other header. A target may send an answer twice, and the copy then
// arrives in place of the answer to a later call on the connection. Why so:
// docs/decisions/0003-verdicts.md. Trusting another call's answer runs work twice or gives a
// caller another call's result.

// isOwn reports whether the header of an answer carries the identity of a call, in the header
// name, or no identity if the call has none.
func isOwn(h http.Header, name, identity string) bool {
	values := h.Values(name)
	if identity == "" {
		return strings.Join(values, "") == ""
	}
	return len(values) == 1 && values[0] == identity
}

// foreignError returns the error for an answer that is not the call's own.
func foreignError(h http.Header, name, identity string, status int) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIdentity, "status %d answers %q, the call was %q", status, echoedIdentity(h, name), identity)
}

// Rule: when a refused call's connection is used again.
//
// A target refuses a call with proof that it did not run, and the same call may then go to
// the same address: to the process that has replaced the one it was for, or with new inputs.
// A copy of the refusal would be taken for the answer to it, since both have one identity.
// So the connection is given up. After any other refusal the call goes to other targets, and
// the connection is kept. Giving up too many costs connections; keeping one that the call
// comes back to runs work twice.

// KeepsConnection reports whether the connection that brought an error's answer may carry
// other calls.
func KeepsConnection(err *verdict.Error) bool {
	if err.Verdict() != verdict.NotRun {
		return false
	}
	return err.Reason() != verdict.ReasonIdentity && err.Reason() != verdict.ReasonInputGone
}

// Rule: when an answer counts.
//
// Checks, in this order: it is the call's own; its status is 200, or the target
// states that the call did not run; the end of its body can be distinguished from a
// lost connection; it has no more bytes than wire.MaxAnswerBytes. A call whose answer
// fails a check may have run, unless the target states that it did not; a connection
// whose answer is another call's or has no proved end carries no other call. Why so:
// docs/decisions/0003-verdicts.md. Trusting a wrong answer gives a caller another
// call's result or half of its own.

// checkHeader checks the answer's identity and status.
func (ex *exchange) checkHeader() error {
	status := ex.resp.StatusCode
	switch {
	case !isOwn(ex.resp.Header, wire.HeaderIdentity, ex.call.Identity):
		ex.spoil()
		return foreignError(ex.resp.Header, wire.HeaderIdentity, ex.call.Identity, status)
	case status == http.StatusOK:
		return nil
	case ex.resp.Header.Get(wire.HeaderVerdict) == verdict.NotRun.String():
		return verdict.New(verdict.NotRun, verdict.ReasonRefused, "the target refused with status %d", status).
			WithRetryAfter(retryAfter(ex.resp.Header))
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the target answered with status %d", status).
			WithRetryAfter(retryAfter(ex.resp.Header))
	}
}

// retryAfter reads the seconds after which the target says to retry. Zero, for a
// header that is not there or is not a number of seconds, means that nothing is known:
// it only advises the caller, so no call fails for it.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Delimited reports whether an answer's end can be distinguished from a lost connection. It cannot
// if the answer has a body, and neither a length nor chunks.
func Delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// readWhole returns the body of an answer once its end has come.
func (ex *exchange) readWhole(ctx context.Context, pool *answers.Pool) ([]byte, error) {
	if !Delimited(ex.resp) {
		return nil, ex.broken(verdict.ReasonCut, "the answer has no length; its end cannot be proved")
	}
	body, err := pool.Read(ex.resp.Body, wire.MaxAnswerBytes)
	switch {
	case err == nil:
		return body.Bytes(), nil
	case answers.IsTooLong(err):
		return nil, ex.broken(verdict.ReasonTooLarge, "the answer is too long").WithCause(err)
	}
	return nil, ex.cut(ctx, err)
}

// cut returns the error for an answer that ended before its end.
func (ex *exchange) cut(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return ex.broken(reasonOfContext(ctx), "the call was ended while its answer arrived").WithCause(err)
	}
	return ex.broken(verdict.ReasonCut, "the answer ended before its end").WithCause(err)
}
