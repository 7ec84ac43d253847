// Package verdict holds the error type of honeydyke. Every failure says
// whether the work it speaks of may have run.
package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether work ran. The zero value is MayHaveRun, so that a
// forgotten verdict never claims more than is known.
type Verdict int

const (
	// MayHaveRun means that nothing proves either outcome.
	MayHaveRun Verdict = iota
	// NotRun means that the work provably did not run.
	NotRun
	// Ran means that the work provably ran.
	Ran
)

const (
	textRan        = "ran"
	textNotRun     = "not-run"
	textMayHaveRun = "may-have-run"
)

// String gives the text used on the wire: "ran", "not-run" or "may-have-run".
func (v Verdict) String() string {
	switch v {
	case Ran:
		return textRan
	case NotRun:
		return textNotRun
	default:
		return textMayHaveRun
	}
}

// Parse reads the text of a verdict; anything unknown is MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case textRan:
		return Ran
	case textNotRun:
		return NotRun
	default:
		return MayHaveRun
	}
}

// Join gives the verdict on a whole whose parts have the verdicts v and w.
// The whole has not run only when no part has; it ran when any part did.
func Join(v, w Verdict) Verdict {
	if v == Ran || w == Ran {
		return Ran
	}
	if v == NotRun && w == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Reason is a short machine-readable cause of a failure.
type Reason string

// Reasons used across the packages.
const (
	ReasonBadRequest    Reason = "bad-request"
	ReasonUnauthorised  Reason = "unauthorised"
	ReasonNotFound      Reason = "not-found"
	ReasonTooLarge      Reason = "too-large"
	ReasonTicketNeeded  Reason = "ticket-needed"
	ReasonTicketInvalid Reason = "ticket-invalid"
	ReasonTicketExpired Reason = "ticket-expired"
	ReasonTicketSpent   Reason = "ticket-spent"
	ReasonHomeGone      Reason = "ticket-home-gone"
	ReasonHomeSilent    Reason = "ticket-home-silent"
	ReasonLeaving       Reason = "leaving"
	// ReasonMoved is work that another node has taken over.
	ReasonMoved          Reason = "moved"
	ReasonNotReady       Reason = "not-ready"
	ReasonLimit          Reason = "organisation-limit"
	ReasonOverload       Reason = "overload"
	ReasonNoTarget       Reason = "no-target"
	ReasonDeadline       Reason = "deadline"
	ReasonCancelled      Reason = "cancelled"
	ReasonDial           Reason = "dial-failed"
	ReasonConnection     Reason = "connection-lost"
	ReasonRefused        Reason = "target-refused"
	ReasonTargetError    Reason = "target-error"
	ReasonIdentity       Reason = "wrong-identity"
	ReasonCut            Reason = "answer-cut"
	ReasonStalled        Reason = "stalled"
	ReasonStopped        Reason = "node-stopped"
	ReasonInternal       Reason = "internal"
	ReasonConfiguration  Reason = "configuration"
	ReasonRetryExhausted Reason = "retries-exhausted"
	ReasonInputGone      Reason = "input-gone"
)

// Error is a failure with its verdict. It is immutable; the With methods
// return changed copies.
type Error struct {
	verdict    Verdict
	reason     Reason
	text       string
	stage      string
	retryAfter time.Duration
	cause      error
	unsafe     bool
}

// New returns an error with verdict v.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{verdict: v, reason: reason, text: fmt.Sprintf(format, args...)}
}

// Error gives the reason and the text, and the cause where there is one.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.reason, e.verdict, e.text)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Verdict says whether the work may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns the machine-readable cause.
func (e *Error) Reason() Reason { return e.reason }

// Text returns the cause for people.
func (e *Error) Text() string { return e.text }

// Stage names the stage that failed; it is empty when none did.
func (e *Error) Stage() string { return e.stage }

// RetryAfter says when to come back; zero means that nothing is known.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// SafeToRetry says whether no work that may not be repeated may have run.
func (e *Error) SafeToRetry() bool { return !e.unsafe }

// WithUnsafeRetry returns a copy that is not safe to retry.
func (e *Error) WithUnsafeRetry() *Error {
	n := *e
	n.unsafe = true
	return &n
}

// WithVerdict returns a copy with verdict v.
func (e *Error) WithVerdict(v Verdict) *Error {
	n := *e
	n.verdict = v
	return &n
}

// WithReason returns a copy with another reason.
func (e *Error) WithReason(reason Reason) *Error {
	n := *e
	n.reason = reason
	return &n
}

// WithStage returns a copy that names the stage.
func (e *Error) WithStage(stage string) *Error {
	n := *e
	n.stage = stage
	return &n
}

// WithRetryAfter returns a copy that says when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	n := *e
	n.retryAfter = d
	return &n
}

// WithCause returns a copy that wraps err.
func (e *Error) WithCause(err error) *Error {
	n := *e
	n.cause = err
	return &n
}

// From returns err as an *Error. An error without a verdict may have run.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "unexpected error").WithCause(err)
}
