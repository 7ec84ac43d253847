// Package verdict holds the error type of honeydyke. Every failure says whether the
// work it speaks of may have run, by one of three verdicts, and why it failed, by a
// short reason for programs and a text for people.
//
// It owns the verdicts, the reasons and how verdicts of parts join into one of the
// whole; it relies on nothing else of the project and keeps no state. What proves a
// verdict is decided where the work is done (docs/decisions/0003-verdicts.md). An
// error that does not carry a verdict counts as may have run.
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

// Reason is a short machine-readable cause of a failure. Its text is on the wire and
// in log lines.
type Reason string

// Reasons of the request itself: it will fail again unless it is changed.
const (
	// ReasonBadRequest means that the request is not what its endpoint expects, or
	// that a target said so.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnauthorised means that the caller's key or organisation is not in the
	// configuration in force.
	ReasonUnauthorised Reason = "unauthorised"
	// ReasonNotFound means that there is no such pipeline or route.
	ReasonNotFound Reason = "not-found"
	// ReasonTooLarge means that a request or an answer has more bytes than allowed.
	ReasonTooLarge Reason = "too-large"
)

// Reasons of tickets; see docs/decisions/0004-at-most-once.md.
const (
	// ReasonTicketNeeded means that the request gave a key of its own, and targets
	// of the pipeline do not check keys: only a ticket can keep it from running twice.
	ReasonTicketNeeded Reason = "ticket-needed"
	// ReasonTicketInvalid means that the ticket is not of this deployment, or is for
	// another organisation, pipeline or body.
	ReasonTicketInvalid Reason = "ticket-invalid"
	// ReasonTicketExpired means that the ticket can no longer be spent.
	ReasonTicketExpired Reason = "ticket-expired"
	// ReasonTicketSpent means that the ticket's one run has begun or ended; the
	// verdict is that of the run.
	ReasonTicketSpent Reason = "ticket-spent"
	// ReasonHomeGone means that the incarnation that minted the ticket has ended.
	ReasonHomeGone Reason = "ticket-home-gone"
	// ReasonHomeSilent means that the ticket's home did not answer.
	ReasonHomeSilent Reason = "ticket-home-silent"
)

// Reasons of this side: nodes, their configuration and what they refuse.
const (
	// ReasonLeaving means that the node or target is in its planned stop.
	ReasonLeaving Reason = "leaving"
	// ReasonEvacuated means that all data centres with targets for the work are evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonQuarantined means that targets ended when they ran the same request before.
	ReasonQuarantined Reason = "quarantined"
	// ReasonMoved means that another node coordinates the service now.
	ReasonMoved Reason = "moved"
	// ReasonNotReady means that the node has no configuration yet, or was paused and
	// may hold an old one.
	ReasonNotReady Reason = "not-ready"
	// ReasonLimit means that the organisation is at one of its limits.
	ReasonLimit Reason = "organisation-limit"
	// ReasonOverload means that the work would not end by its deadline, or that
	// there is no capacity to hold it.
	ReasonOverload Reason = "overload"
	// ReasonNoTarget means that no target may get the work: none is known, or all are
	// leaving, ejected or tried already.
	ReasonNoTarget Reason = "no-target"
	// ReasonRetryExhausted means that the budget of retries does not pay for another
	// attempt.
	ReasonRetryExhausted Reason = "retries-exhausted"
	// ReasonInputGone means that a result that the work needs is no longer where it
	// was.
	ReasonInputGone Reason = "input-gone"
	// ReasonStreamUnknown means that no node knows which version of a service began the
	// stream that a caller takes up.
	ReasonStreamUnknown Reason = "stream-unknown"
	// ReasonVersionGone means that no target is left of the version that began the stream
	// that a caller takes up.
	ReasonVersionGone Reason = "version-gone"
	// ReasonInternal means that honeydyke broke an assumption of its own.
	ReasonInternal Reason = "internal"
)

// Reasons that end a request from outside.
const (
	// ReasonDeadline means that the deadline passed, or cannot be met any more.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller closed its connection, or the request
	// ended before this part of it.
	ReasonCancelled Reason = "cancelled"
)

// Reasons of a call to a target or node.
const (
	// ReasonDial means that no connection was made.
	ReasonDial Reason = "dial-failed"
	// ReasonConnection means that the connection was lost before an answer's header.
	ReasonConnection Reason = "connection-lost"
	// ReasonRefused means that the target refused the call and said that it did not
	// run.
	ReasonRefused Reason = "target-refused"
	// ReasonTargetError means that the target answered with an error, or with
	// something other than the answer expected.
	ReasonTargetError Reason = "target-error"
	// ReasonIdentity means that the answer is for another call or from another target.
	ReasonIdentity Reason = "wrong-identity"
	// ReasonCut means that the answer's header came, and its end did not.
	ReasonCut Reason = "answer-cut"
	// ReasonStalled means that the target was silent for longer than a call may take.
	ReasonStalled Reason = "stalled"
)

// Error is a failure with its verdict. It is immutable; the With methods
// return changed copies.
type Error struct {
	verdict Verdict
	reason  Reason
	text    string
	// stage is empty when no stage failed.
	stage string
	// retryAfter is zero when nothing is known.
	retryAfter time.Duration
	// cause is nil when there is none.
	cause error
	// unsafe is true when work that may not be repeated may have run.
	unsafe bool
}

// New returns an error with verdict v and the text for people that format gives. It
// is safe to retry unless WithUnsafeRetry says otherwise.
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

// RetryAfter is the time after which a retry is worth it; zero means that nothing is
// known.
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

// WithRetryAfter returns a copy with the time after which a retry is worth it.
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
