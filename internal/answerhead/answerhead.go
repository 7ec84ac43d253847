// Package answerhead checks that the head of an answer is one, for every client whose answers come
// from other processes.
//
// net/http takes heads that no sender may send: names of fields with a blank, which another
// reader understands differently, statuses without a meaning, versions of other protocols. What comes
// after such a head is no answer, and nothing in it proves anything. The errors are *InvalidError.
package answerhead

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// minStatus and maxStatus are the statuses that have a meaning (RFC 9110, 15).
	minStatus = 100
	maxStatus = 599
)

// InvalidError says why a head begins no answer.
type InvalidError struct {
	// Part is the part of the head that is wrong, and Text what it is, quoted.
	Part, Text string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the head of the answer is none: %s %s", e.Part, e.Text)
}

// maxQuoted limits how much of a head an error quotes, in bytes.
const maxQuoted = 40

func invalid(part, text string) error {
	return &InvalidError{Part: part, Text: fmt.Sprintf("%q", text[:min(len(text), maxQuoted)])}
}

// Rule: which head begins an answer.
//
// Version, status, status line and the names and values of all fields, in this order, have to be as
// HTTP/1.1 has them. A target that gets one of them wrong is in trouble, and what it means by
// the rest is unknown: a length whose name has a blank frames the body for one reader and not
// for another. Trusting a wrong head gives a caller bytes that are no answer; a wrong refusal
// fails a call that was answered.

// Check returns an error unless the head of an answer is one.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1 || resp.ProtoMinor > 1:
		return invalid("version", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return invalid("status", resp.Status)
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return invalid("status line", resp.Status)
	}
	return CheckFields(textproto.MIMEHeader(resp.Header))
}

// CheckFields returns an error unless the fields of a head have names and values.
func CheckFields(h textproto.MIMEHeader) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("name", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return invalid("value of "+name, v)
			}
		}
	}
	return nil
}

// errTooLong ends a request whose interim heads have more bytes than one head may have.
var errTooLong = errors.New("the interim heads of the answer are too long")

const (
	// interimBytes is what an interim head has beside its fields, and lineBytes what a field has beside
	// its name and value.
	interimBytes = len("HTTP/1.1 100\r\n\r\n")
	lineBytes    = len(":\r\n")
)

// Trace adds a check of interim heads to the trace of a request. With such a trace the transport bounds
// each of them alone, so that their sum is bounded here.
func Trace(t httptrace.ClientTrace) *httptrace.ClientTrace {
	left := wire.MaxHeaderBytes
	t.Got1xxResponse = func(_ int, h textproto.MIMEHeader) error {
		left -= interimBytes
		for name, values := range h {
			for _, v := range values {
				left -= len(name) + len(v) + lineBytes
			}
		}
		if left < 0 {
			return errTooLong
		}
		return CheckFields(h)
	}
	return &t
}

// Transport returns a transport that fails where Check does, also for interim heads unless the request
// has a trace, which has to come from Trace. The connection of such an answer may carry others if its
// body was empty.
func Transport(t *http.Transport) http.RoundTripper { return transport{t} }

type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if httptrace.ContextClientTrace(req.Context()) == nil {
		req = req.WithContext(httptrace.WithClientTrace(req.Context(), Trace(httptrace.ClientTrace{})))
	}
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		// Nothing of it is read, so that the error of its end changes nothing.
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
