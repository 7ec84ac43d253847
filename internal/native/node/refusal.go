package node

import (
	"net/http"
	"strconv"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// minimumRetry is the shortest time after which a refused caller may retry.
	minimumRetry = 200 * time.Millisecond
	// headerShouldRetry is a header of OpenAI's clients.
	headerShouldRetry = "X-Should-Retry"
)

// refusalOf is an error as callers see it.
func refusalOf(id string, e *verdict.Error) message.Refusal {
	return message.Refusal{
		Request: id, Verdict: message.RefusalVerdict(e.Verdict().String()), Reason: string(e.Reason()), Text: e.Text(),
		SafeToRetry: e.SafeToRetry(), RetryAfterMs: int(e.RetryAfter().Milliseconds()), Stage: e.Stage(),
	}
}

// statusOf maps a reason to an HTTP status.
func statusOf(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonUnauthorised:
		return http.StatusUnauthorized
	case verdict.ReasonNotFound:
		return http.StatusNotFound
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonTicketNeeded:
		return http.StatusPreconditionRequired
	case verdict.ReasonTicketSpent, verdict.ReasonTicketInvalid:
		return http.StatusConflict
	case verdict.ReasonTicketExpired, verdict.ReasonHomeGone:
		return http.StatusGone
	case verdict.ReasonLimit:
		return http.StatusTooManyRequests
	case verdict.ReasonOverload, verdict.ReasonNotReady, verdict.ReasonLeaving, verdict.ReasonNoTarget:
		return http.StatusServiceUnavailable
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusBadGateway
}

// refusalHeaders sets what every refusal carries.
func refusalHeaders(h http.Header, e *verdict.Error) {
	h.Set(wire.HeaderVerdict, e.Verdict().String())
	if after := e.RetryAfter(); after > 0 {
		seconds := int((after + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	// The official OpenAI clients re-send failed calls by themselves unless this
	// header forbids it.
	if !e.SafeToRetry() {
		h.Set(headerShouldRetry, "false")
	}
	if e.Reason() == verdict.ReasonLeaving {
		h.Set("Connection", "close")
	}
}
