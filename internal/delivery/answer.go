package delivery

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

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
	if ex.conn != nil {
		ex.conn.spoil()
	}
	return verdict.New(verdict.MayHaveRun, reason, format, args...)
}

// Rule: when an answer counts.
//
// Checks, in this order: its identity is the call's; its status is 200, or the target
// states that the call did not run; the end of its body can be distinguished from a
// lost connection; it has no more bytes than wire.MaxAnswerBytes. A call whose answer
// fails a check may have run, unless the target states that it did not; a connection
// whose answer is another call's or has no proved end carries no other call. Why so:
// docs/decisions/0003-verdicts.md. Trusting a wrong answer gives a caller another
// call's result or half of its own.

// checkHeader checks the answer's identity and status.
func (ex *exchange) checkHeader() error {
	echoed := ex.resp.Header.Get(wire.HeaderIdentity)
	status := ex.resp.StatusCode
	switch {
	case echoed != ex.call.Identity:
		return ex.broken(verdict.ReasonIdentity, "status %d answers %q, the call was %q", status, echoed, ex.call.Identity)
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

// delimited says whether the answer's end can be distinguished from a lost connection.
func (ex *exchange) delimited() bool {
	if ex.resp.ContentLength >= 0 {
		return true
	}
	return len(ex.resp.TransferEncoding) > 0 && ex.resp.TransferEncoding[0] == "chunked"
}

// readWhole returns the body of an answer once its end has come.
func (ex *exchange) readWhole(ctx context.Context) ([]byte, error) {
	if !ex.delimited() {
		return nil, ex.broken(verdict.ReasonCut, "the answer has no length; its end cannot be proved")
	}
	body, err := io.ReadAll(io.LimitReader(ex.resp.Body, wire.MaxAnswerBytes+1))
	if err != nil {
		return nil, ex.cut(ctx, err)
	}
	if len(body) > wire.MaxAnswerBytes {
		return nil, ex.broken(verdict.ReasonTooLarge, "the answer has more than %d bytes", wire.MaxAnswerBytes)
	}
	return body, nil
}

// cut returns the error for an answer that ended before its end.
func (ex *exchange) cut(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		return ex.broken(reasonOfContext(ctx), "the call was ended while its answer arrived").WithCause(err)
	}
	return ex.broken(verdict.ReasonCut, "the answer ended before its end").WithCause(err)
}
